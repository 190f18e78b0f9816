/**
 * Health of one endpoint, from the outcomes of recent requests. An unhealthy
 * endpoint is ejected: it gets no requests for a while.
 */

/**
 * Number of outcomes considered; a few seconds of one daemon's share of the
 * requests.
 */
const OUTCOME_WINDOW_SIZE = 12;
/** Minimum number of outcomes for a failure rate. */
const MIN_OUTCOMES_FOR_RATE = 4;
/** Failure rate from which an endpoint is ejected. */
const EJECTION_FAILURE_RATE = 0.4;
/**
 * Number of consecutive transport failures that cause an ejection, whatever the
 * failure rate.
 */
const EJECTION_CONSECUTIVE_BROKEN = 3;
/**
 * Number of requests without a response, with no response in between, that
 * cause an ejection. A single one may be a slow request.
 */
const EJECTION_CONSECUTIVE_UNRESPONSIVE = 2;
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 6_000;

/**
 * Outcome of a request, as far as it says something about its endpoint. The
 * values appear in the log and in metrics.
 */
export type EndpointOutcome =
  | "served"
  /** The endpoint answered with an error of its own. */
  | "failed"
  /** The endpoint refused the request, as full endpoints do. */
  | "refused"
  /** A connection could not be opened. */
  | "unreachable"
  /** The connection was reset, or the response was invalid. */
  | "broken"
  /** There was no response for much longer than usual. */
  | "silent";

/** Counts outcomes and ejects an endpoint for a limited time. */
export class EndpointHealth {
  readonly #outcomes: boolean[] = [];
  #consecutiveBroken = 0;
  #ejectionCount = 0;
  #consecutiveUnresponsive = 0;
  #ejectedUntilMs = -Infinity;

  /** Share of failures among the recent outcomes, or 0 if there are too few. */
  get failureRate(): number {
    if (this.#outcomes.length < MIN_OUTCOMES_FOR_RATE) return 0;
    const failures = this.#outcomes.filter((isFailure) => isFailure).length;
    return failures / this.#outcomes.length;
  }

  /** @returns Whether the endpoint is currently ejected. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /**
   * Records an outcome and ejects the endpoint if it is unhealthy.
   *
   * @param outcome - The outcome of a request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the endpoint was ejected by this outcome.
   */
  record(outcome: EndpointOutcome, nowMs: number): boolean {
    if (outcome === "refused") return false;
    const isFailure = outcome !== "served";
    this.#outcomes.push(isFailure);
    if (this.#outcomes.length > OUTCOME_WINDOW_SIZE) this.#outcomes.shift();
    this.#consecutiveBroken = outcome === "broken"
      ? this.#consecutiveBroken + 1
      : 0;
    if (outcome === "silent") this.#consecutiveUnresponsive++;
    else if (outcome !== "unreachable") this.#consecutiveUnresponsive = 0;
    if (!isFailure) {
      if (this.failureRate < EJECTION_FAILURE_RATE / 2) this.#ejectionCount = 0;
      return false;
    }
    const isEjectionDue = outcome === "unreachable" ||
      this.#consecutiveUnresponsive >= EJECTION_CONSECUTIVE_UNRESPONSIVE ||
      this.failureRate >= EJECTION_FAILURE_RATE ||
      this.#consecutiveBroken >= EJECTION_CONSECUTIVE_BROKEN;
    if (!isEjectionDue || this.isEjected(nowMs)) return false;
    this.eject(nowMs);
    return true;
  }

  /** Ejects the endpoint, each time for longer. */
  eject(nowMs: number): void {
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      INITIAL_EJECTION_MS * 2 ** this.#ejectionCount,
    );
    this.#ejectionCount++;
    this.#ejectedUntilMs = nowMs + durationMs;
    this.#outcomes.length = 0;
    this.#consecutiveBroken = 0;
    this.#consecutiveUnresponsive = 0;
  }
}
