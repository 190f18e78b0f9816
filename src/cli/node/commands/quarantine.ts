/** `ragwort quarantine`. */

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

/** What `ragwort quarantine` can do. */
export const QUARANTINE_ACTIONS = ["list", "release"];

const COLUMN_HEADERS = ["fingerprint", "workspace", "until", "killed"];

/** What a daemon says of the requests that it refuses. */
interface QuarantineResponse {
  readonly requests: readonly {
    readonly fingerprint: string;
    readonly workspace: string;
    readonly untilMs: number;
    readonly endpoints: readonly string[];
  }[];
}

/** Adds the command. */
export const addQuarantineCommand: AddCommand = (cli, shell) => {
  cli.command(
    "quarantine <action> [fingerprint]",
    "List the requests that are refused since they kill endpoints, or release one",
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

async function listQuarantine(context: CliContext): Promise<ExitCode> {
  const answers = await queryAllDaemons<QuarantineResponse>(
    context,
    "/quarantine",
  );
  const requests = answers.flatMap(({ result }) =>
    rightOf(result)?.requests ?? []
  );
  const byFingerprint = new Map(
    requests.map((request) => [request.fingerprint, request]),
  );
  const rows = [...byFingerprint.values()].map((
    { fingerprint, workspace, untilMs, endpoints },
  ) => [
    fingerprint,
    workspace,
    new Date(untilMs).toISOString(),
    endpoints.join(" "),
  ]);
  const text = rows.length === 0
    ? "no request is refused"
    : formatTable([COLUMN_HEADERS, ...rows]).join("\n");
  printResult(context, { requests: [...byFingerprint.values()] }, text);
  const areAllReachable = reportFailedDaemons(context, answers);
  return areAllReachable ? EXIT_CODES.ok : EXIT_CODES.unreachable;
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
      reportFailures(context, failed, "no daemon refuses this request"),
    Right: (answer) => {
      printResult(context, answer, `${fingerprint} may run again`);
      return EXIT_CODES.ok;
    },
  });
}
