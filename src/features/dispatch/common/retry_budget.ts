/** Bound on how much retries add to the load. */

const CREDIT_PER_SUCCESS = 0.1;
const MAX_CREDIT = 50;
const INITIAL_CREDIT = 20;

/** Each success earns a part of a retry. */
export class RetryBudget {
  #credit = INITIAL_CREDIT;

  /** Counts a request that was answered. */
  onSuccess(): void {
    this.#credit = Math.min(MAX_CREDIT, this.#credit + CREDIT_PER_SUCCESS);
  }

  /** @returns Whether a retry may be made; it is then counted. */
  take(): boolean {
    if (this.#credit < 1) return false;
    this.#credit--;
    return true;
  }
}
