/** What a dispatcher knows of one endpoint of its group. */

import type {
  Endpoint,
  LoadReport,
} from "../../../services/endpoints/common/engine_client.ts";
import { MemoryLedger } from "./memory_ledger.ts";
import type { MemoryProfile } from "./memory_profile.ts";

/** Assumed memory of an engine that has not said or shown it. */
const UNKNOWN_CAPACITY_TOKENS = 16_000;
const CAPACITY_GROWTH = 1.02;
const CAPACITY_AFTER_PREEMPTION = 0.95;
/** Part of the assumed memory from which use without harm is evidence. */
const CLOSE_TO_CAPACITY = 0.85;
/** Reports older than this say nothing of the present. */
const STALE_REPORT_MS = 10_000;
/** Part of the memory that is used while reports are missing. */
const CAPACITY_SHARE_WITHOUT_REPORT = 0.95;
/** Weight of a new report in the mean of what others hold. */
const FOREIGN_WEIGHT = 0.3;
const SLOW_START_MS = 10_000;
const SLOW_START_SHARE = 0.2;
const EJECT_AFTER_FAILURES = 3;
const UNREACHABLE_AFTER_POLLS = 2;
const EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
const KEPT_SNAPSHOTS = 32;
/** Reports in a row that must show the same full batch beside a queue. */
const CROWDED_REPORTS = 3;

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
export interface Allowance {
  /** Part of the endpoint that the dispatcher may use. */
  readonly share: number;
  /** Part of that memory that the request's class may use. */
  readonly memoryShare: number;
  /** Part of the slots that the request's class may use. */
  readonly slotShare: number;
  /** Part of the margin that is kept free. */
  readonly marginShare: number;
}

interface HeldSnapshot {
  readonly atMs: number;
  readonly heldTokens: number;
}

