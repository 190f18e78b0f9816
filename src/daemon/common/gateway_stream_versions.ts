/** Composes what a gateway daemon knows of the versions of streams. */

import { type Hasher } from "../../base/common/hasher.ts";
import type { HostId } from "../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import {
  MAX_VIEW_AGE_MS,
  SoftwareVersionHistory,
} from "../../features/gateway/common/versions/software_version_history.ts";
import {
  createSoftwareVersionArchive,
  SOFTWARE_VERSION_KEY_PREFIX,
  SoftwareVersionSync,
} from "../../features/gateway/common/versions/software_version_sync.ts";
import { StreamVersionArchive } from "../../features/gateway/common/versions/stream_version_archive.ts";
import {
  StreamVersionSync,
  type StreamVersionSyncServices,
} from "../../features/gateway/common/versions/stream_version_sync.ts";
import { StreamVersionTable } from "../../features/gateway/common/versions/stream_versions.ts";
import { HOST_KEY_PREFIX } from "../../services/hosts/common/host_entry.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import { MirrorConfirmation } from "../../services/mirror/common/mirror_confirmation.ts";
import type {
  LeaseStore,
  RevisionedStore,
} from "../../services/mirror/common/revisioned_store.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import type { PeerOverlay } from "../../services/peers/common/peer_overlay.ts";

/** Dependencies of {@link GatewayStreamVersions}. */
export interface GatewayStreamVersionsServices
  extends Omit<StreamVersionSyncServices, "table"> {
  readonly host: HostId;
  /** Wall-clock time in milliseconds at which this process started. */
  readonly incarnation: number;
  readonly logger: Logger;
  readonly state: ConfigurationState;
  readonly registry: EndpointRegistry;
  readonly hasher: Hasher;
  readonly mirror: StoreMirror;
  readonly store: LeaseStore & RevisionedStore;
  readonly overlay: PeerOverlay;
}

/** Versions of streams on one gateway daemon. */
export class GatewayStreamVersions implements Disposable {
  readonly table: StreamVersionTable;
  readonly history: SoftwareVersionHistory;
  readonly #services: GatewayStreamVersionsServices;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayStreamVersionsServices) {
    this.#services = services;
    const { clock, logger, mirror, registry, state, store } = services;
    this.table = new StreamVersionTable(clock);
    this.history = new SoftwareVersionHistory(
      clock,
      registry,
      new MirrorConfirmation(clock, store, mirror),
    );
    const { history, table } = this;
    this.#disposables.add(state.onDidChange(({ configuration }) => {
      history.setRoutes(configuration.routes);
    }));
    // Before the archive, which reads what the first contents hold.
    const firstContents = this.#disposables.add(
      mirror.onDidChange(() => {
        firstContents.dispose();
        this.#startObserving();
      }),
    );
    this.#disposables.add(new StreamVersionSync({ ...services, table }));
    this.#disposables.add(new SoftwareVersionSync({ ...services, history }));
    this.#disposables.add(
      new StreamVersionArchive({ ...services, table, history }),
    );
    const archive = this.#disposables.add(
      createSoftwareVersionArchive({ ...services, history }),
    );
    this.#disposables.add(registry.onDidAdd(() => archive.checkSoon()));
    this.#disposables.add(mirror.onDidSkipChanges((skippedMs) => {
      if (skippedMs <= MAX_VIEW_AGE_MS) return;
      logger.log("info", "software-versions-unseen", {
        skippedMs: Math.round(skippedMs),
      });
      history.restartObserving();
      archive.readStored();
    }));
  }

  /** Stops sharing them with the peers and the store. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #startObserving(): void {
    const { links, mirror } = this.#services;
    this.history.startObserving();
    // Entries of hosts outlast killed processes, those of versions all.
    const hasPredecessor = links.connectedHosts().length > 0 ||
      [HOST_KEY_PREFIX, SOFTWARE_VERSION_KEY_PREFIX].some((prefix) =>
        mirror.itemsWithPrefix(prefix).length > 0
      );
    if (!hasPredecessor) this.history.markComplete();
  }
}
