/** Errors that say at which step and with which peer they arose. */

/** Place at which an error arose. */
export interface ErrorContext {
  /** Step of the work, such as `store.put`. */
  readonly step: string;
  /** Other side of that step: an address, a host or a file. */
  readonly peer: string;
}

/** An expected failure; returned in an `Either`, thrown only at start-up. */
export class StepError extends Error {
  readonly #context: ErrorContext;

  /**
   * @param message - What went wrong.
   * @param context - Where it went wrong.
   * @param cause - The underlying error, if there is one.
   */
  constructor(message: string, context: ErrorContext, cause?: unknown) {
    super(`${context.step} (${context.peer}): ${message}`, { cause });
    this.name = "StepError";
    this.#context = context;
  }

  /** Step of the work at which the error arose. */
  get step(): string {
    return this.#context.step;
  }

  /** Other side of the step. */
  get peer(): string {
    return this.#context.peer;
  }
}

/**
 * Text of anything that was thrown.
 *
 * @param thrown - The value of a `catch`.
 * @returns Its message.
 */
export function toErrorMessage(thrown: unknown): string {
  if (thrown instanceof Error) return thrown.message || thrown.name;
  return String(thrown);
}

/**
 * Marks a branch that the type checker has proved unreachable.
 *
 * @param value - The value that has no case left.
 */
export function assertNever(value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
}
