/** Logs unexpected errors of a process that serves, instead of ending it. */

import type { Clock } from "../../../base/common/clock.ts";
import {
  setUnexpectedErrorHandler,
  toErrorMessage,
} from "../../../base/common/errors.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import { SystemClock } from "../../../base/node/system_clock.ts";
import { LogGate } from "../common/log_gate.ts";
import type { Logger } from "../common/logger.ts";

const MAX_STACK_CHARACTERS = 2_000;
/** Time between two lines for errors that are raised at the same place. */
const REPEATED_LINE_INTERVAL_MS = 1_000;
/** Codes and names that are counted apart; a code may come from outside. */
const MAX_REASONS = 50;
/** Pairs of a reason and a place whose lines are limited apart. */
const MAX_REPEATED_LINES = 500;
const OTHER = "other";

/**
 * Writes `unexpected-error` for each error that nothing handles. The end of the
 * process would break off everything that it serves, and the same input could
 * end the next process too. An error in the handling itself is ignored. Of errors
 * that repeat, one line a second is written, so that they leave the log to others.
 *
 * @param logger - Logger for the errors.
 * @param onError - Called for each error with its code, or its name without one;
 * with `other` for all but the first ones of these.
 * @param clock - Clock of the time between two lines.
 * @returns A disposable that restores the handling before.
 */
export function logUnexpectedErrors(
  logger: Logger,
  onError: (reason: string) => void = () => undefined,
  clock: Clock = new SystemClock(),
): Disposable {
  const gate = new LogGate(clock, REPEATED_LINE_INTERVAL_MS);
  const reasons = new Set<string>();
  const repeated = new Set<string>();
  const handle = (thrown: unknown): void => {
    try {
      const reason = bound(reasons, reasonOf(thrown), MAX_REASONS);
      onError(reason);
      const line = `${reason} ${placeOf(thrown)}`;
      const suppressed = gate.pass(bound(repeated, line, MAX_REPEATED_LINES));
      if (suppressed === undefined) return;
      const stack = thrown instanceof Error ? thrown.stack : undefined;
      logger.log("error", "unexpected-error", {
        detail: toErrorMessage(thrown),
        suppressed,
        stack: stack?.slice(0, MAX_STACK_CHARACTERS),
      });
    } catch {
      // An error that leaves the handler would end the process.
    }
  };
  const handler = setUnexpectedErrorHandler(handle);
  process.on("uncaughtException", handle);
  process.on("unhandledRejection", handle);
  return toDisposable(() => {
    handler.dispose();
    process.off("uncaughtException", handle);
    process.off("unhandledRejection", handle);
  });
}

/** @returns The text, or `other` if it is new and there are enough known ones. */
function bound(known: Set<string>, text: string, maxCount: number): string {
  if (known.size < maxCount) known.add(text);
  return known.has(text) ? text : OTHER;
}

function reasonOf(thrown: unknown): string {
  if (!(thrown instanceof Error)) return typeof thrown;
  return (thrown as NodeJS.ErrnoException).code ?? thrown.name;
}

/** @returns The place in the code that raised the error, if it is known. */
function placeOf(thrown: unknown): string {
  if (!(thrown instanceof Error) || !thrown.stack) return "";
  const { message, stack } = thrown;
  // The message may have lines that look like places.
  const places = stack.slice(stack.indexOf(message) + message.length);
  return /^ +at .*$/m.exec(places)?.[0] ?? "";
}
