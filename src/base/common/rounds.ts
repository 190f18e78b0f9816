/** Loops that an unexpected error in one round does not end. */

import { type Clock, sleep } from "./clock.ts";
import { onUnexpectedError } from "./errors.ts";

/** Pause after a round that raised an unexpected error. */
const ERROR_PAUSE_MS = 1_000;

/**
 * Runs rounds one after the other. An unexpected error in a round is reported,
 * and the next round follows after a pause.
 *
 * @param clock - Clock of the pause.
 * @param isOver - Returns whether no further round is to run.
 * @param runRound - Runs one round, with the pause that follows it.
 */
export async function runRounds(
  clock: Clock,
  isOver: () => boolean,
  runRound: () => Promise<void>,
): Promise<void> {
  while (!isOver()) {
    try {
      await runRound();
    } catch (thrown) {
      onUnexpectedError(thrown);
      await sleep(clock, ERROR_PAUSE_MS);
    }
  }
}

/**
 * Runs a part of a loop. An unexpected error in it is reported.
 *
 * @param work - The part; the loop continues after it in any case.
 */
export function runReporting(work: () => void): void {
  try {
    work();
  } catch (thrown) {
    onUnexpectedError(thrown);
  }
}
