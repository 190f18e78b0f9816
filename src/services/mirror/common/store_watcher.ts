/**
 * Keeps a mirror up to date with the store. Recovers from store outages by
 * reading the changes that it missed, or else by listing the store again.
 */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import { type Disposable } from "../../../base/common/lifecycle.ts";
import { runRounds } from "../../../base/common/rounds.ts";
import { leftOf } from "../../../base/common/result.ts";
import {
  ageMs,
  type Timestamp,
  timestampNow,
} from "../../../base/common/timestamp.ts";
import type { Logger } from "../../log/common/logger.ts";
import type { MirrorBounds } from "./mirror_bounds.ts";
import type { RevisionedStore, StoreCallFailure } from "./revisioned_store.ts";
import type { StoreMirror } from "./store_mirror.ts";

/**
 * Exponential backoff after failures. The upper limit is short because the
 * store usually recovers within milliseconds or seconds.
 */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 600;
const ROLE_CHECK_INTERVAL_MS = 250;
/**
 * Age of the contents up to which the missed changes are read. Those of a longer
 * time are many times as large as a listing.
 */
const MAX_REPLAY_AGE_MS = 10_000;
/** The store answers at once, with the changes that there are. */
const REPLAY_WAIT_MS = 1;

/** Dependencies of {@link StoreWatcher}. */
export interface StoreWatcherServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: RevisionedStore;
  readonly mirror: StoreMirror;
  /**
   * Time in milliseconds after which this daemon should read the store directly
   * if its mirror is not confirmed before; 0 if it should now.
   */
  readonly watchDelayMs: () => number;
  readonly bounds: () => MirrorBounds;
}

/**
 * Reads the changes that the mirror lacks, or else lists the store, then watches
 * it; lists again after every failure, unless the store still has the changes
 * since.
 */
export class StoreWatcher implements Disposable {
  readonly #services: StoreWatcherServices;
  #isDisposed = false;
  /** Whether a watch continues from the contents of the mirror. */
  #isCurrent = false;
  #failureCount = 0;

  /** @param services - Dependencies of the watcher. */
  constructor(services: StoreWatcherServices) {
    this.#services = services;
  }

  /** Runs until the watcher is disposed. */
  run(): Promise<void> {
    return runRounds(
      this.#services.clock,
      () => this.#isDisposed,
      () => this.#runRound(),
    );
  }

  /** Stops after the store call in progress and ignores its result. */
  dispose(): void {
    this.#isDisposed = true;
  }

  async #runRound(): Promise<void> {
    const { clock, watchDelayMs } = this.#services;
    const delayMs = watchDelayMs();
    if (delayMs > 0) {
      this.#isCurrent = false;
      await sleep(
        clock,
        Math.min(Math.ceil(delayMs), ROLE_CHECK_INTERVAL_MS),
      );
      return;
    }
    const calledAt = timestampNow(clock);
    const failure = await this.#read();
    if (failure && !this.#isDisposed) await this.#backOff(failure, calledAt);
  }

  /** Reads the store once; an unexpected error is a failure like others. */
  async #read(): Promise<StoreCallFailure | undefined> {
    try {
      return this.#isCurrent ? await this.#watch() : await this.#catchUp();
    } catch (thrown) {
      return { kind: "unknown", message: toErrorMessage(thrown) };
    }
  }

  async #catchUp(): Promise<StoreCallFailure | undefined> {
    // After a failure, the store may not answer this call in time either.
    const isReplayed = this.#failureCount === 0 && await this.#replay();
    if (!isReplayed) return this.#list();
    const { logger, mirror } = this.#services;
    logger.log("info", "store-caught-up", {
      revision: mirror.revision,
      failures: this.#failureCount,
    });
    this.#isCurrent = true;
    this.#failureCount = 0;
    return undefined;
  }

  async #list(): Promise<StoreCallFailure | undefined> {
    const { clock, store, mirror, logger } = this.#services;
    const sentAt = timestampNow(clock);
    const confirmedAgeMs = mirror.confirmationAgeMs;
    const listing = await store.list("");
    const failure = leftOf(listing);
    if (failure) return failure;
    const { items, revision } = listing.unsafeCoerce();
    const isReplayed = await this.#replay();
    if (this.#isDisposed) return undefined;
    if (!isReplayed) mirror.applyListing(items, revision, sentAt);
    logger.log("info", "store-listed", {
      revision,
      items: items.length,
      failures: this.#failureCount,
      isReplayed,
      tookMs: elapsedMs(clock, sentAt),
      confirmedAgeMs: loggedMs(confirmedAgeMs),
      sinceDisruptionMs: loggedMs(mirror.sinceDisruptionMs),
    });
    this.#isCurrent = true;
    this.#failureCount = 0;
    return undefined;
  }

  /**
   * Applies the changes since the contents of the mirror, of which a listing
   * does not show what was created and removed again.
   *
   * @returns Whether the store had them.
   */
  async #replay(): Promise<boolean> {
    const { clock, mirror, store } = this.#services;
    const isEmpty = mirror.revision === 0;
    if (isEmpty || mirror.confirmationAgeMs > MAX_REPLAY_AGE_MS) return false;
    const sentAt = timestampNow(clock);
    const result = await store.watch("", mirror.revision, REPLAY_WAIT_MS);
    return result.caseOf({
      Left: () => false,
      Right: ({ changes, revision }) => {
        if (!this.#isDisposed) mirror.applyChanges(changes, revision, sentAt);
        return true;
      },
    });
  }

  async #watch(): Promise<StoreCallFailure | undefined> {
    const { bounds, clock, store, mirror } = this.#services;
    const { watchWaitMs } = bounds();
    const sentAt = timestampNow(clock);
    const result = await store.watch("", mirror.revision, watchWaitMs);
    return result.caseOf<StoreCallFailure | undefined>({
      Left: (failure) => failure,
      Right: ({ changes, revision }) => {
        if (!this.#isDisposed) mirror.applyChanges(changes, revision, sentAt);
        return undefined;
      },
    });
  }

  async #backOff(
    failure: StoreCallFailure,
    calledAt: Timestamp,
  ): Promise<void> {
    const { clock, mirror, logger } = this.#services;
    const wasConnected = this.#isCurrent;
    this.#isCurrent = false;
    this.#failureCount++;
    mirror.recordStoreFailure(calledAt, failure.kind === "refused");
    if (wasConnected || this.#failureCount === 1) {
      logger.log("warn", "store-lost", {
        step: wasConnected ? "store.watch" : "store.list",
        reason: failure.kind,
        detail: failure.message,
        tookMs: elapsedMs(clock, calledAt),
        confirmedAgeMs: loggedMs(mirror.confirmationAgeMs),
      });
    }
    if (failure.kind === "compacted") return;
    await sleep(
      clock,
      Math.min(
        MAX_BACKOFF_MS,
        INITIAL_BACKOFF_MS * 2 ** (this.#failureCount - 1),
      ),
    );
  }
}

/** @returns A duration for the log; `undefined` if it is infinite. */
function loggedMs(durationMs: number): number | undefined {
  return Number.isFinite(durationMs) ? Math.round(durationMs) : undefined;
}

function elapsedMs(clock: Clock, since: Timestamp): number {
  return Math.round(ageMs(clock, since));
}
