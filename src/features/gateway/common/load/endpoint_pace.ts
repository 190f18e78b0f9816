/**
 * Load that each endpoint process reports, and how fast it works compared with
 * the other endpoints of its service, as measured by this host and its peers.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import type { EndpointId, ServiceId } from "../../../../base/common/ids.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { ReportedLoad } from "../protocol/gateway_codec.ts";
import type { LoadTable } from "./load_table.ts";
import { RecentMedian } from "./recent_median.ts";

/** Bounds of the relative times that are used. */
const MIN_RELATIVE_TIME = 0.25;
const MAX_RELATIVE_TIME = 4;
/** Time for which a reported pace is used, in milliseconds. */
const PACE_LIFETIME_MS = 300;
/**
 * Time for which a service counts as one whose endpoints report a pace. Peers
 * state it with each report, and repeat usual times each minute.
 */
const REPORTS_PACE_LIFETIME_MS = 150_000;
/**
 * Deviation from the median from which a learned time is used without a
 * reported pace. Smaller ones may be noise, and deployments without reports
 * rely on unchanged choices.
 */
const MIN_UNREPORTED_DEVIATION = 1.5;
/**
 * Smaller deviations are noise of the samples: they would fill equal engines
 * unequally.
 */
const MIN_DEVIATION = 1.1;
/** Time for which samples of this host are used in full, in milliseconds. */
const SAMPLE_FRESH_MS = 1_000;
/** The same for reports of peers, which repeat them each two seconds. */
const REPORT_FRESH_MS = 2_500;
/**
 * Half-life of a deviation without fresh samples: an endpoint that is avoided
 * gives none, and is tried again after a few seconds.
 */
const DEVIATION_HALF_LIFE_MS = 1_000;
/** Period at which the medians of a service are computed. */
const MEDIAN_PERIOD_MS = 200;
/**
 * Processes without any update for this time are discarded. Peers repeat usual
 * times each minute.
 */
const PROCESS_LIFETIME_MS = 150_000;
/**
 * Time constant after which a reported load says little: an endpoint for calls
 * completes as many calls as it has slots in 50 to 80 ms.
 */
const LOAD_TIME_CONSTANT_MS = 150;
/** Age from which reported loads are left out of the mean of their service. */
const LOAD_LIFETIME_MS = 2_000;
/**
 * Each run of a batch lengthens a step of an engine by this share of the step
 * of an empty batch (0.12 of 7 ms).
 */
const STEP_SHARE_PER_RUN = 0.017;

/** Figure from which the relative time of an endpoint is learned. */
type SampleKind = "event" | "prefill" | "response";

const SAMPLE_KINDS: readonly SampleKind[] = ["event", "prefill", "response"];

/**
 * Figures that hosts share. The time to a first event is too noisy: it also
 * depends on cached prompts and waiting runs.
 */
export type SharedSampleKind = Exclude<SampleKind, "prefill">;

const SHARED_SAMPLE_KINDS: readonly SharedSampleKind[] = ["event", "response"];

/** Endpoint process, as far as it matters here. */
export type PacedEndpoint = Pick<
  RegisteredEndpoint,
  "announcement" | "isUsable"
>;

/**
 * Measured time of an endpoint process, as exchanged between peers. It is not
 * relative to a median, since the hosts that see few endpoints know none.
 */
export interface PaceReport {
  readonly endpoint: EndpointId;
  /** Wall-clock start time of the process, in milliseconds. */
  readonly bornMs: number;
  readonly kind: SharedSampleKind;
  /** Time between events without a batch, or response time of a call. */
  readonly timeMs: number;
  /** Time since it was measured, in milliseconds. */
  readonly ageMs: number;
  /** Whether endpoints of its service report a pace. */
  readonly reportsPace: boolean;
}

/** Report of what this host knows. */
export interface KnownPaceReport extends PaceReport {
  /** The time relative to the median of the service, as known here. */
  readonly relativeTime: number;
  /** Whether it was measured or received recently. */
  readonly isFresh: boolean;
}

/** Who sent or receives reports. */
export type PaceAudience = "hubs" | "leaves";

/** Relative time of an endpoint, for operators. */
export interface EndpointPaceStatus {
  readonly endpoint: EndpointId;
  /** Speed relative to the median of its service; 2 is twice as fast. */
  readonly speed: number;
  readonly load: ReportedLoad | undefined;
  /** Age of the load in milliseconds. */
  readonly loadAgeMs: number | undefined;
}

/** Time from one source. */
interface Measurement {
  readonly value: number;
  readonly atMs: number;
  /** Time for which it is used in full, in milliseconds. */
  readonly freshMs: number;
}

