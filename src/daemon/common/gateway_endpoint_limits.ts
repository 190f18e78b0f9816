/**
 * Composes the limits of endpoints of a gateway daemon: what is known of them,
 * the rights shared with the peers, and how requests meet them.
 */

import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import { EndpointLimits } from "../../features/gateway/common/endpoint_limits.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoint_registry.ts";
import {
  LimitRights,
  type LimitRightsServices,
} from "../../features/gateway/common/limit_rights.ts";
import { LimitTable } from "../../features/gateway/common/limit_table.ts";

/** Dependencies of {@link GatewayEndpointLimits}. */
export interface GatewayEndpointLimitsServices
  extends Omit<LimitRightsServices, "table"> {
  readonly registry: EndpointRegistry;
}

/** Limits of endpoints on one gateway daemon. */
export class GatewayEndpointLimits implements Disposable {
  readonly rights: LimitRights;
  readonly endpoints: EndpointLimits;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayEndpointLimitsServices) {
    const { clock, registry } = services;
    const table = new LimitTable(clock);
    this.rights = this.#disposables.add(
      new LimitRights({ ...services, table }),
    );
    this.endpoints = this.#disposables.add(
      new EndpointLimits({ clock, registry, table, rights: this.rights }),
    );
  }

  /** Stops all parts. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
