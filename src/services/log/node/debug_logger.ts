/** Logger over the `debug` library: one JSON object a line on standard error. */

import debug from "debug";
import type { Clock } from "../../../base/common/clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";

const NAMESPACE = "ragwort";
/** The line is an argument, so that no `%` in it is taken for a format. */
const FORMAT = "%s";

/** Writes each line under the namespace `ragwort:<level>`. */
export class DebugLogger implements Logger {
  readonly #clock: Clock;
  readonly #host: string;
  readonly #writers: Readonly<Record<LogLevel, debug.Debugger>>;

  /**
   * @param clock - Source of the time stamps.
   * @param host - Name of this host, on every line.
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
  // The library puts its prefix into the format; the line follows as it is.
  writer.log = (_format: unknown, line: unknown) => {
    process.stderr.write(`${String(line)}\n`);
  };
  return writer;
}

/**
 * Switches levels on.
 *
 * @param levels - The levels to write.
 */
export function enableLogLevels(levels: readonly LogLevel[]): void {
  debug.enable(levels.map((level) => `${NAMESPACE}:${level}`).join(","));
}
