/**
 * `ragwort limits`: lists the endpoints that have a limit, stated or as they are
 * cold, and those that are brittle.
 */

import { rightOf } from "../../../base/common/result.ts";
import type { ListedBrittle } from "../../../features/brittle/common/room_permits.ts";
import type { ListedLimit } from "../../../features/gateway/common/limits/limit_rights.ts";
import { formatTable } from "../../common/text_table.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "../cli_context.ts";
import { queryAllDaemons, reportFailedDaemons } from "../operator_client.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

const COLUMN_HEADERS = [
  "endpoint",
  "source",
  "limit/s",
  "rate/s",
  "known to",
  "granter",
  "granted",
  "denied",
];

const BRITTLE_HEADERS = [
  "endpoint",
  "bears/s",
  "known to",
  "granter",
  "places taken",
];

interface LimitsResponse {
  readonly host: string;
  readonly limits: readonly ListedLimit[];
  /** Absent from daemons of an earlier version. */
  readonly brittle?: readonly ListedBrittle[];
}

/** A brittle endpoint as all daemons reported it. */
interface ReportedBrittle extends Omit<ListedBrittle, "granter"> {
  readonly hosts: readonly string[];
  /** Hosts that have given away places, which normally is one. */
  readonly granters: readonly string[];
}

/** A limit as all daemons reported it. */
interface ReportedLimit extends ListedLimit {
  readonly hosts: readonly string[];
  /** Hosts that have granted rights, which normally is one. */
  readonly granters: readonly string[];
}

/** Registers the command. */
export const addLimitsCommand: AddCommand = (cli, shell) => {
  cli.command(
    "limits",
    "List endpoints that have a limit or are brittle, and who grants what",
  )
    .example("ragwort limits --daemons 10.0.0.1:9464,10.0.0.2:9464")
    .action((options: GlobalOptions) => shell.run(options, listLimits));
};

async function listLimits(context: CliContext): Promise<ExitCode> {
  const answers = await queryAllDaemons<LimitsResponse>(context, "/limits");
  const limits = mergeReports(
    answers.flatMap(({ result }) => rightOf(result) ?? []),
  );
  const rows = limits.map((limit) => [
    limit.endpoint,
    limit.source ?? "stated",
    limit.requestsPerS === undefined ? "ended" : String(limit.requestsPerS),
    limit.ratePerS.toFixed(2),
    String(limit.hosts.length),
    limit.granters.join(", "),
    String(limit.granted),
    String(limit.denied),
  ]);
  const brittle = mergeBrittle(
    answers.flatMap(({ result }) => rightOf(result) ?? []),
  );
  const brittleRows = brittle.map((endpoint) => [
    endpoint.endpoint,
    String(endpoint.rejectionsPerS),
    String(endpoint.hosts.length),
    endpoint.granters.join(", "),
    String(endpoint.taken),
  ]);
  const text = [
    ...rows.length === 0
      ? ["no endpoint has a limit"]
      : formatTable([COLUMN_HEADERS, ...rows]),
    ...brittleRows.length === 0
      ? ["no endpoint is brittle"]
      : ["", ...formatTable([BRITTLE_HEADERS, ...brittleRows])],
  ].join("\n");
  printResult(context, { limits, brittle }, text);
  const areAllReachable = reportFailedDaemons(context, answers);
  return areAllReachable ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

function mergeReports(responses: readonly LimitsResponse[]): ReportedLimit[] {
  const merged = new Map<string, ReportedLimit>();
  for (const { host, limits } of responses) {
    for (const limit of limits) {
      const known = merged.get(limit.endpoint);
      const isGranter = limit.granted + limit.denied > 0;
      merged.set(limit.endpoint, {
        ...limit,
        hosts: [...known?.hosts ?? [], host],
        granters: [...known?.granters ?? [], ...isGranter ? [host] : []],
        granted: (known?.granted ?? 0) + limit.granted,
        denied: (known?.denied ?? 0) + limit.denied,
      });
    }
  }
  return [...merged.values()];
}

function mergeBrittle(
  responses: readonly LimitsResponse[],
): ReportedBrittle[] {
  const merged = new Map<string, ReportedBrittle>();
  for (const { host, brittle = [] } of responses) {
    for (const { endpoint, rejectionsPerS, taken } of brittle) {
      const known = merged.get(endpoint);
      merged.set(endpoint, {
        endpoint,
        rejectionsPerS,
        hosts: [...known?.hosts ?? [], host],
        granters: [...known?.granters ?? [], ...taken > 0 ? [host] : []],
        taken: (known?.taken ?? 0) + taken,
      });
    }
  }
  return [...merged.values()];
}
