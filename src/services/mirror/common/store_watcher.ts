/**
 * Keeps a mirror up to date with the store. Recovers from store outages and
 * from compacted history by listing the store again.
 */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import { type Disposable } from "../../../base/common/lifecycle.ts";
import { timestampNow } from "../../../base/common/timestamp.ts";
import type { Logger } from "../../log/common/logger.ts";
import type { RevisionedStore, StoreCallFailure } from "./revisioned_store.ts";
import type { StoreMirror } from "./store_mirror.ts";

/**
 * Maximum time for which the store holds a watch open. A watch without changes
 * confirms the contents as of its start, so this limits the age of the
 * confirmation.
 */
const WATCH_WAIT_MS = 800;
/**
 * Exponential backoff after failures. The upper limit is short because the
 * store usually recovers within milliseconds or seconds.
 */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 600;
const ROLE_CHECK_INTERVAL_MS = 250;

/** Dependencies of {@link StoreWatcher}. */
export interface StoreWatcherServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: RevisionedStore;
  readonly mirror: StoreMirror;
  /** Whether this daemon should currently read the store directly. */
  readonly shouldWatch: () => boolean;
}

/** Lists the store once, then watches it; lists again after every failure. */
export class StoreWatcher implements Disposable {
  readonly #services: StoreWatcherServices;
  #isDisposed = false;
  #hasListed = false;
  #failureCount = 0;

  /** @param services - Dependencies of the watcher. */
  constructor(services: StoreWatcherServices) {
    this.#services = services;
  }

  /** Runs until the watcher is disposed. */
  async run(): Promise<void> {
    const { clock, shouldWatch } = this.#services;
    while (!this.#isDisposed) {
      if (!shouldWatch()) {
        this.#hasListed = false;
        await sleep(clock, ROLE_CHECK_INTERVAL_MS);
        continue;
      }
      const failure = this.#hasListed
        ? await this.#watch()
        : await this.#list();
      if (failure && !this.#isDisposed) await this.#backOff(failure);
    }
  }

  /** Stops after the store call in progress and ignores its result. */
  dispose(): void {
    this.#isDisposed = true;
  }

  async #list(): Promise<StoreCallFailure | undefined> {
    const { clock, store, mirror, logger } = this.#services;
    const sentAt = timestampNow(clock);
    const listing = await store.list("");
    return listing.caseOf<StoreCallFailure | undefined>({
      Left: (failure) => failure,
      Right: ({ items, revision }) => {
        if (this.#isDisposed) return undefined;
        mirror.applyListing(items, revision, sentAt);
        logger.log("info", "store-listed", {
          revision,
          items: items.length,
          failures: this.#failureCount,
        });
        this.#hasListed = true;
        this.#failureCount = 0;
        return undefined;
      },
    });
  }

  async #watch(): Promise<StoreCallFailure | undefined> {
    const { clock, store, mirror } = this.#services;
    const sentAt = timestampNow(clock);
    const result = await store.watch("", mirror.revision, WATCH_WAIT_MS);
    return result.caseOf<StoreCallFailure | undefined>({
      Left: (failure) => failure,
      Right: ({ changes, revision }) => {
        if (!this.#isDisposed) mirror.applyChanges(changes, revision, sentAt);
        return undefined;
      },
    });
  }

  async #backOff(failure: StoreCallFailure): Promise<void> {
    const { clock, mirror, logger } = this.#services;
    const wasConnected = this.#hasListed;
    this.#hasListed = false;
    this.#failureCount++;
    mirror.recordStoreFailure(timestampNow(clock));
    if (wasConnected || this.#failureCount === 1) {
      logger.log("warn", "store-lost", {
        step: wasConnected ? "store.watch" : "store.list",
        reason: failure.kind,
        detail: failure.message,
        confirmedAgeMs: Math.round(mirror.confirmationAgeMs),
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
