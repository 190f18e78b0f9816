/**
 * Synchronizes the store mirrors of peers, so that a daemon without its own
 * watch, or without a connection to the store, stays up to date. Changes are
 * announced by revision; the contents are requested by the receiver.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import {
  ageMs,
  type Timestamp,
  timestampNow,
} from "../../../base/common/timestamp.ts";
import { isPatch } from "../../../base/common/byte_patch.ts";
import { runReporting } from "../../../base/common/rounds.ts";
import type { Logger } from "../../log/common/logger.ts";
import { type MirrorBounds, mirrorBounds } from "./mirror_bounds.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../peers/common/peer_links.ts";
import type { MirrorSnapshot, StoreMirror } from "./store_mirror.ts";
import type { PatchedItem } from "./value_history.ts";

/** Messages between mirrors. */
export type MirrorMessage =
  | { readonly kind: "changed"; readonly revision: number }
  | {
    readonly kind: "ask";
    readonly askId: number;
    readonly revision: number;
    /** Whether changed items may be sent as patches; no in earlier versions. */
    readonly acceptsPatches?: boolean;
  }
  | {
    readonly kind: "tell";
    readonly askId: number;
    readonly snapshot: MirrorSnapshot;
  };

/** Peer channel for mirror messages. */
export const MIRROR_CHANNEL: PeerChannelSpec<MirrorMessage> = {
  name: "mirror.v2",
  decode: decodeMirrorMessage,
};

const CHECK_PERIOD_MS = 250;
/** Period while the contents are stale and may still be confirmed in time. */
const STALE_CHECK_PERIOD_MS = 100;
/** Number of other peers queried in one check. */
const FALLBACK_PEERS_PER_CHECK = 2;
/** Longer than a large response takes on a slow link. */
const REQUEST_TIMEOUT_MS = 10_000;
/** Time for which a peer is not asked again while its response is missing. */
const RESPONSE_WAIT_MS = 1_000;

interface PendingRequest {
  readonly host: HostId;
  readonly requestedAt: Timestamp;
}

/** Selects the peers between which mirrors are synchronized. */
export interface MirrorTopology {
  /**
   * Returns the peers to query first, such as the relay of the zone, in order of
   * preference.
   */
  preferredSources(): readonly HostId[];
  /**
   * Returns the peers to notify of changes; none if this daemon is not a relay.
   */
  subscribers(): readonly HostId[];
}

/** Requests and serves snapshots for the local mirror. */
export class MirrorSync implements Disposable {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #links: PeerLinks;
  readonly #mirror: StoreMirror;
  readonly #topology: MirrorTopology;
  readonly #bounds: () => MirrorBounds;
  readonly #channel: PeerChannel<MirrorMessage>;
  readonly #disposables = new DisposableStore();
  readonly #pendingRequests = new Map<number, PendingRequest>();
  #lastRequestId = 0;
  #nextPeerIndex = 0;
  #checkTimer: Disposable | undefined;

