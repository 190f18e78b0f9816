/** The gateway's figures as Prometheus text. */

import {
  formatMetrics,
  type PublishedMetric,
  toHistogramSamples,
} from "../../../services/metrics/node/prometheus_text.ts";
import type { LogHistogram } from "../../../services/metrics/common/log_histogram.ts";
import type {
  GatewayMetrics,
  GatewaySeries,
} from "../common/gateway_metrics.ts";

const MS_PER_SECOND = 1_000;

/** Values that are read at the moment of a scrape. */
export type Gauges = Readonly<Record<string, number>>;

/**
 * @param labels - Labels of all samples.
 * @param metrics - What was counted.
 * @param gauges - Values of the present, by name.
 * @returns The text of a scrape.
 */
export function formatGatewayMetrics(
  labels: Readonly<Record<string, string>>,
  metrics: GatewayMetrics,
  gauges: Gauges,
): Promise<string> {
  return formatMetrics(labels, [
    publishRequests(metrics.series),
    publishHistograms(
      "ragwort_gateway_first_byte_seconds",
      "Time from a request to the first byte of its answer",
      metrics.series,
      ({ firstByteMs }) => firstByteMs,
    ),
    publishHistograms(
      "ragwort_gateway_total_seconds",
      "Time from a request to the end of its answer",
      metrics.series,
      ({ totalMs }) => totalMs,
    ),
    publishEventGaps(metrics),
    ...publishCounters(metrics),
    ...Object.entries(gauges).map(([name, value]) => publishGauge(name, value)),
  ]);
}

function publishRequests(series: readonly GatewaySeries[]): PublishedMetric {
  const name = "ragwort_gateway_requests_total";
  const values = series.flatMap(({ service, kind, outcomes: outcomes }) =>
    [...outcomes].map(([end, value]) => ({
      metricName: name,
      labels: { service, kind, end },
      value,
    }))
  );
  return { name, help: "Requests by how they ended", type: "counter", values };
}

function publishHistograms(
  name: string,
  help: string,
  series: readonly GatewaySeries[],
  select: (series: GatewaySeries) => LogHistogram,
): PublishedMetric {
  const values = series.flatMap((one) => {
    const labels = { service: one.service, kind: one.kind };
    return toHistogramSamples(name, select(one), MS_PER_SECOND, labels);
  });
  return { name, help, type: "histogram", values };
}

function publishEventGaps(
  { eventGapMs: eventGapMs }: GatewayMetrics,
): PublishedMetric {
  const name = "ragwort_gateway_event_pause_seconds";
  const values = toHistogramSamples(name, eventGapMs, MS_PER_SECOND, {});
  const help = "Time between two events of a stream";
  return { name, help, type: "histogram", values };
}

function publishCounters(metrics: GatewayMetrics): PublishedMetric[] {
  const byName = new Map<string, PublishedMetric["values"][number][]>();
  for (const [key, value] of metrics.counters) {
    const [counter = "", reason = ""] = key.split(":");
    const metricName = `ragwort_gateway_${counter}_total`;
    const values = byName.get(metricName) ?? [];
    byName.set(metricName, values);
    values.push({ metricName, labels: { reason }, value });
  }
  return [...byName].map(([name, values]) => ({
    name,
    help: "Events since the start, by reason",
    type: "counter" as const,
    values,
  }));
}

function publishGauge(gauge: string, value: number): PublishedMetric {
  const name = `ragwort_gateway_${gauge}`;
  const values = [{ metricName: name, labels: {}, value }];
  return { name, help: "Value of the present", type: "gauge", values };
}
