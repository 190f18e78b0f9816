/** Lets mirrors of peers learn from each other: pushed hints, pulled contents. */

import { type Clock, setPeriodic } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import { type Stamp, stampNow } from "../../../base/common/stamp.ts";
import type { Logger } from "../../log/common/logger.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../peers/common/peer_links.ts";
import type { MirrorSnapshot, StoreMirror } from "./store_mirror.ts";

/** Messages between mirrors. */
export type MirrorMessage =
  | { readonly kind: "changed"; readonly revision: number }
  | { readonly kind: "ask"; readonly askId: number; readonly revision: number }
  | {
    readonly kind: "tell";
    readonly askId: number;
    readonly snapshot: MirrorSnapshot;
  };

/** Channel of the mirrors. */
export const MIRROR_CHANNEL: PeerChannelSpec<MirrorMessage> = {
  name: "mirror.v1",
  decode: decodeMirrorMessage,
};

const CHECK_PERIOD_MS = 250;
/** Confirmation age from which the relay is asked: two watches. */
const STALE_AGE_MS = 1_600;
/** Confirmation age from which others are asked: the relay may be cut off too. */
const FALLBACK_AGE_MS = 2_000;
/** Other peers asked in one round. */
const FALLBACK_PEERS_PER_CHECK = 2;
/** Answers that come later than this say too little to be waited for. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Who learns from whom. */
export interface MirrorTopology {
  /** Peer that is asked first, such as the relay of the zone. */
  preferredSource(): HostId | undefined;
  /** Peers that are told of changes; none unless this daemon is a relay. */
  subscribers(): readonly HostId[];
}

/** Asks and answers for one mirror. */
export class MirrorSync implements Disposable {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #links: PeerLinks;
  readonly #mirror: StoreMirror;
  readonly #topology: MirrorTopology;
  readonly #channel: PeerChannel<MirrorMessage>;
  readonly #disposables = new DisposableStore();
  readonly #pendingRequests = new Map<number, Stamp>();
  #lastRequestId = 0;
  #nextPeerIndex = 0;

  /**
   * @param clock - Clock of the rounds.
   * @param logger - Where first contents are told.
   * @param links - Links to the peers.
   * @param mirror - The mirror to keep fresh.
   * @param topology - Who learns from whom.
   */
  constructor(
    clock: Clock,
    logger: Logger,
    links: PeerLinks,
    mirror: StoreMirror,
    topology: MirrorTopology,
  ) {
    this.#clock = clock;
    this.#logger = logger;
    this.#links = links;
    this.#mirror = mirror;
    this.#topology = topology;
    this.#channel = this.#disposables.add(links.openChannel(MIRROR_CHANNEL));
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) => this.#receive(from, body)),
    );
    this.#disposables.add(mirror.onDidChange(() => {
      const { revision } = mirror;
      for (const host of topology.subscribers()) {
        this.#channel.send(host, { kind: "changed", revision });
      }
    }));
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp && mirror.confirmationAgeMs > STALE_AGE_MS) this.#request(host);
    }));
    this.#disposables.add(
      setPeriodic(clock, CHECK_PERIOD_MS, () => this.#refreshIfStale()),
    );
  }

  /** Stops the rounds. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #refreshIfStale(): void {
    for (const [askId, requestedAt] of this.#pendingRequests) {
      const waitedMs = this.#clock.monotonicMs() - requestedAt.monotonicMs;
      if (waitedMs > REQUEST_TIMEOUT_MS) this.#pendingRequests.delete(askId);
    }
    const ageMs = this.#mirror.confirmationAgeMs;
    if (ageMs <= STALE_AGE_MS) return;
    const source = this.#topology.preferredSource();
    if (source !== undefined) this.#request(source);
    if (source !== undefined && ageMs <= FALLBACK_AGE_MS) return;
    const peers = this.#links.connectedHosts();
    const count = Math.min(FALLBACK_PEERS_PER_CHECK, peers.length);
    for (let attempt = 0; attempt < count; attempt++) {
      this.#request(peers[this.#nextPeerIndex++ % peers.length]!);
    }
  }

  #request(host: HostId): void {
    const askId = ++this.#lastRequestId;
    this.#pendingRequests.set(askId, stampNow(this.#clock));
    this.#channel.send(host, {
      kind: "ask",
      askId,
      revision: this.#mirror.revision,
    });
  }

  #receive(from: HostId, message: MirrorMessage): void {
    switch (message.kind) {
      case "changed":
        if (message.revision > this.#mirror.revision) this.#request(from);
        return;
      case "ask": {
        if (this.#mirror.revision === 0) return;
        const snapshot = this.#mirror.snapshotSince(message.revision);
        const { askId } = message;
        this.#channel.send(from, { kind: "tell", askId, snapshot });
        return;
      }
      case "tell": {
        const requestedAt = this.#pendingRequests.get(message.askId);
        if (!requestedAt) return;
        this.#pendingRequests.delete(message.askId);
        const wasEmpty = this.#mirror.revision === 0;
        this.#mirror.applySnapshot(message.snapshot, requestedAt);
        if (wasEmpty) {
          this.#logger.log("info", "mirror-filled", {
            peer: from,
            revision: this.#mirror.revision,
          });
        }
      }
    }
  }
}

function decodeMirrorMessage(body: unknown): Either<string, MirrorMessage> {
  if (typeof body !== "object" || body === null) return Left("not an object");
  const { kind, askId, revision, snapshot } = body as Record<string, unknown>;
  switch (kind) {
    case "changed":
      if (!isCount(revision)) return Left("revision is not a count");
      return Right({ kind, revision });
    case "ask":
      if (!isCount(askId) || !isCount(revision)) return Left("ask without id");
      return Right({ kind, askId, revision });
    case "tell":
      if (!isCount(askId) || !isSnapshot(snapshot)) return Left("bad snapshot");
      return Right({ kind, askId, snapshot });
    default:
      return Left("unknown kind");
  }
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && value >= 0;
}

function isSnapshot(value: unknown): value is MirrorSnapshot {
  if (typeof value !== "object" || value === null) return false;
  const candidate = value as Partial<MirrorSnapshot>;
  const { keys, items, removals } = candidate;
  const hasKeys = keys === undefined || keys === null ||
    (Array.isArray(keys) && keys.every((key) => typeof key === "string"));
  return hasKeys && isCount(candidate.revision) && isCount(candidate.ageMs) &&
    isCount(candidate.sinceTroubleMs) &&
    Array.isArray(removals) && removals.every((one) => isRemoval(one)) &&
    Array.isArray(items) && items.every((item: unknown) => isItem(item));
}

function isRemoval(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const { key, revision } = value as Record<string, unknown>;
  return typeof key === "string" && isCount(revision);
}

function isItem(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const { key, revision, value: bytes } = value as Record<string, unknown>;
  return typeof key === "string" && isCount(revision) &&
    bytes instanceof Uint8Array;
}
