/** Counters and histograms of the gateway, read by the metrics page. */

import type { ServiceId } from "../../../base/common/ids.ts";
import { LogHistogram } from "../../../services/metrics/common/log_histogram.ts";
import type { GatewayRoute } from "./gateway_configuration.ts";
import type { RequestOutcome } from "./request_context.ts";

/** Tenth of a millisecond: the finest difference that the histograms keep. */
const HISTOGRAM_UNITS_PER_MS = 10;

/** Figures of one service and kind of request. */
export interface GatewaySeries {
  readonly service: string;
  readonly kind: string;
  readonly outcomes: Map<RequestOutcome, number>;
  readonly firstByteMs: LogHistogram;
  readonly totalMs: LogHistogram;
}

/** Names of the counters beside requests. */
export type GatewayCounter =
  | "requests_refused"
  | "requests_sent_again"
  | "streams_continued"
  | "streams_moved"
  | "endpoints_ejected"
  | "log_lines_dropped";

/** Keeps the figures of one daemon. */
export class GatewayMetrics {
  readonly #series = new Map<string, GatewaySeries>();
  readonly #counters = new Map<string, number>();
  /** Pauses between events of a stream. */
  readonly eventGapMs = new LogHistogram(HISTOGRAM_UNITS_PER_MS);

  /** Figures by service and kind. */
  get series(): readonly GatewaySeries[] {
    return [...this.#series.values()];
  }

  /** Counters by name, with a reason behind a colon where there is one. */
  get counters(): ReadonlyMap<string, number> {
    return this.#counters;
  }

  /** Adds one to a counter. */
  count(name: GatewayCounter, reason?: string): void {
    const key = reason === undefined ? name : `${name}:${reason}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + 1);
  }

  /**
   * @param route - The request's route.
   * @param service - Where it went.
   * @param outcome - How it ended.
   * @param firstByteMs - Time to the first byte, if there was one.
   * @param totalMs - Time to the end.
   */
  recordRequest(
    route: GatewayRoute,
    service: ServiceId,
    outcome: RequestOutcome,
    firstByteMs: number | undefined,
    totalMs: number,
  ): void {
    const key = `${service} ${route.kind.kind}`;
    let series = this.#series.get(key);
    if (!series) {
      series = {
        service,
        kind: route.kind.kind,
        outcomes: new Map(),
        firstByteMs: new LogHistogram(HISTOGRAM_UNITS_PER_MS),
        totalMs: new LogHistogram(HISTOGRAM_UNITS_PER_MS),
      };
      this.#series.set(key, series);
    }
    series.outcomes.set(outcome, (series.outcomes.get(outcome) ?? 0) + 1);
    if (firstByteMs !== undefined) series.firstByteMs.record(firstByteMs);
    series.totalMs.record(totalMs);
  }
}
