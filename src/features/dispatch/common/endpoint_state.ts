/**
 * Dispatcher's view of one endpoint: memory in use, capacity, health and
 * admission limits. The limits adapt to the load reports of the engine.
 */

import type {
  Endpoint,
  LoadReport,
} from "../../../services/endpoints/common/engine_client.ts";
import { MemoryReservations } from "./memory_reservations.ts";
import type { MemoryProfile } from "./memory_profile.ts";

/**
 * Assumed memory capacity of an engine that neither reports its capacity nor
 * has shown it under load.
 */
const DEFAULT_CAPACITY_TOKENS = 16_000;
const CAPACITY_GROWTH_FACTOR = 1.02;
const CAPACITY_PREEMPTION_FACTOR = 0.95;
/**
 * Fraction of the assumed capacity above which memory use without preemptions
 * is evidence for a larger capacity.
 */
const HIGH_USAGE_SHARE = 0.85;
/** Age above which a load report is stale. */
const MAX_REPORT_AGE_MS = 10_000;
/**
 * Fraction of the capacity that is used while the last load report is stale.
 */
const CAPACITY_SHARE_WITHOUT_REPORT = 0.95;
/**
 * Weight of a new report in the moving average of memory held by other users.
 */
const EXTERNAL_USAGE_WEIGHT = 0.3;
const SLOW_START_MS = 10_000;
const SLOW_START_MIN_SHARE = 0.2;
const EJECT_AFTER_FAILURES = 3;
const UNREACHABLE_AFTER_POLLS = 2;
const BASE_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
const MAX_SNAPSHOTS = 32;
/**
 * Number of consecutive reports that must show the same batch size, a nonempty
 * queue and free memory before the batch size is taken as the slot limit.
 */
const SLOT_LIMIT_REPORTS = 3;

/**
 * Controls how the safety margin for memory adapts. The field names are also
 * option names of the dispatch benchmark (`margin.NAME=VALUE`).
 */
export interface MarginRule {
  /** Initial margin in standard deviations of the forecast memory use. */
  readonly initialDeviations: number;
  readonly minDeviations: number;
  readonly maxDeviations: number;
  /** Increase for each report that shows new preemptions. */
  readonly onPreemption: number;
  /** Decrease for each report without new preemptions. */
  readonly onQuiet: number;
}

/** Fractions of an endpoint's resources that a request may use. */
export interface EndpointAllowance {
  /** Fraction of the endpoint that this dispatcher may use. */
  readonly share: number;
  /** Fraction of the dispatcher's memory that the request's class may use. */
  readonly memoryShare: number;
  /** Fraction of the batch slots that the request's class may use. */
  readonly slotShare: number;
  /** Fraction of the safety margin that applies to the request. */
  readonly marginShare: number;
}

interface ReservationSnapshot {
  readonly atMs: number;
  readonly heldTokens: number;
}

/** Memory, health and admission limits of one endpoint. */
export class EndpointState {
  readonly endpoint: Endpoint;
  /** Index of the endpoint within its group. */
  readonly groupIndex: number;
  readonly reservations = new MemoryReservations();
  isDraining = false;
  #marginDeviations: number;
  #capacityTokens = DEFAULT_CAPACITY_TOKENS;
  #externalTokens = 0;
  #slotLimitedReports = 0;
  #slotLimit: number;
  #lastReport: LoadReport | undefined;
  #reportCreatedMs = -Infinity;
  #snapshots: ReservationSnapshot[] = [];
  #slowStartMs: number;
  #consecutiveFailures = 0;
  #consecutiveEjections = 0;
  #consecutiveFailedPolls = 0;
  #ejectedUntilMs = -Infinity;
  readonly #marginRule: MarginRule;

  /**
   * @param endpoint - The endpoint.
   * @param groupIndex - Index of the endpoint within its group.
   * @param marginRule - Rule that adapts the safety margin.
   * @param slotLimit - Initial limit for the number of concurrent grants.
   * @param slowStartMs - Time in milliseconds from which the usable share ramps
   * up.
   */
  constructor(
    endpoint: Endpoint,
    groupIndex: number,
    marginRule: MarginRule,
    slotLimit: number,
    slowStartMs: number,
  ) {
    this.endpoint = endpoint;
    this.groupIndex = groupIndex;
    this.#marginRule = marginRule;
    this.#marginDeviations = marginRule.initialDeviations;
    this.#slotLimit = slotLimit;
    this.#slowStartMs = slowStartMs;
  }

