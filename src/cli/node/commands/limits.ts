/** `ragwort limits`: lists the endpoints that name a limit. */

import { rightOf } from "../../../base/common/result.ts";
import type { ListedLimit } from "../../../features/gateway/common/limit_rights.ts";
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
  "limit/s",
  "rate/s",
  "known to",
  "granter",
  "granted",
  "denied",
];

interface LimitsResponse {
  readonly host: string;
  readonly limits: readonly ListedLimit[];
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
    "List endpoints that name a limit, and who grants the rights to send",
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
    limit.requestsPerS === undefined ? "ended" : String(limit.requestsPerS),
    limit.ratePerS.toFixed(2),
    String(limit.hosts.length),
    limit.granters.join(", "),
    String(limit.granted),
    String(limit.denied),
  ]);
  const text = rows.length === 0
    ? "no endpoint names a limit"
    : formatTable([COLUMN_HEADERS, ...rows]).join("\n");
  printResult(context, { limits }, text);
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
