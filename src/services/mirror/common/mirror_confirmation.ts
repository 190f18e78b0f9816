/**
 * Confirms on demand that a mirror is current, for decisions that rest on what
 * it does not contain.
 */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import { timestampNow } from "../../../base/common/timestamp.ts";
import type { RevisionedStore } from "./revisioned_store.ts";
import type { StoreMirror } from "./store_mirror.ts";

/** Bounds the calls of this host, however many decisions wait. */
const MIN_READ_INTERVAL_MS = 100;
/** The store answers at once, with the changes that there are. */
const WATCH_WAIT_MS = 1;

/** Reads the changes that a mirror lacks. */
export class MirrorConfirmation {
  readonly #clock: Clock;
  readonly #store: RevisionedStore;
  readonly #mirror: StoreMirror;
  #lastRead: Promise<boolean> = Promise.resolve(false);
  #lastReadMs = -Infinity;
  /** Read that has not begun, which all callers until then share. */
  #nextRead: Promise<boolean> | undefined;

  /**
   * @param clock - Clock for the interval between reads.
   * @param store - The store.
   * @param mirror - The mirror to update.
   */
  constructor(clock: Clock, store: RevisionedStore, mirror: StoreMirror) {
    this.#clock = clock;
    this.#store = store;
    this.#mirror = mirror;
  }

  /** Time since the contents were last confirmed, in milliseconds. */
  get ageMs(): number {
    return this.#mirror.confirmationAgeMs;
  }

  /**
   * Adds all items to the mirror that were written before this call.
   *
   * @returns Whether the mirror has them; false if the store did not answer, or
   * if some were removed again meanwhile.
   */
  confirm(): Promise<boolean> {
    this.#nextRead ??= this.#readAfter(this.#lastRead);
    return this.#nextRead;
  }

  async #readAfter(previous: Promise<boolean>): Promise<boolean> {
    await previous;
    const waitMs = this.#lastReadMs + MIN_READ_INTERVAL_MS -
      this.#clock.monotonicMs();
    if (waitMs > 0) await sleep(this.#clock, waitMs);
    // A read that has begun says nothing of what happens after its start.
    this.#nextRead = undefined;
    this.#lastRead = this.#read().catch(() => false);
    return this.#lastRead;
  }

  async #read(): Promise<boolean> {
    const mirror = this.#mirror;
    if (mirror.revision === 0) return false;
    const sentAt = timestampNow(this.#clock);
    this.#lastReadMs = sentAt.monotonicMs;
    const result = await this.#store.watch("", mirror.revision, WATCH_WAIT_MS);
    return result.caseOf({
      Left: () => false,
      Right: ({ changes, revision }) => {
        if (changes.length > 0) return mirror.addAhead(changes);
        mirror.applyChanges([], revision, sentAt);
        return true;
      },
    });
  }
}
