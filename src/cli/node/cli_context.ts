/** What the commands of the command line share. */

import { type Clock, runPeriodically } from "../../base/common/clock.ts";
import { type Address, asId } from "../../base/common/ids.ts";
import { SystemClock } from "../../base/node/system_clock.ts";
import type { StoreClient } from "../../services/store/common/store_client.ts";

/** The clock on which commands wait. */
export const CLI_CLOCK: Clock = new SystemClock();

/** Exit codes of `ragwort`, documented in docs/OPERATING.md. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  badInput: 2,
  conflict: 3,
  unreachable: 4,
} as const;

/** Exit code of `ragwort`. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Where a command reads from and writes to. */
export interface CliContext {
  readonly store: StoreClient;
  /** Operator ports of the daemons. */
  readonly daemons: readonly Address[];
  readonly operatorKey: string;
  readonly isJson: boolean;
  /** Whether results may hold colours; false when left out. */
  readonly isColored?: boolean;
  /** Shows how far a long command is; nowhere when left out. */
  showProgress?(text: string): void;
  createChangeId(): string;
  /** Writes one line of result. */
  print(line: string): void;
  /** Writes one line about a failure and what to do. */
  printError(line: string): void;
}

/** After this time a command says what it is waiting for. */
const PROGRESS_PERIOD_MS = 2_000;
const MS_PER_SECOND = 1_000;

/**
 * Says what a command waits for when the wait is long.
 *
 * @param context - Where to say it.
 * @param label - What is waited for.
 * @param work - The work.
 * @returns The result of the work.
 */
export async function withProgress<T>(
  context: CliContext,
  label: string,
  work: Promise<T>,
): Promise<T> {
  let elapsedMs = 0;
  const timer = runPeriodically(CLI_CLOCK, PROGRESS_PERIOD_MS, () => {
    elapsedMs += PROGRESS_PERIOD_MS;
    context.showProgress?.(`${label} (${elapsedMs / MS_PER_SECOND} s)`);
  });
  try {
    return await work;
  } finally {
    timer.dispose();
  }
}

/**
 * Prints a result in the form that was asked for.
 *
 * @param context - Where to print.
 * @param json - The result for programs.
 * @param text - The result for people.
 */
export function printResult(
  context: CliContext,
  json: unknown,
  text: string,
): void {
  context.print(context.isJson ? JSON.stringify(json) : text);
}

/**
 * @param text - Addresses separated by commas.
 * @returns The addresses.
 */
export function parseAddresses(text: string): Address[] {
  return text.split(",").filter((part) => part !== "").map(asId<Address>);
}
