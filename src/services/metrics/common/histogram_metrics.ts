/** Metrics kept in this process: the busiest workspaces apart, the rest together. */

import { type Clock, setPeriodic } from "../../../base/common/clock.ts";
import type { ServiceId, WorkspaceId } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import { ANY_CLASS, type DaemonFigures, OTHER_WORKSPACES } from "./figures.ts";
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
export const MAX_APART_WORKSPACES = 128;
/** Series of all workspaces that are kept apart. */
export const MAX_APART_SERIES = 2_400;
const RANK_PERIOD_MS = 60_000;

/** Names that stand on all figures of a daemon. */
export interface MetricsOwner {
  readonly host: string;
  readonly zone: string;
}

type SeriesByClass = Map<string, RequestSeries>;
type SeriesByService = Map<ServiceId, SeriesByClass>;

/** Histograms of this daemon, and a sink for samples. */
export class HistogramMetrics implements Metrics, Disposable {
  readonly #clock: Clock;
  readonly #owner: MetricsOwner;
  readonly #sink: SampleSink;
  readonly #ranking = new WorkspaceRanking(MAX_APART_WORKSPACES);
  readonly #apart = new Map<WorkspaceId, SeriesByService>();
  readonly #other: SeriesByService = new Map();
  readonly #counters: Partial<Record<CounterName, number>> = {};
  readonly #timer: Disposable;
  #apartSeriesCount = 0;
  /** Whether a workspace found no room since the last ranking. */
  #hasLackedRoom = false;

  /**
   * @param clock - Time of the figures and of the ranking.
   * @param owner - Names that stand on all figures.
   * @param sink - Receives samples; not owned.
   */
  constructor(clock: Clock, owner: MetricsOwner, sink: SampleSink) {
    this.#clock = clock;
    this.#owner = owner;
    this.#sink = sink;
    this.#timer = setPeriodic(clock, RANK_PERIOD_MS, () => this.#rank());
  }

  /** {@inheritDoc Metrics.forRequest} */
  forRequest(labels: MetricLabels): RequestRecorder {
    const { workspace } = labels;
    this.#ranking.countRequest(workspace);
    let services = this.#apart.get(workspace);
    if (!services) {
      if (this.#apart.size >= MAX_APART_WORKSPACES) {
        this.#hasLackedRoom = true;
        return this.#rest(labels);
      }
      services = new Map();
      this.#apart.set(workspace, services);
    }
    const known = services.get(labels.service)?.get(labels.className);
    if (known) return known;
    if (this.#apartSeriesCount >= MAX_APART_SERIES) return this.#rest(labels);
    this.#apartSeriesCount++;
    return this.#seriesIn(services, labels, workspace);
  }

  /** {@inheritDoc Metrics.countPreemptions} */
  countPreemptions(service: ServiceId, by: number): void {
    this.#rest({ service, className: ANY_CLASS }).recordPreemptions(by);
  }

  /** {@inheritDoc Metrics.count} */
  count(name: CounterName, by = 1): void {
    this.#counters[name] = (this.#counters[name] ?? 0) + by;
    this.#sink.count(name, by);
  }

  /** @returns Everything that was measured so far. */
  toFigures(): DaemonFigures {
    const series = [...this.#apart.values(), this.#other].flatMap(allSeries);
    return {
      ...this.#owner,
      nowMs: this.#clock.nowMs(),
      counters: { ...this.#counters },
      series: series.map((one) => one.toFigures()),
    };
  }

  /** Stops the ranking. */
  dispose(): void {
    this.#timer.dispose();
  }

  /** Joins the workspaces that are no longer among the busiest to the rest. */
  #rank(): void {
    const busiest = this.#ranking.takeBusiest();
    if (!this.#hasLackedRoom) return;
    this.#hasLackedRoom = false;
    for (const [workspace, services] of this.#apart) {
      if (busiest.has(workspace)) continue;
      this.#apart.delete(workspace);
      this.#foldIntoRest(services);
    }
  }

  #foldIntoRest(services: SeriesByService): void {
    for (const [service, classes] of services) {
      for (const [className, series] of classes) {
        this.#apartSeriesCount--;
        series.foldInto(this.#rest({ service, className }));
      }
    }
  }

  #rest(labels: Pick<MetricLabels, "service" | "className">): RequestSeries {
    return this.#seriesIn(this.#other, labels, OTHER_WORKSPACES);
  }

  #seriesIn(
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

function allSeries(services: SeriesByService): RequestSeries[] {
  return [...services.values()].flatMap((classes) => [...classes.values()]);
}
