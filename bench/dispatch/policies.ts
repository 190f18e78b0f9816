/** Policies that the dispatch bench compares. */

import type { GenerationId } from "../../src/base/common/ids.ts";
import type { SeededRandom } from "../../src/base/common/random.ts";
import type {
  CacheEventPage,
  Endpoint,
  LoadReport,
} from "../../src/services/endpoints/common/engine_client.ts";
import type { GrantEndReason } from "../../src/features/dispatch/common/dispatcher.ts";
import type { Arrival } from "./workload.ts";

/** Names of the policies. */
export const POLICY_NAMES = [
  "round-robin",
  "least-loaded",
  "power-of-two",
  "reserve-max",
  "ours",
  "oracle",
] as const;

/** Name of a policy. */
export type PolicyName = typeof POLICY_NAMES[number];

/** Receives what a policy decides. */
export interface PolicyListener {
  onGranted(id: GenerationId, endpoint: number): void;
  onRefused(id: GenerationId, isEarly: boolean): void;
}

/** Decides where requests go. */
export interface BenchPolicy {
  /** @param excluded - Endpoints that failed the request before. */
  request(arrival: Arrival, excluded: readonly number[]): void;
  /** The caller left before a grant. */
  abandon(id: GenerationId): void;
  progress(id: GenerationId, generatedTokens: number): void;
  release(id: GenerationId, end: GrantEndReason, generatedTokens: number): void;
  onReport(endpoint: number, report: LoadReport | undefined): void;
  onCacheEvents(endpoint: number, page: CacheEventPage): void;
  lastCacheSequence(endpoint: number): number;
  /** The process that dispatches dies and another takes its place. */
  replaceDispatcher(): void;
  tick(): void;
}

/** Daemons that choose independently in the baselines. */
const DAEMONS = 6;
const AVOID_AFTER_FAILURE_MS = 5_000;

/** What a daemon knows in a baseline. */
interface BaselineDaemon {
  next: number;
  /** Own requests sent since the last report, by endpoint. */
  readonly sent: number[];
}

/** Sends each request at once; the engine's queue holds what does not fit. */
export class BaselinePolicy implements BenchPolicy {
  readonly #name: PolicyName;
  readonly #endpoints: readonly Endpoint[];
  readonly #random: SeededRandom;
  readonly #listener: PolicyListener;
  readonly #now: () => number;
  readonly #daemons: BaselineDaemon[];
  readonly #reports: (LoadReport | undefined)[];
  readonly #avoidedUntilMs: number[];
  readonly #endpointOf = new Map<GenerationId, number>();

  /**
   * @param name - The rule.
   * @param endpoints - The replicas.
   * @param random - Randomness.
   * @param listener - Receives grants.
   * @param now - The present in milliseconds.
   */
  constructor(
    name: PolicyName,
    endpoints: readonly Endpoint[],
    random: SeededRandom,
    listener: PolicyListener,
    now: () => number,
  ) {
    this.#name = name;
    this.#endpoints = endpoints;
    this.#random = random;
    this.#listener = listener;
    this.#now = now;
    this.#reports = endpoints.map(() => undefined);
    this.#avoidedUntilMs = endpoints.map(() => 0);
    this.#daemons = Array.from({ length: DAEMONS }, (_, index) => ({
      next: index,
      sent: endpoints.map(() => 0),
    }));
  }

  request(arrival: Arrival, excluded: readonly number[]): void {
    const daemon = this.#random.pick(this.#daemons);
    const nowMs = this.#now();
    const all = this.#endpoints.map((_, index) => index);
    const usable = all.filter((index) =>
      !excluded.includes(index) && this.#avoidedUntilMs[index]! <= nowMs
    );
    const chosen = this.#choose(daemon, usable.length > 0 ? usable : all);
    daemon.sent[chosen]!++;
    this.#endpointOf.set(arrival.id, chosen);
    this.#listener.onGranted(arrival.id, chosen);
  }

  abandon(): void {
    // Nothing waits before a grant.
  }

  progress(): void {
    // Reports of the engines alone decide.
  }

  release(id: GenerationId, end: GrantEndReason): void {
    const endpoint = this.#endpointOf.get(id);
    this.#endpointOf.delete(id);
    if (endpoint === undefined || end === "completed" || end === "cancelled") {
      return;
    }
    this.#avoidedUntilMs[endpoint] = this.#now() + AVOID_AFTER_FAILURE_MS;
  }

  onReport(endpoint: number, report: LoadReport | undefined): void {
    this.#reports[endpoint] = report;
    for (const daemon of this.#daemons) daemon.sent[endpoint] = 0;
  }

  onCacheEvents(): void {
    // Prefixes do not matter here.
  }

  lastCacheSequence(): number {
    return 0;
  }

  replaceDispatcher(): void {
    // Each daemon decides alone.
  }

  tick(): void {
    // Nothing waits.
  }

  #choose(daemon: BaselineDaemon, usable: readonly number[]): number {
    const byLoad = (left: number, right: number): number =>
      this.#loadOf(daemon, right) < this.#loadOf(daemon, left) ? right : left;
    if (this.#name === "least-loaded") return usable.reduce(byLoad);
    if (this.#name === "power-of-two") {
      return byLoad(this.#random.pick(usable), this.#random.pick(usable));
    }
    return usable[daemon.next++ % usable.length]!;
  }

  #loadOf(daemon: BaselineDaemon, endpoint: number): number {
    const report = this.#reports[endpoint];
    const reported = report ? report.running + report.queued : 0;
    return reported + daemon.sent[endpoint]!;
  }
}
