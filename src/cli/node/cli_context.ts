/** Context, exit codes and output functions that all commands share. */

import { type Clock, runPeriodically } from "../../base/common/clock.ts";
import { type Address, asId } from "../../base/common/ids.ts";
import { SystemClock } from "../../base/node/system_clock.ts";
import type { StoreClient } from "../../services/store/common/store_client.ts";

/** Clock for the delays and timeouts of commands. */
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

/** Services, options and output of a command. */
export interface CliContext {
  readonly store: StoreClient;
  /** Addresses of the operator ports of the daemons. */
  readonly daemons: readonly Address[];
  readonly operatorKey: string;
  readonly isJson: boolean;
  /** Whether results may contain colors; false by default. */
  readonly isColored?: boolean;
  /** Shows the progress of a long-running command; not shown if omitted. */
  showProgress?(text: string): void;
  createChangeId(): string;
  /** Writes a line of the result to standard output. */
  print(line: string): void;
  /** Writes a line about a failure and how to resolve it to standard error. */
  printError(line: string): void;
}

/** Period in which a waiting command prints what it is waiting for. */
const PROGRESS_PERIOD_MS = 2_000;
const MS_PER_SECOND = 1_000;

/**
 * Shows progress periodically until an operation completes.
 *
 * @param context - Context that shows the progress.
 * @param label - Description of the operation.
 * @param work - Operation to wait for.
 * @returns The result of the operation.
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
 * Prints a result as JSON or as text, depending on the options of the command.
 *
 * @param context - Context to print to.
 * @param json - Machine-readable result.
 * @param text - Human-readable result.
 */
export function printResult(
  context: CliContext,
  json: unknown,
  text: string,
): void {
  context.print(context.isJson ? JSON.stringify(json) : text);
}

/**
 * Splits a list of addresses. The addresses are not validated.
 *
 * @param text - Comma-separated addresses.
 * @returns The addresses without empty entries.
 */
export function parseAddresses(text: string): Address[] {
  return text.split(",").filter((part) => part !== "").map(asId<Address>);
}
