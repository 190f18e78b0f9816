/**
 * Logger that writes JSON lines to a stream with a limit on the lines per
 * second. If the reader of the stream stops reading, log lines are dropped, so
 * that requests are never delayed by logging.
 */

import type { Writable } from "node:stream";
import type { Clock } from "../../../base/common/clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";

/** Ten times the rate at which a busy daemon logs. */
const MAX_LINES_PER_SECOND = 400;
/** Fraction of the line limit that is reserved for warnings and errors. */
const RESERVED_FRACTION = 0.5;
/** Lines are dropped when the stream buffers more than this. */
const MAX_BUFFERED_BYTES = 262_144;
const WINDOW_MS = 1_000;

/** Writes one JSON object per line. */
export class LineLogger implements Logger {
  readonly #clock: Clock;
  readonly #host: string;
  readonly #output: Writable;
  readonly #onDropped: () => void;
  #windowStartMs = 0;
  #linesInWindow = 0;
  #droppedInWindow = 0;

  /**
   * @param clock - Source of the timestamps and of the time for the limit.
   * @param host - Name of this host, included in every line.
   * @param output - Stream to write to.
   * @param onDropped - Called for each dropped line.
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