type ReceivedMeasurement = Measurement & { readonly kind: SampleKind };

class ProcessPace {
  readonly samples: Readonly<Record<SampleKind, RecentMedian>> = {
    event: new RecentMedian(),
    prefill: new RecentMedian(),
    response: new RecentMedian(),
  };
  /** Latest reports of the hosts that report to this one, and of hubs. */
  readonly received: Partial<Record<PaceAudience, ReceivedMeasurement>> = {};
  load: ReportedLoad | undefined;
  loadMs = -Infinity;
  /** Runs known to this host when the load was reported. */
  runsAtReport = 0;
  /** Smoothed time between events, at any pace, in milliseconds. */
  usualEventMs: number | undefined;
  readonly id: EndpointId;
  readonly bornMs: number;
  /** Monotonic time of the latest update of any kind, in milliseconds. */
  updatedMs: number;

  constructor(id: EndpointId, bornMs: number, nowMs: number) {
    this.id = id;
    this.bornMs = bornMs;
    this.updatedMs = nowMs;
  }
}

/**
 * Weight of a new time between events in the usual one. Slow moments last some
 * 600 ms, so that a few samples of them hardly move it.
 */
const USUAL_EVENT_WEIGHT = 0.1;
/**
 * Time for which the slowest reported pace counts as one that may return, in
 * milliseconds.
 */
const PEAK_PACE_LIFETIME_MS = 60_000;
/** A step that also prefills a part of a prompt takes about twice as long. */
const PREFILL_STEP_FACTOR = 2.15;

class ServicePace {
  readonly processes = new Set<ProcessPace>();
  readonly medians: { [K in SampleKind]?: number | undefined } = {};
  meanRuns = 0;
  computedMs = -Infinity;
  /**
   * Monotonic time at which this host or one of its leaves last knew that an
   * endpoint reports a pace, in milliseconds.
   */
  paceMs = -Infinity;
  /** Slowest reported pace, and when it was last reported. */
  peakPacePercent = 100;
  peakPaceMs = -Infinity;
  /** The same for hubs, which do not get their own reports back. */
  hubPaceMs = -Infinity;

  /** @returns Whether endpoints report a pace. */
  reportsPace(nowMs: number, audience?: PaceAudience): boolean {
    const latestMs = audience === "hubs"
      ? this.paceMs
      : Math.max(this.paceMs, this.hubPaceMs);
    return nowMs - latestMs <= REPORTS_PACE_LIFETIME_MS;
  }
}

/** Loads and relative times of endpoint processes. */
export class EndpointPaces {
  readonly #clock: Clock;
  readonly #loadTable: Pick<LoadTable, "totalUsage">;
  readonly #processes = new Map<EndpointId, ProcessPace>();
  readonly #services = new Map<ServiceId, ServicePace>();

  /**
   * @param clock - Clock for the ages of reports and samples.
   * @param loadTable - Runs that were sent since an endpoint's report.
   */
  constructor(clock: Clock, loadTable: Pick<LoadTable, "totalUsage">) {
    this.#clock = clock;
    this.#loadTable = loadTable;
  }

  /**
   * Records a load that an endpoint reports.
   *
   * @param endpoint - The endpoint.
   * @param load - Its load at present.
   */
  recordLoad(endpoint: PacedEndpoint, load: ReportedLoad): void {
    const process = this.#process(endpoint);
    if (!process) return;
    const nowMs = this.#clock.monotonicMs();
    process.load = load;
    process.loadMs = nowMs;
    process.updatedMs = nowMs;
    process.runsAtReport = this.#loadTable.totalUsage(process.id).runs;
    if (load.pacePercent !== undefined) {
      this.#recordPace(this.#service(endpoint), load.pacePercent, nowMs);
    }
  }

  /**
   * Records the time between events of a running stream during which its
   * endpoint had no prompt to prefill.
   *
   * @param endpoint - The endpoint.
   * @param eventMs - Mean time between two events, in milliseconds.
   * @param runs - Runs on the endpoint.
   */
  recordEventTime(
    endpoint: PacedEndpoint,
    eventMs: number,
    runs: number,
  ): void {
    const normalizedMs = eventMs / (1 + STEP_SHARE_PER_RUN * runs);
    this.#recordSample(endpoint, "event", normalizedMs);
  }

