/** Composes what a gateway daemon knows of the versions of streams. */

import type { Disposable } from "../../base/common/lifecycle.ts";
import {
  StreamVersionSync,
  type StreamVersionSyncServices,
} from "../../features/gateway/common/stream_version_sync.ts";
import { StreamVersionTable } from "../../features/gateway/common/stream_versions.ts";

/** Dependencies of {@link GatewayStreamVersions}. */
export type GatewayStreamVersionsServices = Omit<
  StreamVersionSyncServices,
  "table"
>;

/** Versions of streams on one gateway daemon. */
export class GatewayStreamVersions implements Disposable {
  readonly table: StreamVersionTable;
  readonly #sync: StreamVersionSync;

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayStreamVersionsServices) {
    this.table = new StreamVersionTable(services.clock);
    this.#sync = new StreamVersionSync({ ...services, table: this.table });
  }

  /** Stops sharing them with the peers. */
  dispose(): void {
    this.#sync.dispose();
  }
}
