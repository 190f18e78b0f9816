/** The figures of a daemon as Prometheus text, by prom-client. */

import { type Metric, Registry } from "prom-client";
import {
  type DaemonMetricsSnapshot,
  mergeSeriesByKey,
  type SeriesSnapshot,
} from "../common/metrics_snapshot.ts";
import { BUCKET_COUNT, type LogHistogram } from "../common/log_histogram.ts";
import {
  HISTOGRAM_NAMES,
  type HistogramName,
} from "../common/histogram_names.ts";
import { OUTCOME_KINDS } from "../common/metrics.ts";

const MS_PER_SECOND = 1_000;
/** Only every eighth bucket border is published: one for each doubling. */
const BUCKETS_PER_PUBLISHED_BUCKET = 8;

interface PublishedHistogram {
  readonly name: string;
  readonly help: string;
  /** What a recorded value is divided by. */
  readonly divisor: number;
}

const PUBLISHED_HISTOGRAMS: Readonly<
  Record<HistogramName, PublishedHistogram>
> = {
  queueWaitMs: {
    name: "ragwort_queue_wait_seconds",
    help: "Time that requests waited for a grant",
    divisor: MS_PER_SECOND,
  },
  firstTokenMs: {
    name: "ragwort_first_token_seconds",
    help: "Time from a request to its first token",
    divisor: MS_PER_SECOND,
  },
  tokenGapMs: {
    name: "ragwort_token_gap_seconds",
    help: "Time between two tokens",
    divisor: MS_PER_SECOND,
  },
  stallMs: {
    name: "ragwort_stall_seconds",
    help: "Time without a token beyond the stall limit",
    divisor: MS_PER_SECOND,
  },
  outputTokens: {
    name: "ragwort_output_tokens",
    help: "Tokens delivered to callers by one request",
    divisor: 1,
  },
};

/** One sample with its labels. */
export interface PublishedSample {
  readonly metricName: string;
  readonly labels: Readonly<Record<string, string | number>>;
  readonly value: number;
}

/** A metric as it is scraped. */
export interface PublishedMetric {
  readonly name: string;
  readonly help: string;
  readonly type: "counter" | "gauge" | "histogram";
  readonly values: readonly PublishedSample[];
}

/**
 * Histograms are published for each service and class, counters for each
 * workspace as well.
 *
 * @param snapshot - What was measured.
 * @returns The text of a scrape.
 */
export async function formatPrometheus(
  snapshot: DaemonMetricsSnapshot,
): Promise<string> {
  const { host, zone } = snapshot;
  return await formatMetrics({ host, zone }, [
    ...HISTOGRAM_NAMES.map((name) => publishHistogram(name, snapshot.series)),
    publishRequests(snapshot.series),
    publishPreemptions(snapshot.series),
    ...publishCounters(snapshot),
  ]);
}

/**
 * @param labels - Labels of all samples.
 * @param published - The metrics.
 * @returns The text of a scrape.
 */
export async function formatMetrics(
  labels: Readonly<Record<string, string>>,
  published: readonly PublishedMetric[],
): Promise<string> {
  const registry = new Registry();
  registry.setDefaultLabels(labels);
  for (const metric of published) registry.registerMetric(toMetric(metric));
  return await registry.metrics();
}

/** The registry needs only the name and the values of a metric. */
function toMetric(metric: PublishedMetric): Metric {
  const source = {
    name: metric.name,
    get: () => Promise.resolve({ ...metric, aggregator: "sum" }),
  };
  return source as unknown as Metric;
}

function publishHistogram(
  histogramName: HistogramName,
  series: readonly SeriesSnapshot[],
): PublishedMetric {
  const { name, help, divisor } = PUBLISHED_HISTOGRAMS[histogramName];
  const groups = mergeSeriesByKey(
    series,
    ({ service, className }) => JSON.stringify([service, className]),
  );
  const values = [...groups].flatMap(([key, merged]) => {
    const [service = "", className = ""] = JSON.parse(key) as string[];
    const histogram = merged.histograms[histogramName];
    if (histogram.count === 0) return [];
    return toHistogramSamples(
      name,
      histogram,
      divisor,
      { service, class: className },
    );
  });
  return { name, help, type: "histogram", values };
}

/**
 * @param name - Name of the metric.
 * @param histogram - What was recorded.
 * @param divisor - What a recorded value is divided by.
 * @param labels - Labels of the series.
 * @returns The samples of the histogram.
 */
export function toHistogramSamples(
  name: string,
  histogram: LogHistogram,
  divisor: number,
  labels: PublishedSample["labels"],
): PublishedSample[] {
  const values: PublishedSample[] = [];
  let count = 0;
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
    count += histogram.countOf(bucket);
    if (
      bucket % BUCKETS_PER_PUBLISHED_BUCKET !== BUCKETS_PER_PUBLISHED_BUCKET - 1
    ) continue;
    const le = histogram.upperBound(bucket) / divisor;
    values.push({
      metricName: `${name}_bucket`,
      labels: { ...labels, le },
      value: count,
    });
    if (count === histogram.count) break;
  }
  values.push(
    {
      metricName: `${name}_bucket`,
      labels: { ...labels, le: "+Inf" },
      value: histogram.count,
    },
    { metricName: `${name}_sum`, labels, value: histogram.sum / divisor },
    { metricName: `${name}_count`, labels, value: histogram.count },
  );
  return values;
}

function publishRequests(series: readonly SeriesSnapshot[]): PublishedMetric {
  const name = "ragwort_requests_total";
  const values = series.flatMap((entry) =>
    OUTCOME_KINDS.filter((outcome) => entry.outcomes[outcome] > 0).map((
      outcome,
    ) => ({
      metricName: name,
      labels: { ...toLabels(entry), outcome },
      value: entry.outcomes[outcome],
    }))
  );
  return { name, help: "Requests by outcome", type: "counter", values };
}

function publishPreemptions(
  series: readonly SeriesSnapshot[],
): PublishedMetric {
  const name = "ragwort_preemptions_total";
  const values = series.filter(({ preemptions }) => preemptions > 0).map((
    entry,
  ) => ({
    metricName: name,
    labels: toLabels(entry),
    value: entry.preemptions,
  }));
  return {
    name,
    help: "Preemptions of requests by their endpoints",
    type: "counter",
    values,
  };
}

function publishCounters(
  { counters }: DaemonMetricsSnapshot,
): PublishedMetric[] {
  return Object.entries(counters).map(([counter, value]) => {
    const name = `ragwort_daemon_${counter}_total`;
    return {
      name,
      help: `Counter ${counter} of the daemon`,
      type: "counter",
      values: [{ metricName: name, labels: {}, value }],
    };
  });
}

function toLabels(
  { service, workspace, className }: SeriesSnapshot,
): PublishedSample["labels"] {
  return { service, workspace, class: className };
}
