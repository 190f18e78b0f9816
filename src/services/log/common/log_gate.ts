/** Keeps lines that repeat for the same reason from filling the log. */

import type { Clock } from "../../../base/common/clock.ts";

interface GateEntry {
  readonly loggedMs: number;
  suppressed: number;
}

/** Lets one line for each reason pass in an interval, and counts the others. */
export class LogGate {
  readonly #clock: Clock;
  readonly #intervalMs: number;
  readonly #entries = new Map<string, GateEntry>();

  /**
   * @param clock - Clock of the interval.
   * @param intervalMs - Time between two lines for the same reason.
   */
  constructor(clock: Clock, intervalMs: number) {
    this.#clock = clock;
    this.#intervalMs = intervalMs;
  }

  /**
   * @param reason - Identifies the lines that count as repetitions. The set of
   * reasons must be bounded.
   * @returns The number of lines suppressed since the last one, or `undefined`
   * if this line has to be suppressed too.
   */
  pass(reason: string): number | undefined {
    const nowMs = this.#clock.monotonicMs();
    const last = this.#entries.get(reason);
    if (last && nowMs - last.loggedMs < this.#intervalMs) {
      last.suppressed++;
      return undefined;
    }
    this.#entries.set(reason, { loggedMs: nowMs, suppressed: 0 });
    return last?.suppressed ?? 0;
  }
}
