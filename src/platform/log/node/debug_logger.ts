/** Logger over the `debug` library: one JSON object a line on standard error. */

import debug from "debug";
import type { Clock } from "../../../base/common/clock.ts";
import type { LogFields, Logger, LogLevel } from "../common/logger.ts";

const NAMESPACE = "ragwort";

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
    writer(JSON.stringify(line));
  }
}

function createWriter(level: LogLevel): debug.Debugger {
  const writer = debug(`${NAMESPACE}:${level}`);
  // The line is JSON already; the library's prefix and colours are left out.
  writer.log = (...parts: unknown[]) => {
    process.stderr.write(`${extractJson(parts)}\n`);
  };
  return writer;
}

function extractJson(parts: readonly unknown[]): string {
  const text = String(parts[0]);
  return text.slice(text.indexOf("{"), text.lastIndexOf("}") + 1);
}

/**
 * Switches levels on.
 *
 * @param levels - The levels to write.
 */
export function enableLogLevels(levels: readonly LogLevel[]): void {
  debug.enable(levels.map((level) => `${NAMESPACE}:${level}`).join(","));
}
