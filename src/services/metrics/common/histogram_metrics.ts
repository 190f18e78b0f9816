/** Metrics kept in this process: the busiest workspaces apart, the rest together. */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import type { ServiceId, WorkspaceId } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import {
  ALL_CLASSES,
  type DaemonMetricsSnapshot,
  OTHER_WORKSPACES,
} from "./metrics_snapshot.ts";
import type {
  CounterName,
  MetricLabels,
  Metrics,
  RequestRecorder,
} from "./metrics.ts";
import { RequestSeries } from "./request_series.ts";
import type { SampleSink } from "./sample_sink.ts";
import { WorkspaceRanking } from "./workspace_ranking.ts";

/** Workspaces with series of their own. */
export const MAX_TRACKED_WORKSPACES = 128;
/** Series of all workspaces that are kept apart. */
export const MAX_TRACKED_SERIES = 2_400;
const RANKING_PERIOD_MS = 60_000;

/** Names that stand on all figures of a daemon. */
export interface DaemonLabels {
  readonly host: string;
  readonly zone: string;
}

type SeriesByClass = Map<string, RequestSeries>;
type SeriesByService = Map<ServiceId, SeriesByClass>;

/** Histograms of this daemon, and a sink for samples. */
export class HistogramMetrics implements Metrics, Disposable {
  readonly #clock: Clock;
  readonly #daemonLabels: DaemonLabels;
  readonly #sink: SampleSink;
  readonly #ranking = new WorkspaceRanking(MAX_TRACKED_WORKSPACES);
  readonly #trackedWorkspaces = new Map<WorkspaceId, SeriesByService>();
  readonly #overflowServices: SeriesByService = new Map();
  readonly #counters: Partial<Record<CounterName, number>> = {};
  readonly #timer: Disposable;
  #seriesCount = 0;
  /** Whether a workspace found no room since the last ranking. */
  #hasReachedWorkspaceLimit = false;

  /**
   * @param clock - Time of the figures and of the ranking.
   * @param daemonLabels - Names that stand on all figures.
   * @param sink - Receives samples; not owned.
   */
  constructor(clock: Clock, daemonLabels: DaemonLabels, sink: SampleSink) {
    this.#clock = clock;
    this.#daemonLabels = daemonLabels;
    this.#sink = sink;
    this.#timer = runPeriodically(
      clock,
      RANKING_PERIOD_MS,
      () => this.#untrackIdleWorkspaces(),
    );
  }

  /** {@inheritDoc Metrics.forRequest} */
  forRequest(labels: MetricLabels): RequestRecorder {
    const { workspace } = labels;
    this.#ranking.countRequest(workspace);
    let services = this.#trackedWorkspaces.get(workspace);
    if (!services) {
      if (this.#trackedWorkspaces.size >= MAX_TRACKED_WORKSPACES) {
        this.#hasReachedWorkspaceLimit = true;
        return this.#overflow(labels);
      }
      services = new Map();
      this.#trackedWorkspaces.set(workspace, services);
    }
    const existing = services.get(labels.service)?.get(labels.className);
    if (existing) return existing;
    if (this.#seriesCount >= MAX_TRACKED_SERIES) return this.#overflow(labels);
    this.#seriesCount++;
    return this.#getOrCreateSeries(services, labels, workspace);
  }

  /** {@inheritDoc Metrics.countPreemptions} */
  countPreemptions(service: ServiceId, count: number): void {
    this.#overflow({ service, className: ALL_CLASSES }).recordPreemptions(
      count,
    );
  }

  /** {@inheritDoc Metrics.count} */
  count(name: CounterName, amount = 1): void {
    this.#counters[name] = (this.#counters[name] ?? 0) + amount;
    this.#sink.count(name, amount);
  }

  /** @returns Everything that was measured so far. */
  toSnapshot(): DaemonMetricsSnapshot {
    const series = [...this.#trackedWorkspaces.values(), this.#overflowServices]
      .flatMap(listSeries);
    return {
      ...this.#daemonLabels,
      nowMs: this.#clock.nowMs(),
      counters: { ...this.#counters },
      series: series.map((entry) => entry.toSnapshot()),
    };
  }

  /** Stops the ranking. */
  dispose(): void {
    this.#timer.dispose();
  }

  /** Joins the workspaces that are no longer among the busiest to the rest. */
  #untrackIdleWorkspaces(): void {
    const busiest = this.#ranking.rankAndDecay();
    if (!this.#hasReachedWorkspaceLimit) return;
    this.#hasReachedWorkspaceLimit = false;
    for (const [workspace, services] of this.#trackedWorkspaces) {
      if (busiest.has(workspace)) continue;
      this.#trackedWorkspaces.delete(workspace);
      this.#mergeIntoOverflow(services);
    }
  }

  #mergeIntoOverflow(services: SeriesByService): void {
    for (const [service, classes] of services) {
      for (const [className, series] of classes) {
        this.#seriesCount--;
        series.mergeInto(this.#overflow({ service, className }));
      }
    }
  }

  #overflow(
    labels: Pick<MetricLabels, "service" | "className">,
  ): RequestSeries {
    return this.#getOrCreateSeries(
      this.#overflowServices,
      labels,
      OTHER_WORKSPACES,
    );
  }

  #getOrCreateSeries(
    services: SeriesByService,
    { service, className }: Pick<MetricLabels, "service" | "className">,
    workspace: string,
  ): RequestSeries {
    let classes = services.get(service);
    if (!classes) {
      classes = new Map();
      services.set(service, classes);
    }
    let series = classes.get(className);
    if (!series) {
      series = new RequestSeries({ service, workspace, className }, this.#sink);
      classes.set(className, series);
    }
    return series;
  }
}

function listSeries(services: SeriesByService): RequestSeries[] {
  return [...services.values()].flatMap((classes) => [...classes.values()]);
}
