/**
 * Composes the limits of endpoints of a gateway daemon: what is known of them,
 * the rights shared with the peers, and how requests meet them.
 */

import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import { BrittleTable } from "../../features/brittle/common/brittle_table.ts";
import { RoomPermits } from "../../features/brittle/common/room_permits.ts";
import { EndpointLimits } from "../../features/gateway/common/limits/endpoint_limits.ts";
import type { ColdEndpoints } from "../../features/gateway/common/endpoints/cold_endpoints.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import {
  LimitRights,
  type LimitRightsServices,
} from "../../features/gateway/common/limits/limit_rights.ts";
import { LimitTable } from "../../features/gateway/common/limits/limit_table.ts";
import type { LoadTable } from "../../features/gateway/common/load/load_table.ts";

/** Dependencies of {@link GatewayEndpointLimits}. */
export interface GatewayEndpointLimitsServices
  extends Omit<LimitRightsServices, "table"> {
  readonly registry: EndpointRegistry;
  readonly cold: ColdEndpoints;
  readonly loadTable: LoadTable;
}

/** Limits of endpoints on one gateway daemon. */
export class GatewayEndpointLimits implements Disposable {
  readonly rights: LimitRights;
  readonly rooms: RoomPermits;
  readonly endpoints: EndpointLimits;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayEndpointLimitsServices) {
    const { clock, cold, loadTable, metrics, registry } = services;
    const table = new LimitTable(clock, cold);
    const brittle = new BrittleTable(clock);
    this.rooms = this.#disposables.add(
      new RoomPermits({
        ...services,
        table: brittle,
        reportedRuns: (endpoint) => loadTable.totalUsage(endpoint).runs,
        count: (event) => metrics.count("room_permits", event),
      }),
    );
    this.rights = this.#disposables.add(
      new LimitRights({ ...services, table }),
    );
    this.endpoints = this.#disposables.add(
      new EndpointLimits({
        clock,
        registry,
        table,
        rights: this.rights,
        brittle,
        rooms: this.rooms,
      }),
    );
  }

  /** Stops all parts. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
