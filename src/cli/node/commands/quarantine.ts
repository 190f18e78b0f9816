/** `ragwort quarantine`: lists quarantined requests or releases one of them. */

import { rightOf } from "../../../base/common/result.ts";
import { formatTable } from "../../common/text_table.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "../cli_context.ts";
import {
  postToFirstDaemon,
  queryAllDaemons,
  reportFailedDaemons,
  reportFailures,
} from "../operator_client.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

/** Actions of `ragwort quarantine`. */
export const QUARANTINE_ACTIONS = ["list", "release"];

const COLUMN_HEADERS = [
  "fingerprint",
  "workspace",
  "until",
  "refused by",
  "killed",
];

/** A quarantined request as reported by a daemon. */
interface ReportedRequest {
  readonly fingerprint: string;
  readonly workspace: string;
  readonly untilMs: number;
  /** Time since which the daemon refuses the request. */
  readonly sinceMs?: number;
  readonly endpoints: readonly string[];
}

/** Parts of prompts that a daemon refuses. */
interface ReportedParts {
  readonly service: string;
  readonly parts: readonly string[];
  readonly untilMs: number;
  readonly sinceMs: number;
  readonly endpoints: readonly string[];
}

/** Quarantined requests and parts of prompts as reported by a daemon. */
interface QuarantineResponse {
  readonly host: string;
  readonly requests: readonly ReportedRequest[];
  readonly promptParts?: readonly ReportedParts[];
}

/** A quarantined request as all daemons reported it. */
interface ListedRequest extends ReportedRequest {
  readonly hosts: { readonly host: string; readonly sinceMs?: number }[];
}

/** Registers the command. */
export const addQuarantineCommand: AddCommand = (cli, shell) => {
  cli.command(
    "quarantine <action> [fingerprint]",
    "List requests that are refused because they crash endpoints, or release one",
  )
    .usage("quarantine list\n  $ ragwort quarantine release FINGERPRINT")
    .example("ragwort quarantine list")
    .action((
      action: string,
      fingerprint: string | undefined,
      options: GlobalOptions,
    ) =>
      shell.run(options, (context) => {
        if (action === "list") return listQuarantine(context);
        if (action === "release" && fingerprint !== undefined) {
          return releaseRequest(context, fingerprint);
        }
        context.printError(
          "usage: ragwort quarantine list | release FINGERPRINT",
        );
        return EXIT_CODES.badInput;
      })
    );
};

/**
 * Lists the requests that the daemons refuse, with the endpoints that they
 * ended and the daemons that refuse them.
 *
 * @param context - Context with the daemons to query.
 * @returns The exit code of the command.
 */
export async function listQuarantine(context: CliContext): Promise<ExitCode> {
  const answers = await queryAllDaemons<QuarantineResponse>(
    context,
    "/quarantine",
  );
  const responses = answers.flatMap(({ result }) => rightOf(result) ?? []);
  const requests = mergeReports(responses);
  const promptParts = mergeReports(responses.map(toPartRequests));
  const rows = [...requests, ...promptParts].map((
    { fingerprint, workspace, untilMs, endpoints, hosts },
  ) => [
    fingerprint,
    workspace,
    formatTime(untilMs),
    hosts.map(({ host, sinceMs }) =>
      sinceMs === undefined ? host : `${host} since ${formatTime(sinceMs)}`
    ).join(", "),
    endpoints.join(" "),
  ]);
  const text = rows.length === 0
    ? "no requests are quarantined"
    : formatTable([COLUMN_HEADERS, ...rows]).join("\n");
  printResult(context, { requests, promptParts }, text);
  const areAllReachable = reportFailedDaemons(context, answers);
  return areAllReachable ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

/** Lists parts of prompts like requests: by the parts and their service. */
function toPartRequests(
  { host, promptParts = [] }: QuarantineResponse,
): QuarantineResponse {
  const requests = promptParts.map(({ parts, service, ...part }) => ({
    ...part,
    fingerprint: `prompt part ${parts.join(" + ")}`,
    workspace: service,
  }));
  return { host, requests };
}

/** Joins the reports of one request; the hosts may differ in what they know. */
function mergeReports(
  responses: readonly QuarantineResponse[],
): readonly ListedRequest[] {
  const listed = new Map<string, ListedRequest>();
  for (const { host, requests } of responses) {
    for (const request of requests) {
      const { fingerprint, workspace, sinceMs } = request;
      const key = `${workspace} ${fingerprint}`;
      const known = listed.get(key);
      const hosts = [
        ...known?.hosts ?? [],
        sinceMs === undefined ? { host } : { host, sinceMs },
      ];
      const fullest = known && known.endpoints.length > request.endpoints.length
        ? known
        : request;
      listed.set(key, { ...fullest, hosts });
    }
  }
  return [...listed.values()];
}

function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString();
}

async function releaseRequest(
  context: CliContext,
  fingerprint: string,
): Promise<ExitCode> {
  const released = await postToFirstDaemon<object>(
    context,
    `/quarantine/${encodeURIComponent(fingerprint)}/release`,
  );
  return released.caseOf<ExitCode>({
    Left: (failed) =>
      reportFailures(context, failed, "no daemon has quarantined this request"),
    Right: (answer) => {
      printResult(context, answer, `${fingerprint} is released`);
      return EXIT_CODES.ok;
    },
  });
}
