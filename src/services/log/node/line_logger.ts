/**
 * Logger that writes JSON lines to a stream with a limit on the lines per
 * second. Lines are dropped while the stream is not read or cannot be written,
 * so that requests are never delayed or ended by logging.
 */

import type { Writable } from "node:stream";
import type { Clock } from "../../../base/common/clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";
import { type LineLoss, LineOutput } from "./line_output.ts";

/** Ten times the rate at which a busy daemon logs. */
const MAX_LINES_PER_SECOND = 400;
/** Fraction of the line limit that is reserved for warnings and errors. */
const RESERVED_FRACTION = 0.5;
const WINDOW_MS = 1_000;

/** Writes one JSON object per line. */
export class LineLogger implements Logger {
  readonly #clock: Clock;
  readonly #host: string;
  readonly #output: LineOutput;
  readonly #onDropped: (loss: LineLoss) => void;
  #windowStartMs = 0;
  #linesInWindow = 0;
  /** Dropped lines that no line has reported. */
  #unreportedCount = 0;

  /**
   * @param clock - Source of the timestamps and of the time for the limit.
   * @param host - Name of this host, included in every line.
   * @param stream - Stream to write to. Its errors are handled here.
   * @param onDropped - Called for each dropped line.
   */
  constructor(
    clock: Clock,
    host: string,
    stream: Writable,
    onDropped: (loss: LineLoss) => void = () => undefined,
  ) {
    this.#clock = clock;
    this.#host = host;
    this.#output = new LineOutput(clock, stream);
    this.#onDropped = onDropped;
  }

  /** {@inheritDoc Logger.log} */
  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#startWindowIfElapsed();
    const limit = level === "info"
      ? MAX_LINES_PER_SECOND * (1 - RESERVED_FRACTION)
      : MAX_LINES_PER_SECOND;
    if (this.#linesInWindow >= limit) {
      this.#drop("limit");
      return;
    }
    this.#linesInWindow++;
    this.#write(level, event, fields, (loss) => this.#drop(loss));
  }

  #drop(loss: LineLoss): void {
    this.#unreportedCount++;
    this.#onDropped(loss);
  }

  #startWindowIfElapsed(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs < WINDOW_MS) return;
    this.#windowStartMs = nowMs;
    this.#linesInWindow = 0;
    if (this.#unreportedCount === 0 || !this.#output.isUsable) return;
    const dropped = this.#unreportedCount;
    this.#unreportedCount = 0;
    this.#write("warn", "log-lines-dropped", { dropped }, () => {
      this.#unreportedCount += dropped;
    });
  }

  #write(
    level: LogLevel,
    event: string,
    fields: LogFields,
    onLost: (loss: LineLoss) => void,
  ): void {
    const time = new Date(this.#clock.nowMs()).toISOString();
    const line = { time, level, host: this.#host, event, ...fields };
    this.#output.write(`${JSON.stringify(line)}\n`, onLost);
  }
}
