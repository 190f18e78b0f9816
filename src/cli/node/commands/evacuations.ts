/** `ragwort evacuations`: lists the evacuated zones. */

import { rightOf } from "../../../base/common/result.ts";
import type { EvacuatedZone } from "../../../features/gateway/common/endpoints/zone_evacuations.ts";
import { formatTable } from "../../common/text_table.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "../cli_context.ts";
import { queryAllDaemons, reportFailedDaemons } from "../operator_client.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

const COLUMN_HEADERS = ["zone", "since", "revision", "known to"];

interface EvacuationsResponse {
  readonly host: string;
  readonly evacuations: readonly EvacuatedZone[];
}

/** An evacuated zone as all daemons reported it. */
interface ReportedZone {
  readonly zone: string;
  /** Time at which the first daemon learned of it, in ISO 8601. */
  readonly since: string;
  /** Highest revision that a daemon knows. */
  readonly revision: number;
  readonly hosts: readonly string[];
}

/** Registers the command. */
export const addEvacuationsCommand: AddCommand = (cli, shell) => {
  cli.command("evacuations", "List the evacuated zones and who knows of them")
    .example("ragwort evacuations --daemons 10.0.0.1:9464,10.0.0.2:9464")
    .action((options: GlobalOptions) => shell.run(options, listEvacuations));
};

async function listEvacuations(context: CliContext): Promise<ExitCode> {
  const answers = await queryAllDaemons<EvacuationsResponse>(
    context,
    "/evacuations",
  );
  const responses = answers.flatMap(({ result }) => rightOf(result) ?? []);
  const zones = mergeReports(responses);
  const rows = zones.map(({ zone, since, revision, hosts }) => [
    zone,
    since,
    String(revision),
    `${hosts.length} of ${responses.length}`,
  ]);
  const text = rows.length === 0
    ? "no zone is evacuated"
    : formatTable([COLUMN_HEADERS, ...rows]).join("\n");
  printResult(context, { zones, asked: responses.length }, text);
  const areAllReachable = reportFailedDaemons(context, answers);
  return areAllReachable ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

function mergeReports(
  responses: readonly EvacuationsResponse[],
): readonly ReportedZone[] {
  const merged = new Map<string, ReportedZone>();
  for (const { host, evacuations } of responses) {
    for (const { zone, revision, learnedAtMs } of evacuations) {
      const known = merged.get(zone);
      const since = new Date(learnedAtMs).toISOString();
      merged.set(zone, {
        zone,
        since: known && known.since < since ? known.since : since,
        revision: Math.max(known?.revision ?? 0, revision),
        hosts: [...known?.hosts ?? [], host],
      });
    }
  }
  return [...merged.values()];
}
