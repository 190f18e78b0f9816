/** `ragwort histogram`. */

import {
  mergeSeries,
  OTHER_WORKSPACES,
  requestCountOf,
} from "../../../services/metrics/common/figures.ts";
import {
  MEASURE_NAMES,
  type MeasureName,
} from "../../../services/metrics/common/measures.ts";
import type { LogHistogram } from "../../../services/metrics/common/log_histogram.ts";
import { summarise, toSteps } from "../../common/figure_rows.ts";
import {
  createPaint,
  formatBar,
  formatNumber,
} from "../../common/text_table.ts";
import { type CliContext, EXIT_CODES, type ExitCode } from "../cli_context.ts";
import { collectFigures } from "../figures.ts";
import type { AddCommand, GlobalOptions } from "../shell.ts";

const BAR_WIDTH = 40;
const LABEL_WIDTH = 12;

interface HistogramOptions extends GlobalOptions {
  readonly measure?: string;
}

/** Adds the command. */
export const addHistogramCommand: AddCommand = (cli, shell) => {
  cli.command(
    "histogram <name>",
    "Show the histograms of a workspace (TEAM/WORKSPACE) or of a class",
  )
    .option("--measure <name>", `Only one of ${MEASURE_NAMES.join(", ")}`)
    .example("ragwort histogram taranga/franchise-office")
    .example("ragwort histogram lookup --measure tokenGapMs")
    .action((name: string, options: HistogramOptions) =>
      shell.run(
        options,
        (context) => showHistograms(context, name, options.measure),
      )
    );
};

async function showHistograms(
  context: CliContext,
  name: string,
  measure: string | undefined,
): Promise<ExitCode> {
  const wanted = MEASURE_NAMES.filter((one) => (measure ?? one) === one);
  if (wanted.length === 0) {
    context.printError(`--measure must be one of ${MEASURE_NAMES.join(", ")}`);
    return EXIT_CODES.badInput;
  }
  const isWorkspace = name.includes("/") || name === OTHER_WORKSPACES;
  const field = isWorkspace ? "workspace" : "class";
  const query = `?${field}=${encodeURIComponent(name)}`;
  const { daemons, areComplete } = await collectFigures(context, query);
  const merged = mergeSeries(daemons.flatMap(({ series }) => series));
  const { outcomes, preemptions, histograms } = merged;
  if (context.isJson) {
    context.print(
      JSON.stringify({
        name,
        outcomes,
        preemptions,
        ...toJson(merged, wanted),
      }),
    );
  } else {
    context.print(`${field} ${name}: ${requestCountOf(merged)} requests`);
    context.print(`outcomes: ${formatOutcomes(outcomes)}`);
    for (const one of wanted) printHistogram(context, one, histograms[one]);
  }
  return areComplete ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

function toJson(
  { histograms }: ReturnType<typeof mergeSeries>,
  wanted: readonly MeasureName[],
): object {
  return Object.fromEntries(wanted.map((name) => [name, {
    ...summarise(histograms[name]),
    steps: toSteps(histograms[name]),
  }]));
}

function formatOutcomes(outcomes: Readonly<Record<string, number>>): string {
  return Object.entries(outcomes)
    .map(([kind, count]) => `${count} ${kind}`)
    .join(", ");
}

function printHistogram(
  context: CliContext,
  name: MeasureName,
  histogram: LogHistogram,
): void {
  const paint = createPaint(context.isColoured === true);
  const { count, p50, p90, p99, max } = summarise(histogram);
  context.print("");
  context.print(
    `${paint("bold", name)}  ${count} values  p50 ${formatNumber(p50)}  ` +
      `p90 ${formatNumber(p90)}  p99 ${formatNumber(p99)}  ` +
      `max ${formatNumber(max)}`,
  );
  const steps = toSteps(histogram);
  const most = Math.max(1, ...steps.map((step) => step.count));
  for (const step of steps) {
    const label = `< ${formatNumber(step.below)}`.padStart(LABEL_WIDTH);
    const bar = formatBar(step.count / most, BAR_WIDTH);
    context.print(`${label}  ${paint("cyan", bar)} ${step.count}`);
  }
}