  /**
   * Current safety margin in standard deviations of the forecast memory use.
   */
  get marginDeviations(): number {
    return this.#marginDeviations;
  }

  /** Reported or estimated memory capacity in tokens. */
  get capacityTokens(): number {
    return this.#capacityTokens;
  }

  /**
   * Memory in use according to recent load reports beyond the grants of this
   * dispatcher, in tokens.
   */
  get externalTokens(): number {
    return this.#externalTokens;
  }

  /** @returns Whether the endpoint is currently ejected. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** @returns Whether the slot limit allows another grant. */
  hasFreeSlot({ share, slotShare }: EndpointAllowance, nowMs: number): boolean {
    const usableShare = share * slotShare * this.#slowStartShare(nowMs);
    const limit = this.#slotLimit * usableShare;
    return this.reservations.size < Math.max(1, limit);
  }

  /**
   * Returns the memory that remains free at the forecast peak if a request is
   * added.
   *
   * @param added - Memory profile of the request.
   * @param allowance - Fractions of the endpoint that the request may use.
   * @param nowMs - Current time in milliseconds.
   * @returns Free memory in tokens; negative if the request does not fit.
   */
  headroomTokensWith(
    added: MemoryProfile,
    allowance: EndpointAllowance,
    nowMs: number,
  ): number {
    const { share, memoryShare, marginShare } = allowance;
    const usable = this.usableTokens(nowMs, share) * memoryShare;
    const deviations = this.#marginDeviations * marginShare;
    return usable - this.reservations.peakTokensWith(added, deviations, usable);
  }

  /**
   * Returns the memory that the grants of this dispatcher may use.
   *
   * @param nowMs - Current time in milliseconds.
   * @param share - Fraction of the endpoint that this dispatcher may use.
   * @returns Usable memory in tokens.
   */
  usableTokens(nowMs: number, share: number): number {
    const capacityTokens = this.#isReportFresh(nowMs)
      ? this.#capacityTokens
      : this.#capacityTokens * CAPACITY_SHARE_WITHOUT_REPORT;
    // Memory of other users counts against their share first, so it is not
    // subtracted from this dispatcher's share as well.
    return Math.min(
      capacityTokens * share * this.#slowStartShare(nowMs),
      capacityTokens - this.#externalTokens,
    );
  }

  /**
   * Updates capacity, margin and limits from a load report. Reports that are
   * not newer than the last one are ignored.
   *
   * @param report - Load report, including its own age.
   * @param nowMs - Time in milliseconds at which the report was received.
   */
  onLoadReport(report: LoadReport, nowMs: number): void {
    this.#consecutiveFailedPolls = 0;
    this.#recordSnapshot(nowMs);
    const previous = this.#lastReport;
    const createdMs = nowMs - report.ageMs;
    if (createdMs <= this.#reportCreatedMs) return;
    this.#lastReport = report;
    this.#reportCreatedMs = createdMs;
    if (report.isLeaving) this.isDraining = true;
    if (previous && previous.incarnation !== report.incarnation) {
      this.#onRestarted(nowMs);
      return;
    }
    const preemptions = report.preemptions - (previous?.preemptions ?? 0);
    this.#updateCapacity(report, previous ? preemptions : 0);
    if (previous) this.#updateMargin(preemptions);
    this.#updateExternalTokens(report, createdMs);
    this.#updateSlotLimit(report, previous);
  }

  /** Whether several consecutive polls have returned no load report. */
  get isUnreachable(): boolean {
    return this.#consecutiveFailedPolls >= UNREACHABLE_AFTER_POLLS;
  }

  /** Records a poll that returned no load report. */
  onPollFailed(): void {
    this.#consecutiveFailedPolls++;
  }

  /** Records a request that the endpoint answered successfully. */
  onSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#consecutiveEjections = 0;
  }