  /**
   * Records the time from sending a prompt to its first event.
   *
   * @param endpoint - The endpoint.
   * @param firstEventMs - The time in milliseconds.
   * @param prefillTokens - Tokens to prefill there, including earlier prompts.
   */
  recordPrefillTime(
    endpoint: PacedEndpoint,
    firstEventMs: number,
    prefillTokens: number,
  ): void {
    this.#recordSample(endpoint, "prefill", firstEventMs / prefillTokens);
  }

  /**
   * Records the time from sending a call to the head of its answer.
   *
   * @param endpoint - The endpoint.
   * @param responseMs - The time in milliseconds.
   */
  recordResponseTime(endpoint: PacedEndpoint, responseMs: number): void {
    const load = this.#process(endpoint)?.load;
    // A call waits about as long as the calls that wait behind it.
    const queueShare = load ? load.waiting / load.slots : 0;
    this.#recordSample(endpoint, "response", responseMs / (1 + queueShare));
  }

  /**
   * @param endpoint - An endpoint.
   * @returns Whether endpoints of its service report a pace.
   */
  reportsPace({ announcement }: PacedEndpoint): boolean {
    const service = this.#services.get(announcement.service);
    return service?.reportsPace(this.#clock.monotonicMs()) === true;
  }

  /**
   * @param endpoint - An endpoint.
   * @returns The time that work takes there, relative to the median of its
   * service; 1 if it is unknown or must not be used.
   */
  relativeTime(endpoint: PacedEndpoint): number {
    const process = this.#find(endpoint);
    if (!process) return 1;
    const nowMs = this.#clock.monotonicMs();
    const learned = this.#learned(process, this.#service(endpoint), nowMs);
    const pacePercent = nowMs - process.loadMs <= PACE_LIFETIME_MS
      ? process.load?.pacePercent
      : undefined;
    if (pacePercent !== undefined) {
      const pace = clampTime(pacePercent / 100);
      // The report is newer than the samples, which in turn show what the
      // report may leave out.
      const combined = learned === undefined ? pace : Math.sqrt(pace * learned);
      return deviation(combined) > MIN_DEVIATION ? combined : 1;
    }
    if (learned === undefined) return 1;
    const minDeviation = this.reportsPace(endpoint)
      ? MIN_DEVIATION
      : MIN_UNREPORTED_DEVIATION;
    return deviation(learned) > minDeviation ? learned : 1;
  }

  /**
   * @param endpoint - An endpoint for calls.
   * @returns The number of calls that are expected there: the reported ones,
   * which approach the mean of the service with their age, and those sent by
   * this host since.
   */
  expectedRuns(endpoint: PacedEndpoint): number {
    const nowMs = this.#clock.monotonicMs();
    const service = this.#service(endpoint);
    this.#refresh(service, nowMs);
    const { meanRuns } = service;
    const process = this.#find(endpoint);
    const { id } = endpoint.announcement;
    const { runs } = this.#loadTable.totalUsage(id);
    if (!process?.load) return Math.max(meanRuns, runs);
    const weight = Math.exp(-(nowMs - process.loadMs) / LOAD_TIME_CONSTANT_MS);
    const reported = process.load.running + process.load.waiting;
    return meanRuns + (reported - meanRuns) * weight +
      Math.max(0, runs - process.runsAtReport);
  }

  /**
   * @param endpoint - An endpoint for calls.
   * @returns The median response time of its service in milliseconds, if it is
   * known.
   */
  usualResponseMs(endpoint: PacedEndpoint): number | undefined {
    const service = this.#service(endpoint);
    this.#refresh(service, this.#clock.monotonicMs());
    return service.medians.response;
  }

  /**
   * @param audience - Who receives the reports. Hubs learn only what this host
   * and its leaves have measured, so that no report circulates.
   * @returns What is known of all processes.
   */
  reports(audience: PaceAudience): readonly KnownPaceReport[] {
    const nowMs = this.#clock.monotonicMs();
    const reports: KnownPaceReport[] = [];
    for (const service of this.#services.values()) {
      this.#refresh(service, nowMs);
      const reportsPace = service.reportsPace(nowMs, audience);
      for (const process of service.processes) {
        for (const kind of SHARED_SAMPLE_KINDS) {
          const latest = measurementOf(process, kind, nowMs, audience);
          if (!latest) continue;
          const { atMs, freshMs, value: timeMs } = latest;
          reports.push({
            endpoint: process.id,
            bornMs: process.bornMs,
            kind,
            timeMs,
            ageMs: nowMs - atMs,
            isFresh: nowMs - atMs <= freshMs,
            reportsPace,
            relativeTime: clampTime(timeMs / (service.medians[kind] ?? timeMs)),
          });
        }
      }
    }
    return reports;
  }

  /**
   * Applies a report of a peer.
   *
   * @param report - The report.
   * @param endpoint - The endpoint that it concerns, as it is announced here.
   * @param from - Whether a hub sent it, or a host that reports to this one.
   */
  applyReport(
    { ageMs, bornMs, kind, reportsPace, timeMs: value }: PaceReport,
    endpoint: PacedEndpoint,
    from: PaceAudience,
  ): void {
    if (endpoint.announcement.bornMs !== bornMs) return;
    const process = this.#process(endpoint);
    if (!process) return;
    const nowMs = this.#clock.monotonicMs();
    const atMs = nowMs - ageMs;
    const service = this.#service(endpoint);
    if (reportsPace && from === "hubs") service.hubPaceMs = nowMs;
    else if (reportsPace) service.paceMs = nowMs;
    process.updatedMs = nowMs;
    if (atMs < (process.received[from]?.atMs ?? -Infinity)) return;
    process.received[from] = { kind, value, atMs, freshMs: REPORT_FRESH_MS };
    if (kind === "event") recordUsualEvent(process, value);
  }

  /** Discards what is known of an endpoint whose process ends. */
  forget(endpoint: PacedEndpoint): void {
    const process = this.#find(endpoint);
    if (!process) return;
    this.#processes.delete(process.id);
    this.#service(endpoint).processes.delete(process);
  }

  /**
   * @param endpoint - An engine.
   * @param runs - Runs on the engine.
   * @returns The time between two events of a stream there, in milliseconds, at
   * the slowest pace reported lately and while a prompt is prefilled;
   * `undefined` if the engine or its service is not known yet.
   */
  expectedGapMs(endpoint: PacedEndpoint, runs: number): number | undefined {
    const nowMs = this.#clock.monotonicMs();
    const service = this.#service(endpoint);
    this.#refresh(service, nowMs);
    const usualMs = this.#find(endpoint)?.usualEventMs ??
      service.medians.event;
    if (usualMs === undefined) return undefined;
    const isPeakKnown = nowMs - service.peakPaceMs <= PEAK_PACE_LIFETIME_MS;
    const peak = isPeakKnown ? service.peakPacePercent / 100 : 1;
    return usualMs * (1 + STEP_SHARE_PER_RUN * runs) * PREFILL_STEP_FACTOR *
      Math.max(1, peak);
  }

  /** @returns What is known of each endpoint, for operators. */
  list(): readonly EndpointPaceStatus[] {
    const nowMs = this.#clock.monotonicMs();
    return [...this.#services.values()].flatMap((service) =>
      [...service.processes].map((process) => {
        const learned = this.#learned(process, service, nowMs) ?? 1;
        const { id, load, loadMs } = process;
        return {
          endpoint: id,
          speed: Number((1 / learned).toFixed(2)),
          load,
          loadAgeMs: load && Math.round(nowMs - loadMs),
        };
      })
    );
  }

  #recordSample(
    endpoint: PacedEndpoint,
    kind: SampleKind,
    value: number,
  ): void {
    if (!(value > 0) || !Number.isFinite(value)) return;
    const process = this.#process(endpoint);
    if (!process) return;
    const nowMs = this.#clock.monotonicMs();
    process.samples[kind].record(value, nowMs);
    if (kind === "event") recordUsualEvent(process, value);
    process.updatedMs = nowMs;
  }