  /**
   * @param clock - Clock for the periodic checks and timeouts.
   * @param logger - Logger for the first contents of the mirror.
   * @param links - Links to the peers.
   * @param mirror - The local mirror.
   * @param topology - Selection of the peers to synchronize with.
   * @param bounds - Ages of the contents at which peers are queried.
   */
  constructor(
    clock: Clock,
    logger: Logger,
    links: PeerLinks,
    mirror: StoreMirror,
    topology: MirrorTopology,
    bounds: () => MirrorBounds = mirrorBounds,
  ) {
    this.#clock = clock;
    this.#logger = logger;
    this.#links = links;
    this.#mirror = mirror;
    this.#topology = topology;
    this.#bounds = bounds;
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
      if (!isUp) this.#discardRequests((request) => request.host === host);
      else if (mirror.confirmationAgeMs > bounds().staleAgeMs) {
        this.#request(host);
      }
    }));
    this.#scheduleCheck();
    this.#disposables.add(toDisposable(() => this.#checkTimer?.dispose()));
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#disposables.dispose();
  }

  /** Checks again when the contents become stale, or soon if they are. */
  #scheduleCheck(): void {
    let delayMs = CHECK_PERIOD_MS;
    runReporting(() => {
      delayMs = this.#checkDelayMs();
    });
    this.#checkTimer = this.#clock.setTimer(delayMs, () => {
      runReporting(() => this.#refreshIfStale());
      this.#scheduleCheck();
    });
  }

  #checkDelayMs(): number {
    const { lastResortAgeMs, staleAgeMs } = this.#bounds();
    const ageMs = this.#mirror.confirmationAgeMs;
    const isUrgent = ageMs > staleAgeMs && ageMs <= lastResortAgeMs;
    const untilStaleMs = Math.floor(staleAgeMs - ageMs) + 1;
    return isUrgent
      ? STALE_CHECK_PERIOD_MS
      : untilStaleMs > 0
      ? Math.min(untilStaleMs, CHECK_PERIOD_MS)
      : CHECK_PERIOD_MS;
  }

  #refreshIfStale(): void {
    this.#discardRequests(({ requestedAt }) =>
      ageMs(this.#clock, requestedAt) > REQUEST_TIMEOUT_MS
    );
    const { fallbackAgeMs, staleAgeMs } = this.#bounds();
    const confirmationAgeMs = this.#mirror.confirmationAgeMs;
    if (confirmationAgeMs <= staleAgeMs) return;
    const [source, deputy] = this.#topology.preferredSources();
    if (source !== undefined) this.#request(source);
    if (source !== undefined && confirmationAgeMs <= fallbackAgeMs) return;
    if (deputy !== undefined) this.#request(deputy);
    const peers = this.#links.connectedHosts();
    const count = Math.min(FALLBACK_PEERS_PER_CHECK, peers.length);
    for (let attempt = 0; attempt < count; attempt++) {
      this.#request(peers[this.#nextPeerIndex++ % peers.length]!);
    }
  }

  #discardRequests(isDiscarded: (request: PendingRequest) => boolean): void {
    for (const [askId, request] of this.#pendingRequests) {
      if (isDiscarded(request)) this.#pendingRequests.delete(askId);
    }
  }

  #request(host: HostId, acceptsPatches = true): void {
    // The response that is on its way holds what the peer has when it sends.
    const isAsked = [...this.#pendingRequests.values()].some((request) =>
      request.host === host &&
      ageMs(this.#clock, request.requestedAt) < RESPONSE_WAIT_MS
    );
    if (isAsked) return;
    const askId = ++this.#lastRequestId;
    const requestedAt = timestampNow(this.#clock);
    this.#pendingRequests.set(askId, { host, requestedAt });
    this.#channel.send(host, {
      kind: "ask",
      askId,
      revision: this.#mirror.revision,
      acceptsPatches,
    });
  }

  #receive(from: HostId, message: MirrorMessage): void {
    switch (message.kind) {
      case "changed":
        if (message.revision > this.#mirror.revision) this.#request(from);
        return;
      case "ask": {
        // A slow link gets one response at a time.
        if (this.#mirror.revision === 0 || this.#channel.hasWaiting(from)) {
          return;
        }
        const { askId, revision, acceptsPatches = false } = message;
        const snapshot = this.#mirror.snapshotSince(revision, acceptsPatches);
        this.#channel.send(from, { kind: "tell", askId, snapshot });
        return;
      }
      case "tell": {
        const request = this.#pendingRequests.get(message.askId);
        if (!request) return;
        this.#discardRequests((pending) => pending.host === from);
        const wasEmpty = this.#mirror.revision === 0;
        const { requestedAt } = request;
        if (!this.#mirror.applySnapshot(message.snapshot, requestedAt)) {
          this.#logger.log("info", "mirror-patch-refused", {
            peer: from,
            revision: this.#mirror.revision,
            offeredRevision: message.snapshot.revision,
          });
          this.#request(from, false);
        } else if (wasEmpty) {
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
  const { kind, askId, revision, acceptsPatches, snapshot } = body as Record<
    string,
    unknown
  >;
  switch (kind) {
    case "changed":
      if (!isCount(revision)) return Left("invalid revision");
      return Right({ kind, revision });
    case "ask":
      if (!isCount(askId) || !isCount(revision)) return Left("invalid ask");
      return Right({
        kind,
        askId,
        revision,
        acceptsPatches: acceptsPatches === true,
      });
    case "tell":
      if (!isCount(askId) || !isSnapshot(snapshot)) return Left("invalid tell");
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
  const { keys, items, patchedItems = [], removals } = candidate;
  const hasKeys = keys === undefined || keys === null ||
    (Array.isArray(keys) && keys.every((key) => typeof key === "string"));
  return hasKeys && isCount(candidate.revision) &&
    isCount(candidate.ageMs) &&
    isCount(candidate.sinceTroubleMs) &&
    Array.isArray(removals) &&
    removals.every((removal) => isRemoval(removal)) &&
    Array.isArray(patchedItems) &&
    patchedItems.every((item: unknown) => isPatchedItem(item)) &&
    Array.isArray(items) && items.every((item: unknown) => isItem(item));
}

function isPatchedItem(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const { key, revision, baseRevision, patch } = value as Partial<PatchedItem>;
  return typeof key === "string" && isCount(revision) &&
    isCount(baseRevision) && isPatch(patch);
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
