/**
 * Composes the quarantine of a gateway daemon: the records of requests and of
 * parts of prompts that crash endpoints, their exchange with the peers and the store, and the monitor
 * that makes them.
 */

import type { Hasher } from "../../base/common/hasher.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import {
  CrashMonitor,
  type CrashMonitorServices,
} from "../../features/gateway/common/crashes/crash_monitor.ts";
import { PromptPartMonitor } from "../../features/gateway/common/crashes/prompt_part_monitor.ts";
import {
  createPromptPartArchive,
  PromptPartSync,
} from "../../features/quarantine/common/prompt_part_sync.ts";
import { PromptPartTable } from "../../features/quarantine/common/prompt_part_table.ts";
import { QUARANTINE_CHANNEL } from "../../features/quarantine/common/quarantine_messages.ts";
import { SuspectArchive } from "../../features/quarantine/common/suspect_archive.ts";
import type { RecordRelay } from "../../features/quarantine/common/record_sync.ts";
import { SuspectSync } from "../../features/quarantine/common/suspect_sync.ts";
import { SuspectTable } from "../../features/quarantine/common/suspect_table.ts";
import type { LeaseStore } from "../../services/mirror/common/revisioned_store.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import type { PeerLinks } from "../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../services/peers/common/peer_overlay.ts";

/** Dependencies of a {@link GatewayQuarantine}. */
export interface GatewayQuarantineServices
  extends Omit<CrashMonitorServices, "suspects" | "prompts"> {
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay & RecordRelay;
  readonly hasher: Hasher;
  readonly store: LeaseStore;
  readonly mirror: StoreMirror;
}

/** Quarantine of one gateway daemon. */
export class GatewayQuarantine implements Disposable {
  readonly monitor: CrashMonitor;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the parts. */
  constructor(services: GatewayQuarantineServices) {
    const { clock, links, overlay } = services;
    const table = new SuspectTable(clock);
    const channel = this.#disposables.add(
      links.openChannel(QUARANTINE_CHANNEL),
    );
    this.#disposables.add(
      new SuspectSync({ clock, links, channel, table, relay: overlay }),
    );
    this.#disposables.add(new SuspectArchive({ ...services, table }));
    const parts = new PromptPartTable(
      clock,
      () => table.listQuarantined().map(({ endpoints }) => endpoints),
    );
    this.#disposables.add(
      new PromptPartSync({ clock, links, relay: overlay, table: parts }),
    );
    this.#disposables.add(
      createPromptPartArchive({ ...services, table: parts }),
    );
    const prompts = this.#disposables.add(
      new PromptPartMonitor({ ...services, parts }),
    );
    this.monitor = this.#disposables.add(
      new CrashMonitor({ ...services, suspects: table, prompts }),
    );
  }

  /** Stops all parts. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
