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
  submit(arrival: Arrival, excluded: readonly number[]): void;
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
const DAEMON_COUNT = 6;
const FAILURE_COOLDOWN_MS = 5_000;

/** What a daemon knows in a baseline. */
interface BaselineDaemon {
  nextEndpointIndex: number;
  /** Own requests sent since the last report, by endpoint. */
  readonly sentSinceReport: number[];
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
  readonly #cooldownUntilMs: number[];
  readonly #endpointByGeneration = new Map<GenerationId, number>();

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
    this.#cooldownUntilMs = endpoints.map(() => 0);
    this.#daemons = Array.from({ length: DAEMON_COUNT }, (_, index) => ({
      nextEndpointIndex: index,
      sentSinceReport: endpoints.map(() => 0),
    }));
  }

  submit(arrival: Arrival, excluded: readonly number[]): void {
    const daemon = this.#random.pick(this.#daemons);
    const nowMs = this.#now();
    const indexes = this.#endpoints.map((_, index) => index);
    const usable = indexes.filter((index) =>
      !excluded.includes(index) && this.#cooldownUntilMs[index]! <= nowMs
    );
    const chosen = this.#chooseEndpoint(
      daemon,
      usable.length > 0 ? usable : indexes,
    );
    daemon.sentSinceReport[chosen]!++;
    this.#endpointByGeneration.set(arrival.id, chosen);
    this.#listener.onGranted(arrival.id, chosen);
  }

  abandon(): void {
    // Nothing waits before a grant.
  }

  progress(): void {
    // Reports of the engines alone decide.
  }

  release(id: GenerationId, end: GrantEndReason): void {
    const endpoint = this.#endpointByGeneration.get(id);
    this.#endpointByGeneration.delete(id);
    if (endpoint === undefined || end === "completed" || end === "cancelled") {
      return;
    }
    this.#cooldownUntilMs[endpoint] = this.#now() + FAILURE_COOLDOWN_MS;
  }

  onReport(endpoint: number, report: LoadReport | undefined): void {
    this.#reports[endpoint] = report;
    for (const daemon of this.#daemons) daemon.sentSinceReport[endpoint] = 0;
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

  #chooseEndpoint(daemon: BaselineDaemon, usable: readonly number[]): number {
    const pickLessLoaded = (left: number, right: number): number =>
      this.#estimateLoad(daemon, right) < this.#estimateLoad(daemon, left)
        ? right
        : left;
    if (this.#name === "least-loaded") return usable.reduce(pickLessLoaded);
    if (this.#name === "power-of-two") {
      return pickLessLoaded(
        this.#random.pick(usable),
        this.#random.pick(usable),
      );
    }
    return usable[daemon.nextEndpointIndex++ % usable.length]!;
  }

  #estimateLoad(daemon: BaselineDaemon, endpoint: number): number {
    const report = this.#reports[endpoint];
    const reported = report ? report.running + report.queued : 0;
    return reported + daemon.sentSinceReport[endpoint]!;
  }
}
