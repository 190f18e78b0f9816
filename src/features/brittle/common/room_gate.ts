/**
 * Grants the places of one brittle endpoint to the requests of all hosts, so
 * that it does not have to turn them away. It uses less than all places after a
 * rejection, and none for a while after as many as the endpoint can bear.
 */

/** Result of asking for a place. */
export type RoomOffer =
  | { readonly kind: "granted" }
  /** There is no place; one may be free after this time, in milliseconds. */
  | { readonly kind: "denied"; readonly freeInMs: number };

/** State of the endpoint when a place is asked for. */
export interface RoomState {
  /** Requests that the endpoint runs at the same time. */
  readonly slots: number;
  /** Requests that all hosts have there, as far as they report them. */
  readonly reportedRuns: number;
  /** Rejections in a second that the endpoint can bear. */
  readonly rejectionsPerS: number;
  /** Share of the places that this granter gives away, from 0 to 1. */
  readonly share: number;
}

/** Window in which an endpoint counts its rejections. */
const WINDOW_MS = 1_000;
/** Share of the rejections that an endpoint can bear which are risked. */
const RISKED_SHARE = 0.5;
/** Pause after a rejection, in which places become free. */
const REJECTION_PAUSE_MS = 100;
/** Factor of the places in use after a rejection. */
const DECREASE_FACTOR = 0.75;
/**
 * Time without a rejection after which one more place is used. It doubles with
 * each rejection, as the endpoint has no more room then.
 */
const MIN_INCREASE_INTERVAL_MS = 400;
const MAX_INCREASE_INTERVAL_MS = 6_400;
/** Weight of the newest time in the average time that a place is held. */
const HOLD_SMOOTHING = 0.1;
const MIN_DENIAL_MS = 15;
const MAX_DENIAL_MS = 500;
/** Time for which a denied request is expected to come back. */
const DENIED_MEMORY_MS = 250;
/**
 * Age from which a host knows of a place that it was given; the question for it
 * is given up sooner.
 */
const MIN_KNOWN_AGE_MS = 1_000;
/** Hosts that have ended return nothing, and others ask again sooner. */
const FOREIGN_LIFETIME_MS = 5_000;

/** Places of one endpoint. */
export class RoomGate {
  /** Monotonic times in milliseconds at which places were taken and expire. */
  readonly #places = new Map<
    string,
    { readonly sinceMs: number; readonly expiresMs: number }
  >();
  /** Places that hosts have from another granter, by host. */
  readonly #foreign = new Map<
    string,
    { readonly count: number; readonly expiresMs: number }
  >();
  #rejectionsMs: number[] = [];
  #denialsMs: number[] = [];
  #closedUntilMs = -Infinity;
  /** Places that may be used after rejections. */
  #maxInUse = Infinity;
  #changedMs = -Infinity;
  #increaseIntervalMs = MIN_INCREASE_INTERVAL_MS / 2;
  #holdMs = 50;

  /** Number of places that are taken. */
  get takenCount(): number {
    return this.#places.size;
  }

  /**
   * Applies what a host says of its places. It may have some from another
   * granter, and may have returned some to another one.
   *
   * @param host - The host; its holders begin with it.
   * @param held - Number of its places.
   * @param nowMs - Monotonic time in milliseconds.
   */
  report(host: string, held: number, nowMs: number): void {
    const places = [...this.#places].filter(([holder]) =>
      holderHost(holder) === host
    );
    const returned = places
      .filter(([, { sinceMs }]) => sinceMs <= nowMs - MIN_KNOWN_AGE_MS)
      .slice(0, Math.max(0, places.length - held));
    for (const [holder] of returned) this.#places.delete(holder);
    const foreign = held - places.length + returned.length;
    this.#setForeign(host, foreign, nowMs);
  }

