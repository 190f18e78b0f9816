/** Renders the gateway's metrics in the Prometheus text format. */

import {
  formatMetrics,
  type PublishedMetric,
  toHistogramSamples,
} from "../../../services/metrics/node/prometheus_text.ts";
import type { LogHistogram } from "../../../services/metrics/common/log_histogram.ts";
import type {
  GatewayMetrics,
  GatewaySeries,
} from "../common/metrics/gateway_metrics.ts";

const MS_PER_SECOND = 1_000;

/** Gauge values by name, read at the time of a scrape. */
export type Gauges = Readonly<Record<string, number>>;

/**
 * Renders all metrics of the gateway.
 *
 * @param labels - Labels that all samples carry.
 * @param metrics - Counters and histograms.
 * @param gauges - Current gauge values by name.
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
      "Time from a request to the first byte of its response",
      metrics.series,
      ({ firstByteMs }) => firstByteMs,
    ),
    publishHistograms(
      "ragwort_gateway_total_seconds",
      "Time from a request to the end of its response",
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
  const values = series.flatMap(({ service, kind, outcomes }) =>
    [...outcomes].map(([end, value]) => ({
      metricName: name,
      labels: { service, kind, end },
      value,
    }))
  );
  return { name, help: "Requests by outcome", type: "counter", values };
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

function publishEventGaps({ eventGapMs }: GatewayMetrics): PublishedMetric {
  const name = "ragwort_gateway_event_pause_seconds";
  const values = toHistogramSamples(name, eventGapMs, MS_PER_SECOND, {});
  const help = "Time between two consecutive events of a stream";
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
    help: "Events since the daemon started, by reason",
    type: "counter" as const,
    values,
  }));
}

function publishGauge(gauge: string, value: number): PublishedMetric {
  const name = `ragwort_gateway_${gauge}`;
  const values = [{ metricName: name, labels: {}, value }];
  return { name, help: "Current value", type: "gauge", values };
}
