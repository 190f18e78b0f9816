/** Rate limiter for tokens. */

/** Bucket that refills at a constant rate and may be overdrawn. */
export class TokenBucket {
  #availableTokens: number;
  #updatedMs: number;
  #tokensPerSecond: number;
  readonly #burstMs: number;

  /**
   * @param tokensPerSecond - Refill rate in tokens per second.
   * @param burstMs - Time in milliseconds in which an empty bucket refills
   * completely.
   * @param nowMs - Current time in milliseconds; the bucket starts full.
   */
  constructor(tokensPerSecond: number, burstMs: number, nowMs: number) {
    this.#tokensPerSecond = tokensPerSecond;
    this.#burstMs = burstMs;
    this.#updatedMs = nowMs;
    this.#availableTokens = this.#capacityTokens;
  }

  /** Changes the refill rate. */
  setRate(tokensPerSecond: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#tokensPerSecond = tokensPerSecond;
    this.#availableTokens = Math.min(
      this.#availableTokens,
      this.#capacityTokens,
    );
  }

  /**
   * Removes tokens from the bucket, or returns them if the number is negative.
   */
  take(tokens: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#availableTokens = Math.min(
      this.#capacityTokens,
      this.#availableTokens - tokens,
    );
  }

  /**
   * @returns Time in milliseconds until the bucket contains tokens; 0 if it
   * does already.
   */
  waitMs(nowMs: number): number {
    this.#refill(nowMs);
    if (this.#availableTokens > 0) return 0;
    return Math.ceil(
      (1 - this.#availableTokens) / this.#tokensPerSecond * 1_000,
    );
  }

  get #capacityTokens(): number {
    return this.#tokensPerSecond * this.#burstMs / 1_000;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = Math.max(this.#updatedMs, nowMs);
    this.#availableTokens = Math.min(
      this.#capacityTokens,
      this.#availableTokens + this.#tokensPerSecond * elapsedMs / 1_000,
    );
  }
}
