/** `ragwort orders`: rollouts of models, versions and adapters. */

import { assertNever } from "../../base/common/errors.ts";
import { rightOf } from "../../base/common/result.ts";
import type {
  RolloutStage,
  RolloutStatus,
} from "../../features/orders/common/rollout.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "./cli_context.ts";
import { queryAllDaemons } from "./operator_client.ts";

/** What a daemon says of the orders of its zone. */
export interface OrdersResponse {
  readonly host: string;
  readonly zone: string;
  readonly isHolder: boolean;
  readonly rollouts: readonly RolloutStatus[];
}

/** Prints the rollouts of every zone, as its holder of the lease sees them. */
export async function showOrders(context: CliContext): Promise<ExitCode> {
  const answers = await queryAllDaemons<OrdersResponse>(context, "/orders");
  const holders = answers.flatMap(({ result }) => {
    const value = rightOf(result);
    return value?.isHolder ? [value] : [];
  });
  for (const holder of holders) {
    printResult(context, holder, formatHolder(holder));
  }
  if (holders.length === 0) {
    context.printError(
      "no daemon gives orders: none is reachable, the store is down, or no service has `desired`",
    );
    return EXIT_CODES.unreachable;
  }
  const isAnyStopped = holders.some(({ rollouts }) =>
    rollouts.some(({ stage }) => stage.kind === "stopped")
  );
  return isAnyStopped ? EXIT_CODES.failed : EXIT_CODES.ok;
}

function formatHolder({ host, zone, rollouts }: OrdersResponse): string {
  const lines = rollouts.flatMap(({ service, desired, stage, endpoints }) => [
    `  ${service}  wants ${desired.model} ${desired.version}  ${
      formatStage(stage)
    }`,
    ...endpoints.map(({ id, state }) =>
      `    ${id}  ${state ? `${state.model} ${state.version}` : "no answer"}`
    ),
  ]);
  return [`${zone}  (orders by ${host})`, ...lines].join("\n");
}

function formatStage(stage: RolloutStage): string {
  switch (stage.kind) {
    case "settled":
      return "settled";
    case "changing":
      return `changing ${stage.endpoint}`;
    case "observing":
      return `watching ${stage.endpoint}`;
    case "waiting":
      return `waiting ${stage.reason}`;
    case "stopped":
      return `STOPPED at ${stage.endpoint}: ${stage.reason}; change \`desired\` to go on`;
    default:
      return assertNever(stage);
  }
}
