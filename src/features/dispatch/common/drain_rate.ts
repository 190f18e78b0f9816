/** Rate at which queued work is granted, measured while work waits. */

const DECAY_TIME_MS = 90_000;
const MIN_OBSERVED_MS = 10_000;

/** Exponentially weighted rate in tokens a second. */
export class DrainRate {
  #grantedTokens = 0;
  #observedMs = 0;
  #updatedMs: number;

  /** @param nowMs - The present. */
  constructor(nowMs: number) {
    this.#updatedMs = nowMs;
  }

  /**
   * Lets time pass; time without waiting work says nothing of the rate.
   *
   * @param nowMs - The present.
   * @param isWorkWaiting - Whether work has been waiting since the last call.
   */
  advanceClock(nowMs: number, isWorkWaiting: boolean): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = nowMs;
    if (!isWorkWaiting) return;
    const keep = Math.exp(-elapsedMs / DECAY_TIME_MS);
    this.#grantedTokens *= keep;
    this.#observedMs = this.#observedMs * keep + elapsedMs;
  }

  /** Counts work that left the queue for an endpoint. */
  recordGranted(tokens: number): void {
    this.#grantedTokens += tokens;
  }

  /** Tokens a second, or `undefined` before enough has been seen. */
  get tokensPerSecond(): number | undefined {
    if (this.#observedMs < MIN_OBSERVED_MS) return undefined;
    return Math.max(1, this.#grantedTokens / this.#observedMs * 1_000);
  }
}
