/**
 * Composes what decides which endpoints of a gateway daemon may get requests:
 * evacuated zones, cold endpoints and eligibility.
 */

import type { Clock } from "../../base/common/clock.ts";
import type { ServiceId } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { GatewayService } from "../../features/gateway/common/configuration/gateway_configuration.ts";
import { ColdEndpoints } from "../../features/gateway/common/endpoints/cold_endpoints.ts";
import { EndpointEligibility } from "../../features/gateway/common/endpoints/endpoint_eligibility.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import { ZoneEvacuations } from "../../features/gateway/common/endpoints/zone_evacuations.ts";
import type { Logger } from "../../services/log/common/logger.ts";

/** Dependencies of {@link GatewayEndpointRules}. */
export interface GatewayEndpointRulesServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: EndpointRegistry;
  /** @returns The configuration of a service, if there is one. */
  findService(id: ServiceId): GatewayService | undefined;
}

/** Rules for the endpoints of one gateway daemon. */
export class GatewayEndpointRules implements Disposable {
  readonly evacuations: ZoneEvacuations;
  readonly cold: ColdEndpoints;
  readonly eligibility: EndpointEligibility;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayEndpointRulesServices) {
    const { clock, logger, registry } = services;
    this.evacuations = this.#disposables.add(
      new ZoneEvacuations(clock, logger),
    );
    this.cold = this.#disposables.add(new ColdEndpoints(services));
    this.eligibility = new EndpointEligibility(clock, registry, {
      isEvacuated: (zone) => this.evacuations.isEvacuated(zone),
      regionOf: () => undefined,
    });
    this.#disposables.add(
      this.evacuations.onDidChange(({ zone, isEvacuated }) => {
        if (!isEvacuated) this.cold.markZoneCold(zone);
      }),
    );
  }

  /** Stops all parts. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