  /**
   * Records a failed request or poll.
   *
   * @returns Whether the endpoint has failed often enough in a row to be
   * ejected.
   */
  onFailure(): boolean {
    this.#consecutiveFailures++;
    return this.#consecutiveFailures >= EJECT_AFTER_FAILURES;
  }

  /**
   * Ejects the endpoint for a time that doubles with each consecutive ejection;
   * the endpoint then returns with a slow start.
   */
  eject(nowMs: number): void {
    if (this.isEjected(nowMs)) return;
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      BASE_EJECTION_MS * 2 ** this.#consecutiveEjections,
    );
    this.#consecutiveEjections++;
    this.#consecutiveFailures = 0;
    this.#ejectedUntilMs = nowMs + durationMs;
    this.#slowStartMs = this.#ejectedUntilMs;
  }

  #slowStartShare(nowMs: number): number {
    const progress = (nowMs - this.#slowStartMs) / SLOW_START_MS;
    if (progress >= 1) return 1;
    return SLOW_START_MIN_SHARE +
      (1 - SLOW_START_MIN_SHARE) * Math.max(0, progress);
  }

  #isReportFresh(nowMs: number): boolean {
    return nowMs - this.#reportCreatedMs <= MAX_REPORT_AGE_MS;
  }

  #onRestarted(nowMs: number): void {
    this.#externalTokens = 0;
    this.#slotLimitedReports = 0;
    this.#slowStartMs = nowMs;
    this.#snapshots = [];
  }

  #updateCapacity(report: LoadReport, preemptions: number): void {
    if (report.memoryTotalTokens !== undefined) {
      this.#capacityTokens = report.memoryTotalTokens;
      return;
    }
    const used = report.memoryUsedTokens;
    if (preemptions > 0) {
      this.#capacityTokens = Math.max(
        DEFAULT_CAPACITY_TOKENS / 2,
        Math.min(this.#capacityTokens, used) * CAPACITY_PREEMPTION_FACTOR,
      );
    } else if (used > this.#capacityTokens * HIGH_USAGE_SHARE) {
      this.#capacityTokens = Math.max(
        used,
        this.#capacityTokens * CAPACITY_GROWTH_FACTOR,
      );
    }
  }

  #updateMargin(preemptions: number): void {
    const { minDeviations, maxDeviations, onPreemption, onQuiet } =
      this.#marginRule;
    const adjusted = preemptions > 0
      ? this.#marginDeviations + onPreemption
      : this.#marginDeviations - onQuiet;
    this.#marginDeviations = Math.min(
      maxDeviations,
      Math.max(minDeviations, adjusted),
    );
  }

  /**
   * Compares a report with the local reservations at the time the report was
   * created.
   */
  #updateExternalTokens(report: LoadReport, createdMs: number): void {
    const snapshot = this.#snapshots.findLast(({ atMs }) => atMs <= createdMs);
    if (!snapshot) return;
    const excessTokens = Math.max(
      0,
      report.memoryUsedTokens - snapshot.heldTokens,
    );
    this.#externalTokens += EXTERNAL_USAGE_WEIGHT *
      (excessTokens - this.#externalTokens);
  }

  /**
   * Detects the batch limit of the engine: requests that stay queued although
   * memory is free are waiting for a slot.
   */
  #updateSlotLimit(report: LoadReport, previous: LoadReport | undefined): void {
    const isMemoryFree = report.memoryUsedTokens <
      this.#capacityTokens * HIGH_USAGE_SHARE;
    const isSlotLimited = report.queued > 0 && isMemoryFree &&
      report.running === previous?.running;
    this.#slotLimitedReports = isSlotLimited ? this.#slotLimitedReports + 1 : 0;
    if (this.#slotLimitedReports >= SLOT_LIMIT_REPORTS) {
      this.#slotLimit = Math.min(this.#slotLimit, report.running);
    } else if (report.queued === 0 && report.running >= this.#slotLimit) {
      this.#slotLimit = report.running + 1;
    }
  }

  #recordSnapshot(nowMs: number): void {
    const heldTokens = this.reservations.heldTokens;
    this.#snapshots.push({ atMs: nowMs, heldTokens });
    if (this.#snapshots.length > MAX_SNAPSHOTS) this.#snapshots.shift();
  }
}
