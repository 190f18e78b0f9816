/** `ragwort drain`. */

import { sleep } from "../../../base/common/clock.ts";
import type { Address } from "../../../base/common/ids.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import {
  CLI_CLOCK,
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "../cli_context.ts";
import {
  callOperatorPort,
  queryAllDaemons,
  reportFailedDaemons,
} from "../operator_client.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";
import type { DaemonStatus } from "../status_command.ts";

const POLL_PERIOD_MS = 500;
const DRAIN_PROGRESS_PERIOD_MS = 2_000;

interface DrainOptions extends GlobalOptions {
  readonly wait?: boolean;
}

/** Adds the command. */
export const addDrainCommand: AddCommand = (cli, shell) => {
  cli.command(
    "drain <host>",
    "Let a host end what it runs, take nothing new, and stop",
  )
    .option("--no-wait", "End as soon as the host has agreed")
    .example("ragwort drain bogota-1")
    .action((host: string, options: DrainOptions) =>
      shell.run(options, (context) => drainHost(context, host, options))
    );
};

async function drainHost(
  context: CliContext,
  host: string,
  options: DrainOptions,
): Promise<ExitCode> {
  const answers = await queryAllDaemons<DaemonStatus>(context, "/status");
  const daemon = answers.find(({ result }) => rightOf(result)?.host === host);
  if (!daemon) {
    const areAllReachable = reportFailedDaemons(context, answers);
    if (!areAllReachable) return EXIT_CODES.unreachable;
    context.printError(`no daemon is called ${host}; see: ragwort status`);
    return EXIT_CODES.failed;
  }
  const { address } = daemon;
  const response = await callOperatorPort(context, "POST", address, "/drain");
  const failure = leftOf(response);
  if (failure) {
    context.printError(`${host} did not agree to drain: ${failure.detail}`);
    return EXIT_CODES.unreachable;
  }
  if (options.wait !== false) await waitUntilStopped(context, host, address);
  const state = options.wait === false ? "drains" : "has stopped";
  printResult(context, { host, state }, `${host} ${state}`);
  return EXIT_CODES.ok;
}

/** The operator port closes when the daemon has stopped. */
async function waitUntilStopped(
  context: CliContext,
  host: string,
  address: Address,
): Promise<void> {
  for (let waitedMs = 0;; waitedMs += POLL_PERIOD_MS) {
    const status = rightOf(
      await callOperatorPort<DaemonStatus>(context, "GET", address, "/status"),
    );
    if (!status) return;
    if (waitedMs > 0 && waitedMs % DRAIN_PROGRESS_PERIOD_MS === 0) {
      context.showProgress?.(`${host}: ${status.active} requests still run`);
    }
    await sleep(CLI_CLOCK, POLL_PERIOD_MS);
  }
}
