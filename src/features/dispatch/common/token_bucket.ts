/** Rate limits in tokens. */

/** A bucket that fills at a steady rate; it may be overdrawn. */
export class TokenBucket {
  #level: number;
  #updatedMs: number;
  #tokensPerSecond: number;
  readonly #burstMs: number;

  /**
   * @param tokensPerSecond - Rate at which the bucket fills.
   * @param burstMs - Time in which an empty bucket becomes full.
   * @param nowMs - The present; the bucket is full.
   */
  constructor(tokensPerSecond: number, burstMs: number, nowMs: number) {
    this.#tokensPerSecond = tokensPerSecond;
    this.#burstMs = burstMs;
    this.#updatedMs = nowMs;
    this.#level = this.#capacity;
  }

  /** Changes the rate. */
  setRate(tokensPerSecond: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#tokensPerSecond = tokensPerSecond;
    this.#level = Math.min(this.#level, this.#capacity);
  }

  /** Takes tokens, or gives them back when negative. */
  take(tokens: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#level = Math.min(this.#capacity, this.#level - tokens);
  }

  /** @returns Time until the bucket is no longer empty, in milliseconds. */
  waitMs(nowMs: number): number {
    this.#fill(nowMs);
    if (this.#level > 0) return 0;
    return Math.ceil((1 - this.#level) / this.#tokensPerSecond * 1_000);
  }

  get #capacity(): number {
    return this.#tokensPerSecond * this.#burstMs / 1_000;
  }

  #fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = Math.max(this.#updatedMs, nowMs);
    this.#level = Math.min(
      this.#capacity,
      this.#level + this.#tokensPerSecond * elapsedMs / 1_000,
    );
  }
}
