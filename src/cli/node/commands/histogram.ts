/** `ragwort histogram`. */

import {
  countRequests,
  mergeSeries,
  OTHER_WORKSPACES,
} from "../../../services/metrics/common/metrics_snapshot.ts";
import {
  HISTOGRAM_NAMES,
  type HistogramName,
} from "../../../services/metrics/common/histogram_names.ts";
import type { LogHistogram } from "../../../services/metrics/common/log_histogram.ts";
import { summarizeHistogram, toRanges } from "../../common/metrics_rows.ts";
import {
  createApplyStyle,
  formatBar,
  formatNumber,
} from "../../common/text_table.ts";
import { type CliContext, EXIT_CODES, type ExitCode } from "../cli_context.ts";
import { collectMetrics } from "../metrics_collection.ts";
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
    .option("--measure <name>", `Only one of ${HISTOGRAM_NAMES.join(", ")}`)
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
  const names = HISTOGRAM_NAMES.filter((one) => (measure ?? one) === one);
  if (names.length === 0) {
    context.printError(
      `--measure must be one of ${HISTOGRAM_NAMES.join(", ")}`,
    );
    return EXIT_CODES.badInput;
  }
  const isWorkspace = name.includes("/") || name === OTHER_WORKSPACES;
  const field = isWorkspace ? "workspace" : "class";
  const query = `?${field}=${encodeURIComponent(name)}`;
  const { daemons, areComplete } = await collectMetrics(context, query);
  const merged = mergeSeries(daemons.flatMap(({ series }) => series));
  const { outcomes, preemptions, histograms } = merged;
  if (context.isJson) {
    context.print(
      JSON.stringify({
        name,
        outcomes,
        preemptions,
        ...toJson(merged, names),
      }),
    );
  } else {
    context.print(`${field} ${name}: ${countRequests(merged)} requests`);
    context.print(`outcomes: ${formatOutcomes(outcomes)}`);
    for (const key of names) printHistogram(context, key, histograms[key]);
  }
  return areComplete ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

function toJson(
  { histograms }: ReturnType<typeof mergeSeries>,
  names: readonly HistogramName[],
): object {
  return Object.fromEntries(names.map((name) => [name, {
    ...summarizeHistogram(histograms[name]),
    steps: toRanges(histograms[name]),
  }]));
}

function formatOutcomes(outcomes: Readonly<Record<string, number>>): string {
  return Object.entries(outcomes)
    .map(([kind, count]) => `${count} ${kind}`)
    .join(", ");
}

function printHistogram(
  context: CliContext,
  name: HistogramName,
  histogram: LogHistogram,
): void {
  const applyStyle = createApplyStyle(context.isColored === true);
  const { count, p50, p90, p99, max } = summarizeHistogram(histogram);
  context.print("");
  context.print(
    `${applyStyle("bold", name)}  ${count} values  p50 ${formatNumber(p50)}  ` +
      `p90 ${formatNumber(p90)}  p99 ${formatNumber(p99)}  ` +
      `max ${formatNumber(max)}`,
  );
  const ranges = toRanges(histogram);
  const maxCount = Math.max(1, ...ranges.map((step) => step.count));
  for (const range of ranges) {
    const label = `< ${formatNumber(range.below)}`.padStart(LABEL_WIDTH);
    const bar = formatBar(range.count / maxCount, BAR_WIDTH);
    context.print(`${label}  ${applyStyle("cyan", bar)} ${range.count}`);
  }
}
