/** Rate limits in tokens. */

/** A bucket that fills at a steady rate; it may be overdrawn. */
export class TokenBucket {
  #availableTokens: number;
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
    this.#availableTokens = this.#capacityTokens;
  }

  /** Changes the rate. */
  setRate(tokensPerSecond: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#tokensPerSecond = tokensPerSecond;
    this.#availableTokens = Math.min(
      this.#availableTokens,
      this.#capacityTokens,
    );
  }

  /** Takes tokens, or gives them back when negative. */
  take(tokens: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#availableTokens = Math.min(
      this.#capacityTokens,
      this.#availableTokens - tokens,
    );
  }

  /** @returns Time until the bucket is no longer empty, in milliseconds. */
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
