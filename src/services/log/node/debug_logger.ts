/**
 * Logger based on the `debug` library. Writes one JSON object per line to
 * standard error, unless another output is set.
 */

import debug from "debug";
import type { Clock } from "../../../base/common/clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";

const NAMESPACE = "ragwort";
/** The line is passed as an argument so that `%` in it is not interpreted. */
const FORMAT = "%s";

/** Receives whole lines, each with its line break. */
export interface LineOutput {
  write(line: string): unknown;
}

let output: LineOutput = process.stderr;

/** Writes each line with the `debug` namespace `ragwort:<level>`. */
export class DebugLogger implements Logger {
  readonly #clock: Clock;
  readonly #host: string;
  readonly #writers: Readonly<Record<LogLevel, debug.Debugger>>;

  /**
   * @param clock - Source of the timestamps.
   * @param host - Name of this host, included in every line.
   */
  constructor(clock: Clock, host: string) {
    this.#clock = clock;
    this.#host = host;
    this.#writers = {
      info: createWriter("info"),
      warn: createWriter("warn"),
      error: createWriter("error"),
    };
  }

  /** {@inheritDoc Logger.log} */
  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    const writer = this.#writers[level];
    if (!writer.enabled) return;
    const time = new Date(this.#clock.nowMs()).toISOString();
    const line = { time, level, host: this.#host, event, ...fields };
    writer(FORMAT, JSON.stringify(line));
  }
}

function createWriter(level: LogLevel): debug.Debugger {
  const writer = debug(`${NAMESPACE}:${level}`);
  // The library adds its prefix to the format argument, which is ignored here.
  // The line is the second argument and is not modified.
  writer.log = (_format: unknown, line: unknown) => {
    output.write(`${String(line)}\n`);
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
export function setLogOutput(newOutput: LineOutput = process.stderr): void {
  output = newOutput;
}
