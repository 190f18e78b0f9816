/** `ragwort status`. */

import type { Address } from "../../base/common/ids.ts";
import type { Either } from "../../base/common/result.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "./cli_context.ts";
import {
  type OperatorFailure,
  queryAllDaemons,
  reportFailedDaemons,
} from "./operator_client.ts";

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
  /** A gateway's, which has no teams. */
  readonly configurationVersion?: number;
}

/** Prints the status of every daemon. */
export async function showStatus(context: CliContext): Promise<ExitCode> {
  const answers = await queryAllDaemons<DaemonStatus>(context, "/status");
  for (const { address, result } of answers) {
    const json = result.caseOf<object>({
      Left: ({ detail }) => ({ address, isReachable: false, detail }),
      Right: (value) => ({ address, isReachable: true, ...value }),
    });
    printResult(context, json, formatStatus(address, result));
  }
  const areAllReachable = reportFailedDaemons(context, answers);
  return areAllReachable ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

function formatStatus(
  address: Address,
  status: Either<OperatorFailure, DaemonStatus>,
): string {
  return status.caseOf({
    Left: ({ detail }) => `${address}  unreachable: ${detail}`,
    Right: ({ host, zone, isReady, isDraining, active, ...rest }) => {
      const state = isDraining ? "draining" : isReady ? "ready" : "not ready";
      const revisions = rest.teams.map(({ team, revision }) =>
        `${team}@${revision}`
      );
      if (rest.configurationVersion !== undefined) {
        revisions.push(`configuration ${rest.configurationVersion}`);
      }
      return `${address}  ${host}  ${zone}  ${state}  ${active} active  ${
        revisions.join(" ")
      }`;
    },
  });
}
