/**
 * Structured lines on standard output, bounded by a budget a second. A reader
 * that stops reading costs log lines, never a request.
 */

import type { Writable } from "node:stream";
import type { Clock } from "../../../base/common/clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";

/** Lines a second; ten times what a daemon writes on a busy day. */
const MAX_LINES_PER_SECOND = 400;
/** Part of the budget that is left for warnings and errors. */
const RESERVED_FRACTION = 0.5;
/** Unwritten bytes from which lines are dropped instead of kept in memory. */
const MAX_BUFFERED_BYTES = 262_144;
const WINDOW_MS = 1_000;

/** Writes one JSON object a line. */
export class LineLogger implements Logger {
  readonly #clock: Clock;
  readonly #host: string;
  readonly #output: Writable;
  readonly #onDropped: () => void;
  #windowStartMs = 0;
  #linesInWindow = 0;
  #droppedInWindow = 0;

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
    this.#startWindowIfElapsed();
    const limit = level === "info"
      ? MAX_LINES_PER_SECOND * (1 - RESERVED_FRACTION)
      : MAX_LINES_PER_SECOND;
    const isFull = this.#linesInWindow >= limit ||
      this.#output.writableLength > MAX_BUFFERED_BYTES;
    if (isFull) {
      this.#droppedInWindow++;
      this.#onDropped();
      return;
    }
    this.#linesInWindow++;
    this.#write(level, event, fields);
  }

  #startWindowIfElapsed(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs < WINDOW_MS) return;
    this.#windowStartMs = nowMs;
    this.#linesInWindow = 0;
    if (this.#droppedInWindow === 0) return;
    const dropped = this.#droppedInWindow;
    this.#droppedInWindow = 0;
    this.#write("warn", "log-lines-dropped", { dropped });
  }

  #write(level: LogLevel, event: string, fields: LogFields): void {
    const time = new Date(this.#clock.nowMs()).toISOString();
    const line = { time, level, host: this.#host, event, ...fields };
    this.#output.write(`${JSON.stringify(line)}\n`);
  }
}
