/** Counters and histograms of the gateway, exported by the metrics page. */

import type { ServiceId } from "../../../../base/common/ids.ts";
import { LogHistogram } from "../../../../services/metrics/common/log_histogram.ts";
import type { GatewayRoute } from "../configuration/gateway_configuration.ts";
import type { RequestOutcome } from "./request_outcome.ts";

/** Histogram resolution: a tenth of a millisecond. */
const HISTOGRAM_UNITS_PER_MS = 10;

/** Metrics of one service and kind of request. */
export interface GatewaySeries {
  readonly service: string;
  readonly kind: string;
  readonly outcomes: Map<RequestOutcome, number>;
  readonly firstByteMs: LogHistogram;
  readonly totalMs: LogHistogram;
}

/** Names of the counters other than those of completed requests. */
export type GatewayCounter =
  | "requests_refused"
  | "requests_sent_again"
  | "hedges"
  | "streams_continued"
  | "streams_moved"
  | "runs_stopped"
  | "endpoints_ejected"
  | "endpoints_held"
  | "generations_rejected"
  | "direct_paths_lost"
  | "requests_relayed"
  | "relays_ended"
  | "relays_refused"
  | "response_ends_checked"
  | "limits_changed"
  | "limit_rights"
  | "room_permits"
  | "crashes_recorded"
  | "crashes_refuted"
  | "requests_quarantined"
  | "requests_refused_as_crashing"
  | "prompt_parts_quarantined"
  | "resumptions_refused"
  | "streams_resumed"
  | "peer_messages_refused"
  | "peer_messages_failed"
  | "peer_transfers_aborted"
  | "log_lines_dropped"
  | "unexpected_errors";

/** Collects the request metrics of one daemon. */
export class GatewayMetrics {
  readonly #series = new Map<string, GatewaySeries>();
  readonly #counters = new Map<string, number>();
  /** Gaps between consecutive events of a stream, in milliseconds. */
  readonly eventGapMs = new LogHistogram(HISTOGRAM_UNITS_PER_MS);

  /** Metrics by service and kind of request. */
  get series(): readonly GatewaySeries[] {
    return [...this.#series.values()];
  }

  /** Counter values by name; a reason, where there is one, follows a colon. */
  get counters(): ReadonlyMap<string, number> {
    return this.#counters;
  }

  /** Increments a counter. */
  count(name: GatewayCounter, reason?: string): void {
    const key = reason === undefined ? name : `${name}:${reason}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + 1);
  }

  /**
   * Records the end of a request.
   *
   * @param route - The route of the request.
   * @param service - The service that it was sent to.
   * @param outcome - The outcome of the request.
   * @param firstByteMs - Time to the first response byte in milliseconds, if
   * there was one.
   * @param totalMs - Time to the end of the response, in milliseconds.
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
