/** Structured logging: an event name and typed fields. */

/** Values that a log line may carry. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one log line; names carry their unit (`waitMs`). */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Severity of a log line. */
export type LogLevel = "info" | "warn" | "error";

/** Writes log lines. Secrets and bodies of callers are never passed to it. */
export interface Logger {
  /**
   * @param level - Severity.
   * @param event - Name of the event in kebab case.
   * @param fields - What happened.
   */
  log(level: LogLevel, event: string, fields?: LogFields): void;
}

/** A logger that drops everything. */
export const NOOP_LOGGER: Logger = { log: () => undefined };

/** Collects log lines in memory, for tests and scenarios. */
export class MemoryLogger implements Logger {
  readonly #events: string[] = [];

  /** Names of the events so far. */
  get events(): readonly string[] {
    return this.#events;
  }

  /** {@inheritDoc Logger.log} */
  log(_level: LogLevel, event: string): void {
    this.#events.push(event);
  }
}
