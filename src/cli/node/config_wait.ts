/** `ragwort config apply --wait`: waits until a revision is in force everywhere. */

import { type Clock, sleep } from "../../base/common/clock.ts";
import type { Address, TeamName } from "../../base/common/ids.ts";
import { rightOf } from "../../base/common/result.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "./cli_context.ts";
import { callOperatorPort } from "./operator_client.ts";
import type { DaemonStatus } from "./status_command.ts";

const POLL_PERIOD_MS = 200;
/** Time within which a revision is in force wherever it can be. */
export const DEFAULT_WAIT_MS = 16_000;

/** A revision that is to be in force. */
export interface TargetRevision {
  readonly team: TeamName;
  readonly revision: number;
  readonly waitMs: number;
}

/**
 * Waits until every daemon has a revision, and names those that lag.
 *
 * @param context - Holds the operator ports.
 * @param clock - Clock of the wait.
 * @param target - The revision.
 */
export async function waitUntilInForce(
  context: CliContext,
  clock: Clock,
  target: TargetRevision,
): Promise<ExitCode> {
  const { team, revision, waitMs } = target;
  const deadlineMs = clock.monotonicMs() + waitMs;
  let lagging = await findLagging(context, target);
  while (lagging.length > 0 && clock.monotonicMs() < deadlineMs) {
    await sleep(clock, POLL_PERIOD_MS);
    lagging = await findLagging(context, target);
  }
  const names = lagging.map(({ name, detail }) => `${name} (${detail})`);
  printResult(
    context,
    { team, revision, inForce: lagging.length === 0, lagging },
    lagging.length === 0
      ? `revision ${revision} is in force on ${context.daemons.length} daemons`
      : `revision ${revision} is not in force on: ${names.join(", ")}`,
  );
  return lagging.length === 0 ? EXIT_CODES.ok : EXIT_CODES.failed;
}

interface LaggingDaemon {
  readonly name: string;
  readonly detail: string;
}

async function findLagging(
  context: CliContext,
  target: TargetRevision,
): Promise<LaggingDaemon[]> {
  const checked = await Promise.all(
    context.daemons.map((address) => checkDaemon(context, address, target)),
  );
  return checked.filter((daemon) => daemon !== undefined);
}

async function checkDaemon(
  context: CliContext,
  address: Address,
  { team, revision }: TargetRevision,
): Promise<LaggingDaemon | undefined> {
  const answer = await callOperatorPort<DaemonStatus>(
    context,
    "GET",
    address,
    "/status",
  );
  const status = rightOf(answer);
  if (!status) return { name: address, detail: "unreachable" };
  const entry = status.teams.find((entry) => entry.team === team);
  if ((entry?.revision ?? 0) >= revision) return undefined;
  return { name: status.host, detail: `at revision ${entry?.revision ?? 0}` };
}
