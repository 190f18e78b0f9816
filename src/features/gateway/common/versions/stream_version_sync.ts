/**
 * Shares with the peers at which software version streams began, also while a
 * service has one version only: a host that cannot see a second one must still
 * know which streams may go on at the first.
 */

import * as z from "zod";
import type { Clock } from "../../../../base/common/clock.ts";
import { toErrorMessage } from "../../../../base/common/errors.ts";
import type { HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import { attempt } from "../../../../base/common/result.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { RecordRelay } from "../../../quarantine/common/record_sync.ts";
import {
  MAX_STREAMS_PER_PAGE,
  streamPageSchema,
  toStream,
  toStreamRow,
} from "./stream_page.ts";
import type { StreamVersion, StreamVersionTable } from "./stream_versions.ts";

/** Streams that begin within this time share a message. */
const BATCH_DELAY_MS = 50;

const messageSchema = z.object({ streams: streamPageSchema });

type StreamVersionMessage = z.infer<typeof messageSchema>;

const STREAM_VERSION_CHANNEL: PeerChannelSpec<StreamVersionMessage> = {
  name: "stream-versions.v1",
  decode: (body) => attempt(() => messageSchema.parse(body), toErrorMessage),
};

/** Dependencies of a {@link StreamVersionSync}. */
export interface StreamVersionSyncServices {
  readonly clock: Clock;
  readonly links: PeerLinks;
  readonly relay: RecordRelay;
  readonly table: StreamVersionTable;
}

/** Synchronizes the stream versions of one daemon. */
export class StreamVersionSync implements Disposable {
  readonly #services: StreamVersionSyncServices;
  readonly #channel: PeerChannel<StreamVersionMessage>;
  readonly #disposables = new DisposableStore();
  readonly #localChanges = new Set<StreamVersion>();
  readonly #peerChanges = new Set<StreamVersion>();
  #isScheduled = false;

  /** @param services - Dependencies of the synchronization. */
  constructor(services: StreamVersionSyncServices) {
    this.#services = services;
    const { links, table } = services;
    this.#channel = this.#disposables.add(
      links.openChannel(STREAM_VERSION_CHANNEL),
    );
    this.#disposables.add(
      this.#channel.onDidReceive(({ body }) => this.#receive(body)),
    );
    this.#disposables.add(
      table.onDidRecord((stream) => this.#add(this.#localChanges, stream)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#send([host], table.streams());
    }));
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #receive({ streams }: StreamVersionMessage): void {
    const { clock, table } = this.#services;
    const nowMs = clock.monotonicMs();
    for (const row of streams) {
      const stream = toStream(row, nowMs);
      if (stream.expiresMs <= nowMs) continue;
      if (table.add(stream)) this.#add(this.#peerChanges, stream);
    }
  }

  #add(changes: Set<StreamVersion>, stream: StreamVersion): void {
    changes.add(stream);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#services.clock.setTimer(BATCH_DELAY_MS, () => this.#flush());
  }

  #flush(): void {
    this.#isScheduled = false;
    const { relay } = this.#services;
    this.#send(relay.targets(true), [...this.#localChanges]);
    this.#send(relay.targets(false), [...this.#peerChanges]);
    this.#localChanges.clear();
    this.#peerChanges.clear();
  }

  #send(hosts: readonly HostId[], streams: readonly StreamVersion[]): void {
    const nowMs = this.#services.clock.monotonicMs();
    const current = streams.filter(({ expiresMs }) => expiresMs > nowMs);
    for (
      let start = 0;
      start < current.length && hosts.length > 0;
      start += MAX_STREAMS_PER_PAGE
    ) {
      const page = current.slice(start, start + MAX_STREAMS_PER_PAGE);
      this.#channel.multicast(hosts, {
        streams: page.map((stream) => toStreamRow(stream, nowMs)),
      });
    }
  }
}