  #recordPace(service: ServicePace, pacePercent: number, nowMs: number): void {
    service.paceMs = nowMs;
    const isExpired = nowMs - service.peakPaceMs > PEAK_PACE_LIFETIME_MS;
    if (pacePercent < service.peakPacePercent && !isExpired) return;
    service.peakPacePercent = pacePercent;
    service.peakPaceMs = nowMs;
  }

  #learned(
    process: ProcessPace,
    service: ServicePace,
    nowMs: number,
  ): number | undefined {
    this.#refresh(service, nowMs);
    const latest = relativeMeasurement(process, service, nowMs);
    if (!latest) return undefined;
    const staleMs = Math.max(0, nowMs - latest.atMs - latest.freshMs);
    return clampTime(latest.value) ** 2 ** (-staleMs / DEVIATION_HALF_LIFE_MS);
  }

  /** Computes the medians of a service again, at most once in a period. */
  #refresh(service: ServicePace, nowMs: number): void {
    if (nowMs - service.computedMs < MEDIAN_PERIOD_MS) return;
    service.computedMs = nowMs;
    for (const process of service.processes) {
      if (nowMs - process.updatedMs <= PROCESS_LIFETIME_MS) continue;
      service.processes.delete(process);
      if (this.#processes.get(process.id) === process) {
        this.#processes.delete(process.id);
      }
    }
    const processes = [...service.processes];
    for (const kind of SAMPLE_KINDS) {
      service.medians[kind] = medianOf(
        processes.map((process) => measurementOf(process, kind, nowMs)?.value),
      );
    }
    const runs = processes.filter(({ loadMs }) =>
      nowMs - loadMs <= LOAD_LIFETIME_MS
    ).map(({ load }) => load!.running + load!.waiting);
    service.meanRuns = runs.length === 0
      ? 0
      : runs.reduce((sum, value) => sum + value, 0) / runs.length;
  }

  #service({ announcement }: PacedEndpoint): ServicePace {
    let service = this.#services.get(announcement.service);
    if (!service) {
      service = new ServicePace();
      this.#services.set(announcement.service, service);
    }
    return service;
  }

  /** @returns The record of an endpoint's process, if there is one. */
  #find({ announcement }: PacedEndpoint): ProcessPace | undefined {
    const process = this.#processes.get(announcement.id);
    return process?.bornMs === announcement.bornMs ? process : undefined;
  }

  /**
   * @returns The record of an endpoint's process, which replaces that of an
   * earlier process; `undefined` if a later process is known or it ends.
   */
  #process(endpoint: PacedEndpoint): ProcessPace | undefined {
    const { bornMs, id } = endpoint.announcement;
    const known = this.#processes.get(id);
    if (known?.bornMs === bornMs) return known;
    if (!endpoint.isUsable || (known && known.bornMs > bornMs)) {
      return undefined;
    }
    const { processes } = this.#service(endpoint);
    if (known) processes.delete(known);
    const process = new ProcessPace(id, bornMs, this.#clock.monotonicMs());
    this.#processes.set(id, process);
    processes.add(process);
    return process;
  }
}