/** Memory, health and limits of one endpoint. */
export class EndpointState {
  readonly endpoint: Endpoint;
  /** Number of the endpoint within its group. */
  readonly slot: number;
  readonly ledger = new MemoryLedger();
  isLeaving = false;
  #deviations: number;
  #capacityTokens = UNKNOWN_CAPACITY_TOKENS;
  #foreignTokens = 0;
  #crowdedReports = 0;
  #slotLimit: number;
  #lastReport: LoadReport | undefined;
  #reportMadeMs = -Infinity;
  #snapshots: HeldSnapshot[] = [];
  #slowStartMs: number;
  #failures = 0;
  #ejections = 0;
  #failedPolls = 0;
  #ejectedUntilMs = -Infinity;
  readonly #rule: MarginRule;

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
    this.slot = slot;
    this.#rule = rule;
    this.#deviations = rule.initialDeviations;
    this.#slotLimit = slotLimit;
    this.#slowStartMs = slowStartMs;
  }

  /** Standard deviations that are kept free now. */
  get deviations(): number {
    return this.#deviations;
  }

  /** Whole memory as it is known or assumed, in tokens. */
  get capacityTokens(): number {
    return this.#capacityTokens;
  }

  /** Memory that the last reports show beyond our own grants, in tokens. */
  get foreignTokens(): number {
    return this.#foreignTokens;
  }

  /** @returns Whether the endpoint is ejected now. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** @returns Whether another grant is within the number of slots. */
  hasSlot({ share, slotShare }: Allowance, nowMs: number): boolean {
    const part = share * slotShare * this.#startShare(nowMs);
    const limit = this.#slotLimit * part;
    return this.ledger.size < Math.max(1, limit);
  }

  /**
   * Memory that stays free at the future peak when a request is added.
   *
   * @param added - Profile of the request.
   * @param allowance - What the request may use.
   * @param nowMs - The present.
   * @returns Free memory in tokens; negative when it does not fit.
   */
  headroomWith(
    added: MemoryProfile,
    allowance: Allowance,
    nowMs: number,
  ): number {
    const { share, memoryShare, marginShare } = allowance;
    const usable = this.usableTokens(nowMs, share) * memoryShare;
    const deviations = this.#deviations * marginShare;
    return usable - this.ledger.peakWith(added, deviations, usable);
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
      known * share * this.#startShare(nowMs),
      known - this.#foreignTokens,
    );
  }

  /**
   * Learns from a load report.
   *
   * @param report - The report, with the age that it claims.
   * @param nowMs - Moment at which it was received.
   */
  onReport(report: LoadReport, nowMs: number): void {
    this.#failedPolls = 0;
    this.#remember(nowMs);
    const last = this.#lastReport;
    const madeMs = nowMs - report.ageMs;
    if (madeMs <= this.#reportMadeMs) return;
    this.#lastReport = report;
    this.#reportMadeMs = madeMs;
    if (report.isLeaving) this.isLeaving = true;
    if (last && last.incarnation !== report.incarnation) {
      this.#onRestarted(nowMs);
      return;
    }
    const preemptions = report.preemptions - (last?.preemptions ?? 0);
    this.#learnCapacity(report, last ? preemptions : 0);
    if (last) this.#learnMargin(preemptions);
    this.#learnForeign(report, madeMs);
    this.#learnSlots(report, last);
  }

  /** Whether the endpoint has given no load report for some polls. */
  get isUnreachable(): boolean {
    return this.#failedPolls >= UNREACHABLE_AFTER_POLLS;
  }

  /** Takes note of a poll without an answer. */
  onFailedPoll(): void {
    this.#failedPolls++;
  }

  /** Takes note of a request that the endpoint answered in order. */
  onSuccess(): void {
    this.#failures = 0;
    this.#ejections = 0;
  }

  /**
   * Takes note of a failure.
   *
   * @returns Whether the endpoint has failed often enough to be ejected.
   */
  onFailure(): boolean {
    this.#failures++;
    return this.#failures >= EJECT_AFTER_FAILURES;
  }

  /** Keeps requests away; afterwards the endpoint starts slowly. */
  eject(nowMs: number): void {
    if (this.isEjected(nowMs)) return;
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      EJECTION_MS * 2 ** this.#ejections,
    );
    this.#ejections++;
    this.#failures = 0;
    this.#ejectedUntilMs = nowMs + durationMs;
    this.#slowStartMs = this.#ejectedUntilMs;
  }

  #startShare(nowMs: number): number {
    const progress = (nowMs - this.#slowStartMs) / SLOW_START_MS;
    if (progress >= 1) return 1;
    return SLOW_START_SHARE + (1 - SLOW_START_SHARE) * Math.max(0, progress);
  }

  #isReportFresh(nowMs: number): boolean {
    return nowMs - this.#reportMadeMs <= STALE_REPORT_MS;
  }

  #onRestarted(nowMs: number): void {
    this.#foreignTokens = 0;
    this.#crowdedReports = 0;
    this.#slowStartMs = nowMs;
    this.#snapshots = [];
  }

  #learnCapacity(report: LoadReport, preemptions: number): void {
    if (report.memoryTotalTokens !== undefined) {
      this.#capacityTokens = report.memoryTotalTokens;
      return;
    }
    const used = report.memoryUsedTokens;
    if (preemptions > 0) {
      this.#capacityTokens = Math.max(
        UNKNOWN_CAPACITY_TOKENS / 2,
        Math.min(this.#capacityTokens, used) * CAPACITY_AFTER_PREEMPTION,
      );
    } else if (used > this.#capacityTokens * CLOSE_TO_CAPACITY) {
      this.#capacityTokens = Math.max(
        used,
        this.#capacityTokens * CAPACITY_GROWTH,
      );
    }
  }

  #learnMargin(preemptions: number): void {
    const { minDeviations, maxDeviations, onPreemption, onQuiet } = this.#rule;
    const moved = preemptions > 0
      ? this.#deviations + onPreemption
      : this.#deviations - onQuiet;
    this.#deviations = Math.min(
      maxDeviations,
      Math.max(minDeviations, moved),
    );
  }

  /** Compares a report with our own ledger at the time it was made. */
  #learnForeign(report: LoadReport, madeMs: number): void {
    const then = this.#snapshots.findLast(({ atMs }) => atMs <= madeMs);
    if (!then) return;
    const beyond = Math.max(0, report.memoryUsedTokens - then.heldTokens);
    this.#foreignTokens += FOREIGN_WEIGHT * (beyond - this.#foreignTokens);
  }

  /** A queue that stays beside free memory shows the limit of slots. */
  #learnSlots(report: LoadReport, last: LoadReport | undefined): void {
    const isMemoryFree = report.memoryUsedTokens <
      this.#capacityTokens * CLOSE_TO_CAPACITY;
    const isCrowded = report.queued > 0 && isMemoryFree &&
      report.running === last?.running;
    this.#crowdedReports = isCrowded ? this.#crowdedReports + 1 : 0;
    if (this.#crowdedReports >= CROWDED_REPORTS) {
      this.#slotLimit = Math.min(this.#slotLimit, report.running);
    } else if (report.queued === 0 && report.running >= this.#slotLimit) {
      this.#slotLimit = report.running + 1;
    }
  }

  #remember(nowMs: number): void {
    const heldTokens = this.ledger.heldTokens;
    this.#snapshots.push({ atMs: nowMs, heldTokens });
    if (this.#snapshots.length > KEPT_SNAPSHOTS) this.#snapshots.shift();
  }
}
