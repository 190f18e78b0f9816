/** How the answers of one endpoint turned out lately. */

/** Outcomes that are remembered; a few seconds of one daemon's share. */
const OUTCOME_WINDOW_SIZE = 12;
/** Outcomes below which no rate is told. */
const MIN_OUTCOMES_FOR_RATE = 4;
/** Share of failures from which an endpoint is kept out. */
const EJECTION_FAILURE_RATE = 0.4;
/** Failures of transport in a row that eject without a rate. */
const EJECTION_CONSECUTIVE_BROKEN = 3;
/** Silent requests without an answer in between that eject; one may be a slow request. */
const EJECTION_CONSECUTIVE_UNRESPONSIVE = 2;
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 6_000;

/** What became of a request, as far as it tells of its endpoint. */
export type EndpointOutcome =
  | "served"
  /** It answered with a failure of its own. */
  | "failed"
  /** It refused; full endpoints do. */
  | "refused"
  /** No connection could be opened. */
  | "unreachable"
  /** Reset, or bytes that are no answer. */
  | "broken"
  /** No sign of an answer for much longer than usual. */
  | "silent";

/** Counts outcomes and keeps an endpoint out for a while. */
export class EndpointHealth {
  readonly #outcomes: boolean[] = [];
  #consecutiveBroken = 0;
  #ejectionCount = 0;
  #consecutiveUnresponsive = 0;
  #ejectedUntilMs = -Infinity;

  /** Share of failures among the last outcomes. */
  get failureRate(): number {
    if (this.#outcomes.length < MIN_OUTCOMES_FOR_RATE) return 0;
    const failures = this.#outcomes.filter((isFailure) => isFailure).length;
    return failures / this.#outcomes.length;
  }

  /** @returns Whether the endpoint is kept out now. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /**
   * @param outcome - What became of a request.
   * @param nowMs - Monotonic time.
   * @returns Whether the endpoint has just been ejected.
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

  /** Keeps the endpoint out, each time for longer. */
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
