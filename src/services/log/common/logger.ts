/** Structured logging. A log line has a level, an event name and typed fields. */

/** Value of a log field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of a log line. Names of quantities end with the unit (`waitMs`). */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Severity of a log line. */
export type LogLevel = "info" | "warn" | "error";

/**
 * Writes log lines. Callers of the logger must not pass secrets or the bodies of
 * requests.
 */
export interface Logger {
  /**
   * @param level - Severity of the event.
   * @param event - Event name in kebab case.
   * @param fields - Details of the event.
   */
  log(level: LogLevel, event: string, fields?: LogFields): void;
}

/** Logger that discards all lines. */
export const NOOP_LOGGER: Logger = { log: () => undefined };

/** Collects event names in memory for tests and scenarios. */
export class MemoryLogger implements Logger {
  readonly #events: string[] = [];

  /** Names of all logged events, in order. */
  get events(): readonly string[] {
    return this.#events;
  }

  /** {@inheritDoc Logger.log} */
  log(_level: LogLevel, event: string): void {
    this.#events.push(event);
  }
}
