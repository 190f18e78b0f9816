/** `ragwort status`. */

import { request } from "undici";
import { messageOf } from "../../base/common/errors.ts";
import type { Address } from "../../base/common/ids.ts";
import {
  type Either,
  type Eventually,
  Left,
  Right,
} from "../../base/common/result.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "./cli_context.ts";

const TIMEOUT_MS = 3_000;
const HTTP_OK = 200;

/** What a daemon says of itself. */
export interface DaemonStatus {
  readonly host: string;
  readonly zone: string;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly active: number;
  readonly teams: readonly {
    readonly team: string;
    readonly revision: number;
    readonly isDeleted: boolean;
  }[];
}

/**
 * Calls an operator port.
 *
 * @param context - Holds the operator key.
 * @param method - HTTP method.
 * @param address - The operator port.
 * @param path - Path of the call.
 * @returns The answer's JSON, or why there is none.
 */
export async function callOperatorPort<T>(
  context: CliContext,
  method: "GET" | "POST",
  address: Address,
  path: string,
): Eventually<string, T> {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: { authorization: `Bearer ${context.operatorKey}` },
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const body = await response.body.json();
    if (response.statusCode === HTTP_OK) return Right(body as T);
    return Left(`status ${response.statusCode}`);
  } catch (thrown) {
    return Left(messageOf(thrown));
  }
}

/** Prints the status of every daemon. */
export async function showStatus(context: CliContext): Promise<ExitCode> {
  const answers = await Promise.all(context.daemons.map(async (address) => ({
    address,
    status: await callOperatorPort<DaemonStatus>(
      context,
      "GET",
      address,
      "/status",
    ),
  })));
  for (const { address, status } of answers) {
    const json = status.caseOf<object>({
      Left: (detail) => ({ address, isReachable: false, detail }),
      Right: (value) => ({ address, isReachable: true, ...value }),
    });
    printResult(context, json, formatStatus(address, status));
  }
  const areAllReached = answers.every(({ status }) => status.isRight());
  return areAllReached ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

function formatStatus(
  address: Address,
  status: Either<string, DaemonStatus>,
): string {
  return status.caseOf({
    Left: (detail) => `${address}  unreachable: ${detail}`,
    Right: ({ host, zone, isReady, isDraining, active, teams }) => {
      const state = isDraining ? "draining" : isReady ? "ready" : "not ready";
      const revisions = teams.map(({ team, revision }) =>
        `${team}@${revision}`
      );
      return `${address}  ${host}  ${zone}  ${state}  ${active} active  ${
        revisions.join(" ")
      }`;
    },
  });
}
