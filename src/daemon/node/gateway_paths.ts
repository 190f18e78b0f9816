/** Composes what a gateway daemon knows of the paths to its endpoints. */

import type { Clock } from "../../base/common/clock.ts";
import type { Address, EndpointId } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoint_registry.ts";
import type { GatewayMetrics } from "../../features/gateway/common/gateway_metrics.ts";
import {
  type DirectPathChange,
  DirectPaths,
} from "../../features/paths/common/direct_paths.ts";
import type { JsonCaller } from "../../services/http/common/json_caller.ts";
import { JsonClient } from "../../services/http/node/json_client.ts";
import type { SocketConnector } from "../../services/http/node/socket_connector.ts";
import { UndiciPassThroughClient } from "../../services/http/node/undici_pass_through_client.ts";
import type { Logger } from "../../services/log/common/logger.ts";

/** Dependencies of {@link GatewayPaths}. */
export interface GatewayPathsServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly registry: EndpointRegistry;
  /** Opens the connections to endpoints. */
  readonly connector: SocketConnector;
}

/** Client for requests to endpoints and the state of the paths to them. */
export class GatewayPaths implements Disposable {
  readonly direct: DirectPaths;
  readonly client: UndiciPassThroughClient;
  /** Client for control requests to endpoints. */
  readonly controlHttp: JsonCaller;
  readonly #services: GatewayPathsServices;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the paths. */
  constructor(services: GatewayPathsServices) {
    const { clock, connector, registry } = services;
    this.#services = services;
    this.direct = new DirectPaths(clock);
    this.client = new UndiciPassThroughClient(clock, {
      observer: this.direct,
      connector,
    });
    this.controlHttp = this.#disposables.add(
      new JsonClient(clock, undefined, connector),
    );
    this.#disposables.add(
      this.direct.onDidChange((change) => this.#onChanged(change)),
    );
    this.#disposables.add(registry.onDidRetire(({ announcement }) => {
      this.client.closeIdleConnections(announcement.address);
      this.direct.forget(announcement.address);
    }));
  }

  /** Stops following the registry. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onChanged({ address, failure, lostForMs }: DirectPathChange): void {
    const { logger, metrics } = this.#services;
    const endpoint = this.#endpointAt(address);
    if (failure === undefined) {
      logger.log("info", "direct-path-back", {
        endpoint,
        address,
        lostForMs: Math.round(lostForMs),
      });
      return;
    }
    metrics.count("direct_paths_lost", failure);
    logger.log("warn", "direct-path-lost", { endpoint, address, failure });
  }

  #endpointAt(address: Address): EndpointId | undefined {
    const { registry } = this.#services;
    return registry.all.find(({ announcement }) =>
      announcement.address === address
    )?.id;
  }
}
