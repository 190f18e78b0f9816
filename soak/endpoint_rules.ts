/**
 * Checks what endpoints may receive: requests that crash them, requests after
 * they said that they leave, and requests that they asked not to get.
 */

/** A request that an endpoint received. */
export interface EndpointArrival {
  readonly endpoint: string;
  /** Daemon that sent it. */
  readonly daemon: string;
  readonly atMs: number;
  /** Time since the daemon was disturbed, in milliseconds. */
  readonly calmMs: number;
  /**
   * Time for which the daemon has been in touch with its peers, undisturbed, in
   * milliseconds.
   */
  readonly contactMs: number;
  /**
   * Time for which the daemon has been in touch with the store, undisturbed, in
   * milliseconds.
   */
  readonly storeContactMs: number;
}

/** Time in milliseconds that a daemon has after a disturbance or a crash. */
const CONTACT_MS = 3_000;
/** Crashes after which a request must be known. */
const MAX_CRASHES = 3;
/** Crashes after which a part of prompts must be known. */
export const MAX_PART_CRASHES = 5;
/** Sends of such a request that may still reach endpoints. */
const MAX_RETRIES = 3;
/** Time in milliseconds after a notice in which requests may still arrive. */
const DRAIN_MS = 2_300;
const HOLD_GRACE_MS = 500;
/** Requests of one daemon that may arrive while an endpoint is held back. */
const MAX_HELD_ARRIVALS = 2;

interface Hold {
  readonly key: string;
  readonly sinceMs: number;
  readonly untilMs: number;
  arrivals: number;
}

/** Records arrivals and finds those that were not allowed. */
export class EndpointRules {
  readonly #crashTimesMs = new Map<string, number[]>();
  readonly #lateRetries = new Map<string, number>();
  readonly #noticesMs = new Map<string, number>();
  readonly #removalsMs = new Map<string, number>();
  readonly #holds = new Map<string, Hold>();
  readonly #violations = new Set<string>();
  #crashCount = 0;

  /** Number of endpoints that were crashed by a request. */
  get crashCount(): number {
    return this.#crashCount;
  }

  /**
   * Records a request that crashes the endpoint that receives it.
   *
   * @param content - What causes the crash.
   * @param arrival - The request at the endpoint.
   * @param maxCrashes - Crashes after which the cause must be known.
   */
  recordCrash(
    content: string,
    { atMs, contactMs }: EndpointArrival,
    maxCrashes = MAX_CRASHES,
  ): void {
    this.#crashCount++;
    const times = this.#crashTimesMs.get(content) ?? [];
    this.#crashTimesMs.set(content, times);
    const knownMs = times[maxCrashes - 1];
    // What a daemon sees that is cut from its peers, the others cannot know.
    if (contactMs > 0) times.push(atMs);
    const isLate = knownMs !== undefined && atMs > knownMs + CONTACT_MS;
    // A daemon learns of crashes at other daemons from its peers only.
    if (!isLate || contactMs < CONTACT_MS) return;
    const count = (this.#lateRetries.get(content) ?? 0) + 1;
    this.#lateRetries.set(content, count);
    if (count > MAX_RETRIES) {
      this.#violations.add(`budget: ${content} crashed endpoints again`);
    }
  }

  /** Records that a daemon got an answer of an endpoint that leaves. */
  recordNotice({ daemon, endpoint, atMs }: EndpointArrival): void {
    const key = `${endpoint} ${daemon}`;
    if (!this.#noticesMs.has(key)) this.#noticesMs.set(key, atMs);
  }

  /** Records that an endpoint asked a daemon to send nothing for a time. */
  recordHold(
    { daemon, endpoint, atMs }: EndpointArrival,
    holdMs: number,
  ): void {
    const key = `${endpoint} ${daemon}`;
    const current = this.#holds.get(key);
    if (current && atMs < current.untilMs) return;
    const untilMs = atMs + holdMs;
    this.#holds.set(key, { key, sinceMs: atMs, untilMs, arrivals: 0 });
  }

  /**
   * Records that the entry of an endpoint was removed.
   *
   * @param endpoint - The endpoint, which may serve on.
   * @param atMs - Wall-clock time of the removal in milliseconds.
   * @param stableMs - Time since the store was disrupted, in milliseconds.
   */
  recordRemoval(endpoint: string, atMs: number, stableMs: number): void {
    if (stableMs >= CONTACT_MS) this.#removalsMs.set(endpoint, atMs);
  }

  /** Forgets removals, when entries may have returned. */
  forgetRemovals(): void {
    this.#removalsMs.clear();
  }

  /** Checks an arrival against earlier removals, notices and holds. */
  recordArrival(arrival: EndpointArrival): void {
    const { atMs, calmMs, contactMs, daemon, endpoint, storeContactMs } =
      arrival;
    const removedMs = this.#removalsMs.get(endpoint) ?? Infinity;
    const inTouchMs = Math.min(calmMs, contactMs, storeContactMs);
    if (atMs - removedMs > DRAIN_MS && inTouchMs >= CONTACT_MS) {
      this.#violations.add(`drain: ${daemon} sent to removed ${endpoint}`);
    }
    const key = `${endpoint} ${daemon}`;
    const noticeMs = this.#noticesMs.get(key);
    const sinceNoticeMs = noticeMs === undefined ? 0 : atMs - noticeMs;
    if (sinceNoticeMs > DRAIN_MS && calmMs >= sinceNoticeMs) {
      this.#violations.add(`drain: ${daemon} sent to leaving ${endpoint}`);
    }
    const hold = this.#holds.get(key);
    const isHeld = hold !== undefined && atMs < hold.untilMs &&
      atMs > hold.sinceMs + HOLD_GRACE_MS;
    if (!isHeld || calmMs < atMs - hold.sinceMs) return;
    if (++hold.arrivals > MAX_HELD_ARRIVALS) {
      this.#violations.add(`held: ${daemon} sent to ${endpoint}`);
    }
  }

  /** @returns One line per violation. */
  findViolations(): readonly string[] {
    return [...this.#violations];
  }
}
