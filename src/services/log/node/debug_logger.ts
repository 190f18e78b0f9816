/**
 * Logger based on the `debug` library. Writes one JSON object per line to
 * standard error, unless another output is set. Lines are dropped while the
 * output cannot be written, so that logging never fails.
 */

import debug from "debug";
import type { Clock } from "../../../base/common/clock.ts";
import { SystemClock } from "../../../base/node/system_clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";
import { type LineLoss, LineOutput } from "./line_output.ts";

const NAMESPACE = "ragwort";
/** The line is passed as an argument so that `%` in it is not interpreted. */
const FORMAT = "%s";

/** Receives whole lines, each with its line break. */
export interface LogOutput {
  /**
   * Writes a line. Must not throw.
   *
   * @param line - The line.
   * @param onLost - Called at most once, at once or later, if the line is not
   * written.
   */
  write(line: string, onLost: (loss: LineLoss) => void): unknown;
}

const standardError = new LineOutput(new SystemClock(), process.stderr);
let output: LogOutput = standardError;

/** Writes each line with the `debug` namespace `ragwort:<level>`. */
export class DebugLogger implements Logger {
  readonly #clock: Clock;
  readonly #host: string;
  readonly #onDropped: (loss: LineLoss) => void;
  readonly #writers: Readonly<Record<LogLevel, debug.Debugger>>;
  /** Dropped lines that no line has reported. */
  #unreportedCount = 0;

  /**
   * @param clock - Source of the timestamps.
   * @param host - Name of this host, included in every line.
   * @param onDropped - Called for each dropped line.
   */
  constructor(
    clock: Clock,
    host: string,
    onDropped: (loss: LineLoss) => void = () => undefined,
  ) {
    this.#clock = clock;
    this.#host = host;
    this.#onDropped = onDropped;
    const write = (line: string): void => this.#write(line);
    this.#writers = {
      info: createWriter("info", write),
      warn: createWriter("warn", write),
      error: createWriter("error", write),
    };
  }

  /** {@inheritDoc Logger.log} */
  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    const writer = this.#writers[level];
    if (!writer.enabled) return;
    writer(FORMAT, this.#format(level, event, fields));
  }

  #format(level: LogLevel, event: string, fields: LogFields): string {
    const time = new Date(this.#clock.nowMs()).toISOString();
    return JSON.stringify({ time, level, host: this.#host, event, ...fields });
  }

  #write(line: string): void {
    this.#reportDropped();
    output.write(`${line}\n`, (loss) => {
      this.#unreportedCount++;
      this.#onDropped(loss);
    });
  }

  #reportDropped(): void {
    const dropped = this.#unreportedCount;
    if (dropped === 0) return;
    this.#unreportedCount = 0;
    const line = this.#format("warn", "log-lines-dropped", { dropped });
    output.write(`${line}\n`, () => {
      this.#unreportedCount += dropped;
    });
  }
}

function createWriter(
  level: LogLevel,
  write: (line: string) => void,
): debug.Debugger {
  const writer = debug(`${NAMESPACE}:${level}`);
  // The library adds its prefix to the format argument, which is ignored here.
  // The line is the second argument and is not modified.
  writer.log = (_format: unknown, line: unknown) => {
    write(String(line));
  };
  return writer;
}

/**
 * Enables the given log levels and disables all others.
 *
 * @param levels - Levels to write.
 */
export function enableLogLevels(levels: readonly LogLevel[]): void {
  debug.enable(levels.map((level) => `${NAMESPACE}:${level}`).join(","));
}

/**
 * Sets where all loggers write.
 *
 * @param newOutput - Receives the lines; standard error if omitted.
 */
export function setLogOutput(newOutput: LogOutput = standardError): void {
  output = newOutput;
}
