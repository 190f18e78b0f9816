/**
 * Composes how a gateway daemon chooses endpoints: the loads that it shares with
 * its peers, the choice, and the placement of generations.
 */

import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { ZoneName } from "../../base/common/ids.ts";
import { EndpointChooser } from "../../features/gateway/common/placement/endpoint_chooser.ts";
import { LoadTable } from "../../features/gateway/common/load/load_table.ts";
import { LoadTableSync } from "../../features/gateway/common/load/load_table_sync.ts";
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
}

/** Choice of endpoints on one gateway daemon. */
export class GatewayPlacement implements Disposable {
  readonly loadTable: LoadTable;
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
    const chooser = new EndpointChooser(
      clock,
      registry,
      loadTable,
      random,
      zone,
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