function recordUsualEvent(process: ProcessPace, eventMs: number): void {
  const usualMs = process.usualEventMs ?? eventMs;
  process.usualEventMs = usualMs + (eventMs - usualMs) * USUAL_EVENT_WEIGHT;
}

/**
 * Returns a relative time as a factor of at least 1, in either direction.
 */
export function deviation(relativeTime: number): number {
  return Math.max(relativeTime, 1 / relativeTime);
}

/**
 * Returns what was measured of a process: the fresh samples of this host, or
 * else the latest time of any source.
 *
 * @param audience - Who receives it; this host if absent.
 */
function measurementOf(
  { received, samples }: ProcessPace,
  kind: SampleKind,
  nowMs: number,
  audience?: PaceAudience,
): Measurement | undefined {
  const { latestMs, median } = samples[kind];
  let latest: Measurement | undefined = median === undefined
    ? undefined
    : { value: median, atMs: latestMs, freshMs: SAMPLE_FRESH_MS };
  if (latest && nowMs - latestMs <= SAMPLE_FRESH_MS) return latest;
  const { hubs, leaves } = received;
  for (const report of [leaves, audience === "hubs" ? undefined : hubs]) {
    if (report?.kind !== kind) continue;
    if (report.atMs > (latest?.atMs ?? -Infinity)) latest = report;
  }
  return latest;
}

/**
 * Returns the relative time by the first kind of samples that is fresh, or else
 * by the latest.
 */
function relativeMeasurement(
  process: ProcessPace,
  { medians }: ServicePace,
  nowMs: number,
): Measurement | undefined {
  let latest: Measurement | undefined;
  for (const kind of SAMPLE_KINDS) {
    const measurement = measurementOf(process, kind, nowMs);
    const usual = medians[kind];
    if (!measurement || usual === undefined) continue;
    const { atMs, freshMs, value } = measurement;
    if (latest && atMs <= latest.atMs) continue;
    const relative = value / usual;
    latest = {
      // The time to a first event is shorter for prompts that the endpoint has
      // cached, so that it only shows slowness.
      value: kind === "prefill" ? Math.max(1, relative) : relative,
      atMs,
      freshMs,
    };
    if (nowMs - atMs <= freshMs) return latest;
  }
  return latest;
}

/** Returns the median of at least two known values. */
function medianOf(values: readonly (number | undefined)[]): number | undefined {
  const sorted = values.filter((value) => value !== undefined).sort((a, b) =>
    a - b
  );
  if (sorted.length < 2) return undefined;
  const middle = sorted.length >> 1;
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function clampTime(relativeTime: number): number {
  return Math.min(MAX_RELATIVE_TIME, Math.max(MIN_RELATIVE_TIME, relativeTime));
}
