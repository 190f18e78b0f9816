/** What a dispatcher knows of one endpoint of its group. */

import type {
  Endpoint,
  LoadReport,
} from "../../../services/endpoints/common/engine_client.ts";
import { MemoryReservations } from "./memory_reservations.ts";
import type { MemoryProfile } from "./memory_profile.ts";

/** Assumed memory of an engine that has not said or shown it. */
const DEFAULT_CAPACITY_TOKENS = 16_000;
const CAPACITY_GROWTH_FACTOR = 1.02;
const CAPACITY_PREEMPTION_FACTOR = 0.95;
/** Part of the assumed memory from which use without harm is evidence. */
const HIGH_USAGE_SHARE = 0.85;
/** Reports older than this say nothing of the present. */
const MAX_REPORT_AGE_MS = 10_000;
/** Part of the memory that is used while reports are missing. */
const CAPACITY_SHARE_WITHOUT_REPORT = 0.95;
/** Weight of a new report in the mean of what others hold. */
const EXTERNAL_USAGE_WEIGHT = 0.3;
const SLOW_START_MS = 10_000;
const SLOW_START_MIN_SHARE = 0.2;
const EJECT_AFTER_FAILURES = 3;
const UNREACHABLE_AFTER_POLLS = 2;
const BASE_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
const MAX_SNAPSHOTS = 32;
/** Reports in a row that must show the same full batch beside a queue. */
const SLOT_LIMIT_REPORTS = 3;

/** How far the margin moves. */
export interface MarginRule {
  /** Standard deviations that are kept free at first. */
  readonly initialDeviations: number;
  readonly minDeviations: number;
  readonly maxDeviations: number;
  /** Added for each report that shows preemptions. */
  readonly onPreemption: number;
  /** Taken off for each report without preemptions. */
  readonly onQuiet: number;
}

/** What a request may use of an endpoint. */
export interface EndpointAllowance {
  /** Part of the endpoint that the dispatcher may use. */
  readonly share: number;
  /** Part of that memory that the request's class may use. */
  readonly memoryShare: number;
  /** Part of the slots that the request's class may use. */
  readonly slotShare: number;
  /** Part of the margin that is kept free. */
  readonly marginShare: number;
}

interface ReservationSnapshot {
  readonly atMs: number;
  readonly heldTokens: number;
}

/** Memory, health and limits of one endpoint. */
export class EndpointState {
  readonly endpoint: Endpoint;
  /** Number of the endpoint within its group. */
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
   * @param slot - Its number within the group.
   * @param rule - How its margin learns.
   * @param slotLimit - Most grants at one time.
   * @param slowStartMs - Moment from which its share grows.
   */
  constructor(
    endpoint: Endpoint,
    slot: number,
    rule: MarginRule,
    slotLimit: number,
    slowStartMs: number,
  ) {
    this.endpoint = endpoint;
    this.groupIndex = slot;
    this.#marginRule = rule;
    this.#marginDeviations = rule.initialDeviations;
    this.#slotLimit = slotLimit;
    this.#slowStartMs = slowStartMs;
  }

  /** Standard deviations that are kept free now. */
  get marginDeviations(): number {
    return this.#marginDeviations;
  }

  /** Whole memory as it is known or assumed, in tokens. */
  get capacityTokens(): number {
    return this.#capacityTokens;
  }

  /** Memory that the last reports show beyond our own grants, in tokens. */
  get externalTokens(): number {
    return this.#externalTokens;
  }

  /** @returns Whether the endpoint is ejected now. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** @returns Whether another grant is within the number of slots. */
  hasFreeSlot({ share, slotShare }: EndpointAllowance, nowMs: number): boolean {
    const part = share * slotShare * this.#slowStartShare(nowMs);
    const limit = this.#slotLimit * part;
    return this.reservations.size < Math.max(1, limit);
  }

  /**
   * Memory that stays free at the future peak when a request is added.
   *
   * @param added - Profile of the request.
   * @param allowance - What the request may use.
   * @param nowMs - The present.
   * @returns Free memory in tokens; negative when it does not fit.
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
   * @param nowMs - The present.
   * @param share - Part of the endpoint that this dispatcher may use.
   * @returns Memory that its grants may use, in tokens.
   */
  usableTokens(nowMs: number, share: number): number {
    const known = this.#isReportFresh(nowMs)
      ? this.#capacityTokens
      : this.#capacityTokens * CAPACITY_SHARE_WITHOUT_REPORT;
    // What others hold lies within their part, so it is not taken off twice.
    return Math.min(
      known * share * this.#slowStartShare(nowMs),
      known - this.#externalTokens,
    );
  }

  /**
   * Learns from a load report.
   *
   * @param report - The report, with the age that it claims.
   * @param nowMs - Moment at which it was received.
   */
  onLoadReport(report: LoadReport, nowMs: number): void {
    this.#consecutiveFailedPolls = 0;
    this.#recordSnapshot(nowMs);
    const last = this.#lastReport;
    const madeMs = nowMs - report.ageMs;
    if (madeMs <= this.#reportCreatedMs) return;
    this.#lastReport = report;
    this.#reportCreatedMs = madeMs;
    if (report.isLeaving) this.isDraining = true;
    if (last && last.incarnation !== report.incarnation) {
      this.#onRestarted(nowMs);
      return;
    }
    const preemptions = report.preemptions - (last?.preemptions ?? 0);
    this.#updateCapacity(report, last ? preemptions : 0);
    if (last) this.#updateMargin(preemptions);
    this.#updateExternalTokens(report, madeMs);
    this.#updateSlotLimit(report, last);
  }

  /** Whether the endpoint has given no load report for some polls. */
  get isUnreachable(): boolean {
    return this.#consecutiveFailedPolls >= UNREACHABLE_AFTER_POLLS;
  }

  /** Takes note of a poll without an answer. */
  onPollFailed(): void {
    this.#consecutiveFailedPolls++;
  }

  /** Takes note of a request that the endpoint answered in order. */
  onSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#consecutiveEjections = 0;
  }

  /**
   * Takes note of a failure.
   *
   * @returns Whether the endpoint has failed often enough to be ejected.
   */
  onFailure(): boolean {
    this.#consecutiveFailures++;
    return this.#consecutiveFailures >= EJECT_AFTER_FAILURES;
  }

  /** Keeps requests away; afterwards the endpoint starts slowly. */
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
    const moved = preemptions > 0
      ? this.#marginDeviations + onPreemption
      : this.#marginDeviations - onQuiet;
    this.#marginDeviations = Math.min(
      maxDeviations,
      Math.max(minDeviations, moved),
    );
  }

  /** Compares a report with our own ledger at the time it was made. */
  #updateExternalTokens(report: LoadReport, madeMs: number): void {
    const then = this.#snapshots.findLast(({ atMs }) => atMs <= madeMs);
    if (!then) return;
    const beyond = Math.max(0, report.memoryUsedTokens - then.heldTokens);
    this.#externalTokens += EXTERNAL_USAGE_WEIGHT *
      (beyond - this.#externalTokens);
  }

  /** A queue that stays beside free memory shows the limit of slots. */
  #updateSlotLimit(report: LoadReport, last: LoadReport | undefined): void {
    const isMemoryFree = report.memoryUsedTokens <
      this.#capacityTokens * HIGH_USAGE_SHARE;
    const isCrowded = report.queued > 0 && isMemoryFree &&
      report.running === last?.running;
    this.#slotLimitedReports = isCrowded ? this.#slotLimitedReports + 1 : 0;
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
