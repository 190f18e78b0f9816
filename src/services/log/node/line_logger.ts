/**
 * Structured lines on standard output, bounded by a budget a second. A reader
 * that stops reading costs log lines, never a request.
 */

import type { Writable } from "node:stream";
import type { Clock } from "../../../base/common/clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";

/** Lines a second; ten times what a daemon writes on a busy day. */
const LINES_PER_SECOND = 400;
/** Part of the budget that is left for warnings and errors. */
const RESERVED_SHARE = 0.5;
/** Unwritten bytes from which lines are dropped instead of kept in memory. */
const MAX_PENDING_BYTES = 262_144;
const SECOND_MS = 1_000;

/** Writes one JSON object a line. */
export class LineLogger implements Logger {
  readonly #clock: Clock;
  readonly #host: string;
  readonly #output: Writable;
  readonly #onDropped: () => void;
  #windowStartMs = 0;
  #linesInWindow = 0;
  #dropped = 0;

  /**
   * @param clock - Source of the time stamps.
   * @param host - Name of this host, on every line.
   * @param output - Where lines go.
   * @param onDropped - Called for each line that was dropped.
   */
  constructor(
    clock: Clock,
    host: string,
    output: Writable,
    onDropped: () => void = () => undefined,
  ) {
    this.#clock = clock;
    this.#host = host;
    this.#output = output;
    this.#onDropped = onDropped;
  }

  /** {@inheritDoc Logger.log} */
  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#turnWindow();
    const limit = level === "info"
      ? LINES_PER_SECOND * (1 - RESERVED_SHARE)
      : LINES_PER_SECOND;
    const isFull = this.#linesInWindow >= limit ||
      this.#output.writableLength > MAX_PENDING_BYTES;
    if (isFull) {
      this.#dropped++;
      this.#onDropped();
      return;
    }
    this.#linesInWindow++;
    this.#write(level, event, fields);
  }

  #turnWindow(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs < SECOND_MS) return;
    this.#windowStartMs = nowMs;
    this.#linesInWindow = 0;
    if (this.#dropped === 0) return;
    const dropped = this.#dropped;
    this.#dropped = 0;
    this.#write("warn", "log-lines-dropped", { dropped });
  }

  #write(level: LogLevel, event: string, fields: LogFields): void {
    const time = new Date(this.#clock.nowMs()).toISOString();
    const line = { time, level, host: this.#host, event, ...fields };
    this.#output.write(`${JSON.stringify(line)}\n`);
  }
}
