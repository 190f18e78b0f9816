/** Error type that names the failed operation, and helpers for errors. */

import { type Disposable, toDisposable } from "./lifecycle.ts";

/** Operation that failed and the peer it failed with. */
export interface ErrorContext {
  /** Name of the operation, such as `store.put`. */
  readonly step: string;
  /** Remote side of the operation: an address, a host or a file. */
  readonly peer: string;
}

/** Expected failure; returned in an `Either`, and thrown only during startup. */
export class StepError extends Error {
  readonly #context: ErrorContext;

  /**
   * @param message - Description of the failure.
   * @param context - Operation and peer of the failure.
   * @param cause - Underlying error, if any.
   */
  constructor(message: string, context: ErrorContext, cause?: unknown) {
    super(`${context.step} (${context.peer}): ${message}`, { cause });
    this.name = "StepError";
    this.#context = context;
  }

  /** Name of the operation that failed. */
  get step(): string {
    return this.#context.step;
  }

  /** Remote side of the operation. */
  get peer(): string {
    return this.#context.peer;
  }
}

/**
 * Converts a thrown value to a message.
 *
 * @param thrown - Value that was caught.
 * @returns The error message, or the value as a string if it is not an error.
 */
export function toErrorMessage(thrown: unknown): string {
  if (thrown instanceof Error) return thrown.message || thrown.name;
  return String(thrown);
}

/** Handles an error that the code in which it occurs cannot handle. */
export type UnexpectedErrorHandler = (thrown: unknown) => void;

let unexpectedErrorHandler: UnexpectedErrorHandler = (thrown) => {
  throw thrown;
};

/**
 * Replaces the handler of unexpected errors. Until a process sets one, they are
 * thrown on.
 *
 * @param handler - The handler; must not throw in a process that serves.
 * @returns A disposable that restores the handler before.
 */
export function setUnexpectedErrorHandler(
  handler: UnexpectedErrorHandler,
): Disposable {
  const previous = unexpectedErrorHandler;
  unexpectedErrorHandler = handler;
  return toDisposable(() => {
    unexpectedErrorHandler = previous;
  });
}

/**
 * Reports an error that must not stop what follows it.
 *
 * @param thrown - Value that was caught.
 */
export function onUnexpectedError(thrown: unknown): void {
  unexpectedErrorHandler(thrown);
}

/**
 * Checks at compile time that all variants are handled.
 *
 * @param value - Value without a remaining variant.
 * @throws An error with the value if the branch is reached at run time.
 */
export function assertNever(value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
}
