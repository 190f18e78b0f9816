/**
 * Composes how a gateway daemon chooses endpoints: the loads that it shares with
 * its peers, the choice, and the placement of generations.
 */

import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { ZoneName } from "../../base/common/ids.ts";
import type { ColdEndpoints } from "../../features/gateway/common/endpoints/cold_endpoints.ts";
import { EndpointChooser } from "../../features/gateway/common/placement/endpoint_chooser.ts";
import { EndpointPaces } from "../../features/gateway/common/load/endpoint_pace.ts";
import { EndpointPaceSync } from "../../features/gateway/common/load/endpoint_pace_sync.ts";
import { LoadTable } from "../../features/gateway/common/load/load_table.ts";
import { LoadTableSync } from "../../features/gateway/common/load/load_table_sync.ts";
import type { EndpointChooserSettings } from "../../features/gateway/common/placement/paced_choice.ts";
import { PlacementQueue } from "../../features/gateway/common/placement/placement_queue.ts";
import {
  ZonePlacer,
  type ZonePlacerServices,
} from "../../features/gateway/common/placement/zone_placer.ts";
import type { RandomSource } from "../../features/dispatch/common/group_dispatcher.ts";

/** Dependencies of {@link GatewayPlacement}. */
export interface GatewayPlacementServices
  extends Omit<ZonePlacerServices, "loadTable" | "chooser" | "localPlacer"> {
  readonly zone: ZoneName;
  readonly random: RandomSource;
  /** @returns The current settings of the choice; the defaults if absent. */
  readonly chooserSettings?: () => EndpointChooserSettings;
  readonly cold: ColdEndpoints;
}

/** Choice of endpoints on one gateway daemon. */
export class GatewayPlacement implements Disposable {
  readonly loadTable: LoadTable;
  readonly paces: EndpointPaces;
  readonly chooser: EndpointChooser;
  readonly placer: ZonePlacer;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayPlacementServices) {
    const { clock, links, overlay, random, registry, self, zone } = services;
    const loadTable = new LoadTable(clock);
    this.loadTable = loadTable;
    this.#disposables.add(
      new LoadTableSync(self, clock, links, overlay, loadTable),
    );
    const paces = new EndpointPaces(clock, loadTable);
    this.paces = paces;
    this.#disposables.add(
      new EndpointPaceSync({ clock, links, overlay, paces, registry }),
    );
    const chooser = new EndpointChooser(
      clock,
      registry,
      loadTable,
      random,
      zone,
      {
        cold: services.cold,
        eligibility: services.eligibility,
        paces,
        settings: services.chooserSettings,
      },
    );
    this.chooser = chooser;
    const localPlacer = this.#disposables.add(
      new PlacementQueue(clock, chooser, random),
    );
    this.placer = this.#disposables.add(
      new ZonePlacer({ ...services, loadTable, chooser, localPlacer }),
    );
  }

  /** Stops all parts. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
