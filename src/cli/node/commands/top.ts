/** `ragwort top`. */

import { sleep } from "../../../base/common/clock.ts";
import {
  type Grouping,
  GROUPINGS,
  type MetricsRow,
  toMetricsRows,
} from "../../common/metrics_rows.ts";
import {
  createApplyStyle,
  formatBar,
  formatNumber,
  formatTable,
} from "../../common/text_table.ts";
import {
  CLI_CLOCK,
  type CliContext,
  EXIT_CODES,
  type ExitCode,
} from "../cli_context.ts";
import { collectMetrics } from "../metrics_collection.ts";
import type { AddCommand, GlobalOptions, Shell } from "../shell.ts";

const CLEAR_SCREEN = "\u001b[H\u001b[2J";
const DEFAULT_PERIOD_SECONDS = 2;
const MS_PER_SECOND = 1_000;
const BAR_WIDTH = 20;
const MAX_ROWS = 30;
const COLUMN_HEADERS = [
  "req/s",
  "requests",
  "not-run",
  "interrupted",
  "unknown",
  "queue p99",
  "first p50",
  "first p99",
  "gap p99",
  "stall p99",
  "preempted",
];

interface TopOptions extends GlobalOptions {
  readonly by?: string;
  readonly every?: number;
  readonly once?: boolean;
}

/** Counts of the last look, for the rates. */
interface PreviousSample {
  readonly atMs: number;
  readonly requests: ReadonlyMap<string, number>;
}

/** Adds the command. */
export const addTopCommand: AddCommand = (cli, shell) => {
  cli.command("top", "Show a live table of all daemons together (times in ms)")
    .option("--by <group>", `Rows: ${GROUPINGS.join(", ")}`, {
      default: "class",
    })
    .option("--every <seconds>", "Time between two looks", {
      default: DEFAULT_PERIOD_SECONDS,
    })
    .option("--once", "Print the table once and end")
    .example("ragwort top --by workspace")
    .example("ragwort top --once --json")
    .action((options: TopOptions) =>
      shell.run(options, (context) => runTop(context, shell, options))
    );
};

async function runTop(
  context: CliContext,
  shell: Shell,
  options: TopOptions,
): Promise<ExitCode> {
  const grouping = GROUPINGS.find((name) => name === options.by);
  const periodMs = Number(options.every) * MS_PER_SECOND;
  if (!grouping || !(periodMs > 0)) {
    context.printError(
      `--by must be one of ${GROUPINGS.join(", ")}, and --every above 0`,
    );
    return EXIT_CODES.badInput;
  }
  const isLive = shell.isTerminal && !options.once && !context.isJson;
  let sample = await printSample(context, shell, { grouping, isLive });
  while (isLive && sample.exitCode === EXIT_CODES.ok) {
    await sleep(CLI_CLOCK, periodMs);
    sample = await printSample(context, shell, {
      grouping,
      isLive,
      last: sample,
    });
  }
  return sample.exitCode;
}

async function printSample(
  context: CliContext,
  shell: Shell,
  { grouping, isLive, last: previous }: {
    readonly grouping: Grouping;
    readonly isLive: boolean;
    readonly last?: PreviousSample;
  },
): Promise<PreviousSample & { readonly exitCode: ExitCode }> {
  const { daemons, areComplete } = await collectMetrics(context);
  const rows = toMetricsRows(daemons, grouping);
  const atMs = CLI_CLOCK.monotonicMs();
  if (context.isJson) {
    for (const row of rows) context.print(JSON.stringify(row));
  } else {
    if (isLive) shell.write(CLEAR_SCREEN);
    const lines = formatRows(
      context,
      grouping,
      rows,
      createRateFormatter(previous, atMs),
    );
    for (const line of lines) context.print(line);
  }
  const shouldContinue = areComplete || (isLive && daemons.length > 0);
  return {
    atMs,
    requests: new Map(rows.map(({ group, requests }) => [group, requests])),
    exitCode: shouldContinue ? EXIT_CODES.ok : EXIT_CODES.unreachable,
  };
}

function createRateFormatter(
  previous: PreviousSample | undefined,
  nowMs: number,
): (row: MetricsRow) => string {
  if (!previous) return () => "";
  const seconds = (nowMs - previous.atMs) / MS_PER_SECOND;
  return ({ group, requests }) => {
    const added = requests - (previous.requests.get(group) ?? 0);
    return formatNumber(Math.max(0, added) / seconds);
  };
}

function formatRows(
  context: CliContext,
  grouping: Grouping,
  rows: readonly MetricsRow[],
  rateOf: (row: MetricsRow) => string,
): string[] {
  const applyStyle = createApplyStyle(context.isColored === true);
  const shown = rows.slice(0, MAX_ROWS);
  const maxRequests = Math.max(1, ...shown.map(({ requests }) => requests));
  const [headers = "", ...lines] = formatTable([
    [grouping, ...COLUMN_HEADERS],
    ...shown.map((row) => toCells(row, rateOf(row))),
  ]);
  return [
    applyStyle("bold", headers),
    ...lines.map((line, index) => {
      const bar = formatBar(
        (shown[index]?.requests ?? 0) / maxRequests,
        BAR_WIDTH,
      );
      return `${line}  ${applyStyle("cyan", bar)}`;
    }),
  ];
}

function toCells(row: MetricsRow, rate: string): string[] {
  const { outcomes, measures } = row;
  return [
    row.group,
    rate,
    String(row.requests),
    String(outcomes["not-run"]),
    String(outcomes.interrupted),
    String(outcomes.unknown),
    formatNumber(measures.queueWaitMs.p99),
    formatNumber(measures.firstTokenMs.p50),
    formatNumber(measures.firstTokenMs.p99),
    formatNumber(measures.tokenGapMs.p99),
    formatNumber(measures.stallMs.p99),
    String(row.preemptions),
  ];
}
