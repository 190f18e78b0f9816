/** `ragwort status`: prints the status of all daemons. */

import type { Address } from "../../base/common/ids.ts";
import type {
  HedgingLimits,
  HedgingSettings,
} from "../../features/gateway/common/configuration/operator_settings.ts";
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

/** Status that a daemon reports. */
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
  /** Reported only by gateways, which have no teams. */
  readonly configurationVersion?: number;
  /** Limits of hedged calls; earlier gateways do not report them. */
  readonly hedging?: HedgingSettings;
}

/** Prints the status of all daemons. */
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
      const status =
        `${address}  ${host}  ${zone}  ${state}  ${active} active  ${
          revisions.join(" ")
        }`;
      return [status, ...formatHedging(rest.hedging)].join("  ");
    },
  });
}

/** @returns A column with the limits in force; none if no calls are hedged. */
export function formatHedging(hedging: HedgingSettings | undefined): string[] {
  if (!hedging) return [];
  const { default: defaults, services } = hedging;
  const named: [string, HedgingLimits][] = Object.entries(services);
  if (defaults) named.unshift(["default", defaults]);
  if (named.length === 0) return [];
  const texts = named.map(([name, { maxExtraPerS, maxExtraShare }]) =>
    `${name} ${maxExtraShare} of calls, ${maxExtraPerS}/s`
  );
  return [`hedging ${texts.join("; ")}`];
}
