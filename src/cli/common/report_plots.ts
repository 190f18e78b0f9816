/** Plots of a bench's rows and of live figures. */

import {
  type DaemonMetricsSnapshot,
  mergeSeriesByKey,
} from "../../services/metrics/common/metrics_snapshot.ts";
import { HISTOGRAM_NAMES } from "../../services/metrics/common/histogram_names.ts";
import { OUTCOME_KINDS } from "../../services/metrics/common/metrics.ts";
import { toMetricsRows, toRanges } from "./metrics_rows.ts";
import type { ReportPage, ReportPlot } from "./report_page.ts";
import { formatNumber } from "./text_table.ts";

const MIN_LINE_POINTS = 5;

/** A row of a bench: any fields, numbers and texts are shown. */
export type BenchRow = Readonly<Record<string, unknown>>;

/**
 * Every numeric field becomes a plot: a line when another numeric field rises
 * from row to row, or else a bar for each row.
 *
 * @param title - Head of the page.
 * @param rows - Rows of a bench.
 * @returns The page.
 */
export function createBenchReport(
  title: string,
  rows: readonly BenchRow[],
): ReportPage {
  const fields = [...new Set(rows.flatMap(Object.keys))];
  const numeric = fields.filter((field) =>
    rows.some((row) => typeof row[field] === "number")
  );
  const axis = findAxis(rows, numeric);
  const labels = rows.map((row, index) =>
    axis === undefined ? formatRowLabel(row, index) : Number(row[axis])
  );
  const plots = numeric.filter((field) => field !== axis).map((
    field,
  ): ReportPlot => ({
    title: axis === undefined ? field : `${field} by ${axis}`,
    kind: axis === undefined ? "bar" : "line",
    labels: labels.filter((_, index) => isNumber(rows[index]?.[field])),
    lines: [{
      label: field,
      values: rows.map((row) => row[field]).filter(isNumber),
    }],
  }));
  const table = [
    fields,
    ...rows.map((row) => fields.map((field) => formatCell(row[field]))),
  ];
  return { title, plots, table };
}

/**
 * @param title - Head of the page.
 * @param daemons - Figures of the daemons.
 * @returns The page.
 */
export function createLiveReport(
  title: string,
  daemons: readonly DaemonMetricsSnapshot[],
): ReportPage {
  const rows = toMetricsRows(daemons, "class");
  const classes = rows.map(({ group }) => group);
  const outcomes: ReportPlot = {
    title: "requests by class and outcome",
    kind: "bar",
    labels: classes,
    isStacked: true,
    lines: OUTCOME_KINDS.map((kind) => ({
      label: kind,
      values: rows.map((row) => row.outcomes[kind]),
    })),
  };
  const table = [
    ["class", "requests", ...HISTOGRAM_NAMES.map((name) => `${name} p50/p99`)],
    ...rows.map(({ group, requests, measures }) => [
      group,
      String(requests),
      ...HISTOGRAM_NAMES.map((name) =>
        `${formatNumber(measures[name].p50)} / ${
          formatNumber(measures[name].p99)
        }`
      ),
    ]),
  ];
  return { title, plots: [outcomes, ...createHistogramPlots(daemons)], table };
}

function createHistogramPlots(
  daemons: readonly DaemonMetricsSnapshot[],
): ReportPlot[] {
  const groups = mergeSeriesByKey(
    daemons.flatMap(({ series }) => series),
    ({ className }) => className,
  );
  return HISTOGRAM_NAMES.map((name) => {
    const counts = [...groups].map(([className, { histograms }]) => ({
      className,
      countByUpperBound: new Map(
        toRanges(histograms[name]).map(({ below, count }) => [below, count]),
      ),
    }));
    const upperBounds = [
      ...new Set(
        counts.flatMap((
          { countByUpperBound: byBorder },
        ) => [...byBorder.keys()]),
      ),
    ].sort((left, right) => left - right);
    return {
      title: `${name}, count in each range`,
      kind: "bar",
      labels: upperBounds.map((border) => `< ${formatNumber(border)}`),
      lines: counts.map((
        { className, countByUpperBound: countByUpperBound },
      ) => ({
        label: className,
        values: upperBounds.map((border) => countByUpperBound.get(border) ?? 0),
      })),
    };
  });
}

/** A numeric field that rises from row to row and stands in all rows. */
function findAxis(
  rows: readonly BenchRow[],
  numeric: readonly string[],
): string | undefined {
  if (rows.length < MIN_LINE_POINTS) return undefined;
  return numeric.find((field) =>
    rows.every((row, index) => {
      const before = rows[index - 1]?.[field] ?? -Infinity;
      const value = row[field];
      return isNumber(value) && isNumber(before) && value > before;
    })
  );
}

function formatRowLabel(row: BenchRow, index: number): string {
  const texts = Object.values(row).filter((value) => typeof value === "string");
  return texts.length > 0 ? texts.join(" ") : `row ${index + 1}`;
}

function formatCell(value: unknown): string {
  if (value === undefined) return "";
  if (isNumber(value)) return formatNumber(value);
  return typeof value === "string" ? value : JSON.stringify(value);
}

function isNumber(value: unknown): value is number {
  return typeof value === "number";
}
