/** How the answers of one endpoint turned out lately. */

/** Outcomes that are remembered; a few seconds of one daemon's share. */
const WINDOW_SIZE = 12;
/** Outcomes below which no rate is told. */
const MIN_OUTCOMES = 4;
/** Share of failures from which an endpoint is kept out. */
const EJECT_FAILURE_RATE = 0.4;
/** Failures of transport in a row that eject without a rate. */
const EJECT_BROKEN_IN_A_ROW = 3;
/** Silent requests without an answer in between that eject; one may be a slow request. */
const EJECT_SILENT_IN_A_ROW = 2;
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 6_000;

/** What became of a request, as far as it tells of its endpoint. */
export type HealthSign =
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
  readonly #window: boolean[] = [];
  #brokenInARow = 0;
  #ejections = 0;
  #silentInARow = 0;
  #ejectedUntilMs = -Infinity;

  /** Share of failures among the last outcomes. */
  get failureRate(): number {
    if (this.#window.length < MIN_OUTCOMES) return 0;
    const failures = this.#window.filter((isFailure) => isFailure).length;
    return failures / this.#window.length;
  }

  /** @returns Whether the endpoint is kept out now. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /**
   * @param sign - What became of a request.
   * @param nowMs - Monotonic time.
   * @returns Whether the endpoint has just been ejected.
   */
  note(sign: HealthSign, nowMs: number): boolean {
    if (sign === "refused") return false;
    const isFailure = sign !== "served";
    this.#window.push(isFailure);
    if (this.#window.length > WINDOW_SIZE) this.#window.shift();
    this.#brokenInARow = sign === "broken" ? this.#brokenInARow + 1 : 0;
    if (sign === "silent") this.#silentInARow++;
    else if (sign !== "unreachable") this.#silentInARow = 0;
    if (!isFailure) {
      if (this.failureRate < EJECT_FAILURE_RATE / 2) this.#ejections = 0;
      return false;
    }
    const isBad = sign === "unreachable" ||
      this.#silentInARow >= EJECT_SILENT_IN_A_ROW ||
      this.failureRate >= EJECT_FAILURE_RATE ||
      this.#brokenInARow >= EJECT_BROKEN_IN_A_ROW;
    if (!isBad || this.isEjected(nowMs)) return false;
    this.eject(nowMs);
    return true;
  }

  /** Keeps the endpoint out, each time for longer. */
  eject(nowMs: number): void {
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.#ejections,
    );
    this.#ejections++;
    this.#ejectedUntilMs = nowMs + durationMs;
    this.#window.length = 0;
    this.#brokenInARow = 0;
    this.#silentInARow = 0;
  }
}