  /**
   * Takes a place.
   *
   * @param holder - Identifies the request.
   * @param nowMs - Monotonic time in milliseconds.
   * @param leaseMs - Time after which the place is free even if it is not
   * returned, in milliseconds.
   * @param state - State of the endpoint.
   */
  take(
    holder: string,
    nowMs: number,
    leaseMs: number,
    { rejectionsPerS, reportedRuns, share, slots }: RoomState,
  ): RoomOffer {
    this.#expire(nowMs);
    this.#increase(nowMs, slots);
    const maxRejections = Math.max(
      1,
      Math.floor(rejectionsPerS * RISKED_SHARE),
    );
    if (this.#rejectionsMs.length >= maxRejections) {
      this.#closeUntil(this.#rejectionsMs[0]! + WINDOW_MS);
    }
    if (nowMs < this.#closedUntilMs) return this.#deny(nowMs, slots);
    const places = Math.max(1, Math.floor(slots * share));
    const inUse = Math.max(
      this.#places.size + this.#foreignCount,
      reportedRuns,
    );
    if (inUse >= Math.min(places, this.#maxInUse)) {
      return this.#deny(nowMs, slots);
    }
    this.#places.set(holder, { sinceMs: nowMs, expiresMs: nowMs + leaseMs });
    return { kind: "granted" };
  }

  /**
   * Returns a place.
   *
   * @param holder - Identifies the request; it may hold no place.
   * @param nowMs - Monotonic time in milliseconds.
   * @param wasRejected - Whether the endpoint turned the request away.
   */
  release(holder: string, nowMs: number, wasRejected: boolean): void {
    const place = this.#places.get(holder);
    this.#places.delete(holder);
    if (!place) {
      const host = holderHost(holder);
      const count = this.#foreign.get(host)?.count ?? 0;
      this.#setForeign(host, count - 1, nowMs);
    }
    if (!wasRejected) {
      if (!place) return;
      const heldMs = nowMs - place.sinceMs;
      this.#holdMs += (heldMs - this.#holdMs) * HOLD_SMOOTHING;
      return;
    }
    this.#rejectionsMs.push(nowMs);
    const inUse = Math.min(this.#maxInUse, this.#places.size + 1);
    this.#maxInUse = Math.max(1, Math.floor(inUse * DECREASE_FACTOR));
    this.#changedMs = nowMs;
    this.#increaseIntervalMs = Math.min(
      MAX_INCREASE_INTERVAL_MS,
      this.#increaseIntervalMs * 2,
    );
    this.#closeUntil(nowMs + REJECTION_PAUSE_MS);
  }

  get #foreignCount(): number {
    return [...this.#foreign.values()].reduce(
      (sum, { count }) => sum + count,
      0,
    );
  }

  #setForeign(host: string, count: number, nowMs: number): void {
    const expiresMs = nowMs + FOREIGN_LIFETIME_MS;
    if (count > 0) this.#foreign.set(host, { count, expiresMs });
    else this.#foreign.delete(host);
  }

  #increase(nowMs: number, slots: number): void {
    if (this.#maxInUse >= slots) return;
    const elapsedMs = nowMs - this.#changedMs;
    const steps = Math.floor(elapsedMs / this.#increaseIntervalMs);
    if (steps === 0) return;
    this.#maxInUse += steps;
    this.#changedMs += steps * this.#increaseIntervalMs;
    if (this.#maxInUse < slots) return;
    this.#increaseIntervalMs = MIN_INCREASE_INTERVAL_MS / 2;
  }

  #closeUntil(untilMs: number): void {
    this.#closedUntilMs = Math.max(this.#closedUntilMs, untilMs);
  }

  #deny(nowMs: number, slots: number): RoomOffer {
    this.#denialsMs.push(nowMs);
    const queueMs = this.#holdMs * this.#denialsMs.length / slots;
    const closedMs = this.#closedUntilMs - nowMs;
    const freeInMs = Math.min(
      MAX_DENIAL_MS,
      Math.max(MIN_DENIAL_MS, queueMs, closedMs),
    );
    return { kind: "denied", freeInMs };
  }

  #expire(nowMs: number): void {
    const isRecent = (windowMs: number) => (atMs: number) =>
      atMs > nowMs - windowMs;
    this.#rejectionsMs = this.#rejectionsMs.filter(isRecent(WINDOW_MS));
    this.#denialsMs = this.#denialsMs.filter(isRecent(DENIED_MEMORY_MS));
    for (const [host, { expiresMs }] of this.#foreign) {
      if (expiresMs <= nowMs) this.#foreign.delete(host);
    }
    for (const [holder, { expiresMs }] of this.#places) {
      if (expiresMs <= nowMs) this.#places.delete(holder);
    }
  }
}

/** @returns The host of a holder, which a number follows. */
export function holderHost(holder: string): string {
  return holder.slice(0, Math.max(0, holder.lastIndexOf("#")));
}
