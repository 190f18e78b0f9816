/** `ragwort drain`: drains a host and stops its daemon. */

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

/** Registers the command. */
export const addDrainCommand: AddCommand = (cli, shell) => {
  cli.command(
    "drain <host>",
    "Stop a daemon after its running requests have finished",
  )
    .option("--no-wait", "Return as soon as the host has started to drain")
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
    context.printError(
      `no daemon has the host name ${host}; see: ragwort status`,
    );
    return EXIT_CODES.failed;
  }
  const { address } = daemon;
  const response = await callOperatorPort(context, "POST", address, "/drain");
  const failure = leftOf(response);
  if (failure) {
    context.printError(`cannot drain ${host}: ${failure.detail}`);
    return EXIT_CODES.unreachable;
  }
  if (options.wait !== false) await waitUntilStopped(context, host, address);
  const state = options.wait === false ? "drains" : "has stopped";
  printResult(context, { host, state }, `${host} ${state}`);
  return EXIT_CODES.ok;
}

/** Polls the operator port, which is closed when the daemon has stopped. */
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
      context.showProgress?.(
        `${host}: ${status.active} requests are still running`,
      );
    }
    await sleep(CLI_CLOCK, POLL_PERIOD_MS);
  }
}
