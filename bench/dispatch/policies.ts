/**
 * Interface of the policies that the dispatch benchmark compares, and baseline
 * policies without a dispatcher.
 */

import type { GenerationId } from "../../src/base/common/ids.ts";
import type { SeededRandom } from "../../src/base/common/random.ts";
import type {
  CacheEventPage,
  Endpoint,
  LoadReport,
} from "../../src/services/endpoints/common/engine_client.ts";
import type { GrantEndReason } from "../../src/features/dispatch/common/dispatcher.ts";
import type { Arrival } from "./workload.ts";

/** Names of the compared policies; `ours` is the policy of this project. */
export const POLICY_NAMES = [
  "round-robin",
  "least-loaded",
  "power-of-two",
  "reserve-max",
  "ours",
  "oracle",
] as const;

/** Name of a compared policy. */
export type PolicyName = typeof POLICY_NAMES[number];

/** Receives the decisions of a policy. */
export interface PolicyListener {
  /** Called when a request is granted an endpoint. */
  onGranted(id: GenerationId, endpoint: number): void;
  /**
   * Called when a request is refused.
   *
   * @param isEarly - Whether it was refused because of the estimated wait.
   */
  onRefused(id: GenerationId, isEarly: boolean): void;
}

/** Policy that chooses endpoints for requests; endpoints are given by index. */
export interface BenchPolicy {
  /**
   * Submits a request for a grant.
   *
   * @param arrival - Request to dispatch.
   * @param excluded - Indexes of endpoints on which the request has failed.
   */
  submit(arrival: Arrival, excluded: readonly number[]): void;
  /** Withdraws a request whose caller disconnected before the grant. */
  abandon(id: GenerationId): void;
  /** Records the number of tokens that a generation has produced so far. */
  progress(id: GenerationId, generatedTokens: number): void;
  /** Releases the grant of a request that has ended. */
  release(id: GenerationId, end: GrantEndReason, generatedTokens: number): void;
  /** Records a load report, or a failed poll if there is none. */
  onReport(endpoint: number, report: LoadReport | undefined): void;
  /** Records changes of the prefix cache of an engine. */
  onCacheEvents(endpoint: number, page: CacheEventPage): void;
  /** @returns Sequence number of the last recorded cache event. */
  lastCacheSequence(endpoint: number): number;
  /** Simulates that the dispatcher's process dies and another takes over. */
  replaceDispatcher(): void;
  /** Runs periodic work, such as the expiry of waiting requests. */
  tick(): void;
}

/** Number of daemons that choose endpoints independently in the baselines. */
const DAEMON_COUNT = 6;
const FAILURE_COOLDOWN_MS = 5_000;

/** State of a daemon in a baseline policy. */
interface BaselineDaemon {
  nextEndpointIndex: number;
  /** Requests of this daemon since the last load report, by endpoint index. */
  readonly sentSinceReport: number[];
}

/**
 * Baseline that sends each request immediately, so that requests beyond the
 * capacity of an engine wait in its queue.
 */
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
   * @param name - Name of the baseline.
   * @param endpoints - Replicas to choose from.
   * @param random - Random number generator.
   * @param listener - Receiver of the grants.
   * @param now - Returns the current time in milliseconds.
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
    const endpoint = this.#chooseEndpoint(
      daemon,
      usable.length > 0 ? usable : indexes,
    );
    daemon.sentSinceReport[endpoint]!++;
    this.#endpointByGeneration.set(arrival.id, endpoint);
    this.#listener.onGranted(arrival.id, endpoint);
  }

  abandon(): void {
    // Requests are granted immediately, so none waits.
  }

  progress(): void {
    // The baselines use only the load reports of the engines.
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
    // The baselines do not consider cached prefixes.
  }

  lastCacheSequence(): number {
    return 0;
  }

  replaceDispatcher(): void {
    // The daemons decide independently; there is no dispatcher to replace.
  }

  tick(): void {
    // No request waits.
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
