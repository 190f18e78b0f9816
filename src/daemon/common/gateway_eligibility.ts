/**
 * Composes the rules of the operator on one gateway daemon, the endpoints that
 * are cold, and the check of endpoints that applies the rules.
 */

import type { Clock } from "../../base/common/clock.ts";
import type { ServiceId, ZoneName } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
import {
  RegionPolicy,
  type RegionSettings,
} from "../../features/gateway/common/configuration/region_policy.ts";
import type { GatewayService } from "../../features/gateway/common/configuration/gateway_configuration.ts";
import { ColdEndpoints } from "../../features/gateway/common/endpoints/cold_endpoints.ts";
import { EndpointEligibility } from "../../features/gateway/common/endpoints/endpoint_eligibility.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import { ZoneEvacuations } from "../../features/gateway/common/endpoints/zone_evacuations.ts";
import type { Logger } from "../../services/log/common/logger.ts";

/** Dependencies of {@link GatewayEligibility}. */
export interface GatewayEligibilityServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: EndpointRegistry;
  readonly state: ConfigurationState;
  /** Zone of this host. */
  readonly zone: ZoneName;
  /** @returns The current settings. */
  settings(): RegionSettings;
  /** @returns The configuration of a service, if there is one. */
  findService(id: ServiceId): GatewayService | undefined;
}

/** Rules of the operator, and the check that applies them. */
export class GatewayEligibility implements Disposable {
  readonly evacuations: ZoneEvacuations;
  readonly regions: RegionPolicy;
  readonly endpoints: EndpointEligibility;
  readonly cold: ColdEndpoints;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayEligibilityServices) {
    const { clock, logger, registry } = services;
    this.evacuations = this.#disposables.add(
      new ZoneEvacuations(clock, logger),
    );
    this.regions = new RegionPolicy(services);
    this.endpoints = new EndpointEligibility(clock, registry, {
      isEvacuated: (zone) => this.evacuations.isEvacuated(zone),
      regionOf: (zone) => this.regions.regionOf(zone),
    });
    this.cold = this.#disposables.add(new ColdEndpoints(services));
    this.#disposables.add(
      this.evacuations.onDidChange(({ isEvacuated, zone }) => {
        if (!isEvacuated) this.cold.markZoneCold(zone);
      }),
    );
  }

  /** Stops all parts. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
