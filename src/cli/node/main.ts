#!/usr/bin/env node
/** Entry of `ragwort`, the operators' command line. */

import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { cac } from "cac";
import { messageOf } from "../../base/common/errors.ts";
import { asId, type TeamName } from "../../base/common/ids.ts";
import { SystemClock } from "../../base/node/system_clock.ts";
import { EtcdStoreClient } from "../../platform/store/node/etcd_store_client.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  parseAddresses,
} from "./cli_context.ts";
import { DEFAULT_WAIT_MS, waitUntilInForce } from "./config_wait.ts";
import { tellOfEndpoint } from "./endpoint_command.ts";
import { applyConfig, checkDocument, getConfig } from "./config_commands.ts";
import { showStatus } from "./status_command.ts";

interface GlobalOptions {
  readonly json?: boolean;
  readonly store?: string;
  readonly daemons?: string;
}

interface ConfigOptions extends GlobalOptions {
  readonly from?: string;
  readonly wait?: boolean;
}

async function withContext(
  options: GlobalOptions,
  run: (context: CliContext) => Promise<ExitCode> | ExitCode,
): Promise<void> {
  const { env } = process;
  const storeAddresses = parseAddresses(
    options.store ?? env["RAGWORT_STORE"] ?? "127.0.0.1:2379",
  );
  const store = new EtcdStoreClient(storeAddresses);
  const context: CliContext = {
    store,
    daemons: parseAddresses(options.daemons ?? env["RAGWORT_DAEMONS"] ?? ""),
    operatorKey: env["RAGWORT_OPERATOR_KEY"] ?? "",
    isJson: options.json === true,
    createChangeId: randomUUID,
    print: (line) => process.stdout.write(`${line}\n`),
    printError: (line) => process.stderr.write(`${line}\n`),
  };
  process.exitCode = await run(context);
  store.dispose();
}

async function runConfig(
  action: string,
  team: string,
  file: string | undefined,
  options: ConfigOptions,
): Promise<void> {
  await withContext(options, async (context) => {
    const name = asId<TeamName>(team);
    if (action === "get") return await getConfig(context, name);
    if (action === "apply" && file !== undefined) {
      return await applyConfig(context, {
        team: name,
        text: readFileSync(file, "utf8"),
        source: file,
        ...(options.from === undefined
          ? {}
          : { expectedRevision: Number(options.from) }),
        ...(options.wait ? { onAccepted: waitFor(context, name) } : {}),
      });
    }
    context.printError("usage: ragwort config get TEAM | apply TEAM FILE");
    return EXIT_CODES.badInput;
  });
}

function waitFor(context: CliContext, team: TeamName) {
  return (revision: number): Promise<ExitCode> =>
    waitUntilInForce(context, new SystemClock(), {
      team,
      revision,
      waitMs: DEFAULT_WAIT_MS,
    });
}

const cli = cac("ragwort");
cli.option("--json", "Print one JSON object a line");
cli.option(
  "--store <addresses>",
  "Addresses of the platform's store (RAGWORT_STORE)",
);
cli.option(
  "--daemons <addresses>",
  "Operator ports of the daemons (RAGWORT_DAEMONS)",
);
cli.command(
  "config <action> <team> [file]",
  "Read or change a team's document: get, apply",
)
  .option("--from <revision>", "Revision that the document was made from")
  .option("--wait", "Wait until every daemon has the change in force")
  .action(runConfig);
cli.command("check <file>", "Check a team's document without writing it")
  .action((file: string, options: GlobalOptions) =>
    withContext(
      options,
      (context) => checkDocument(context, readFileSync(file, "utf8"), file),
    )
  );
for (const word of ["drain", "return"] as const) {
  const description = word === "drain"
    ? "Give an endpoint (TEAM/SERVICE/ENDPOINT) no new work"
    : "Use a drained endpoint again";
  cli.command(`${word}-endpoint <endpoint>`, description)
    .action((endpoint: string, options: GlobalOptions) =>
      withContext(
        options,
        (context) => tellOfEndpoint(context, word, endpoint),
      )
    );
}
cli.command("status", "Show every daemon")
  .action((options: GlobalOptions) => withContext(options, showStatus));
cli.help();

try {
  cli.parse(process.argv, { run: false });
  Promise.resolve(cli.runMatchedCommand()).catch(reportFailure);
} catch (thrown) {
  reportFailure(thrown);
}

function reportFailure(thrown: unknown): void {
  process.stderr.write(`${messageOf(thrown)}\n`);
  process.exitCode = EXIT_CODES.badInput;
}
