/**
 * Policies that use the dispatcher of the daemon. They differ in the model that
 * forecasts the lengths of generations.
 */

import { asId, type GenerationId } from "../../src/base/common/ids.ts";
import type { SeededRandom } from "../../src/base/common/random.ts";
import type {
  CacheEventPage,
  Endpoint,
  LoadReport,
} from "../../src/services/endpoints/common/engine_client.ts";
import { hashPromptBlocks } from "../../src/services/endpoints/common/prompt_blocks.ts";
import type {
  GrantEndReason,
  GrantId,
} from "../../src/features/dispatch/common/dispatcher.ts";
import { GroupDispatcher } from "../../src/features/dispatch/common/group_dispatcher.ts";
import type { GroupPolicy } from "../../src/features/dispatch/common/group_policy.ts";
import type { GroupRequest } from "../../src/features/dispatch/common/group_requests.ts";
import {
  HistogramLengthModel,
  type LengthFeatures,
  type LengthModel,
} from "../../src/features/dispatch/common/length_model.ts";
import {
  fillProfileFromSurvival,
  type MemoryForecast,
  type MemoryProfile,
} from "../../src/features/dispatch/common/memory_profile.ts";
import type { BenchPolicy, PolicyListener } from "./policies.ts";
import type { Arrival } from "./workload.ts";

/** Time for which a new dispatcher uses only a part of each endpoint. */
const TAKEOVER_WINDOW_MS = 2_000;
const STARVATION_LIMIT_MS = 60_000;
const MAX_HASHED_BLOCKS = 64;

/** Options of a dispatcher policy. */
export interface DispatcherPolicyOptions {
  /** Replicas to choose from. */
  readonly endpoints: readonly Endpoint[];
  readonly random: SeededRandom;
  readonly listener: PolicyListener;
  readonly policy: GroupPolicy;
  /** Returns the current time in milliseconds. */
  readonly now: () => number;
  /** Creates the length model of a new dispatcher. */
  createLengthModel(): LengthModel;
}

/** Request that has not ended; used to restore a replaced dispatcher. */
interface TrackedRequest {
  readonly request: GroupRequest;
  readonly arrivedMs: number;
  readonly maxWaitMs: number;
  /** Index of the granted endpoint; `undefined` while the request waits. */
  endpoint: number | undefined;
  generatedTokens: number;
}

/** Policy that submits requests to a dispatcher in the same process. */
export class DispatcherPolicy implements BenchPolicy {
  readonly #options: DispatcherPolicyOptions;
  readonly #trackedRequests = new Map<GenerationId, TrackedRequest>();
  #dispatcher: GroupDispatcher;

  /** @param options - Options of the policy. */
  constructor(options: DispatcherPolicyOptions) {
    this.#options = options;
    this.#dispatcher = this.#createDispatcher();
  }

  submit(arrival: Arrival, excluded: readonly number[]): void {
    const { endpoints, now } = this.#options;
    const request = toRequest(
      arrival,
      excluded.map((index) => endpoints[index]!.id),
    );
    this.#trackedRequests.set(arrival.id, {
      request,
      arrivedMs: now(),
      maxWaitMs: request.patienceMs,
      endpoint: undefined,
      generatedTokens: 0,
    });
    this.#dispatcher.submit(request, now());
  }

  abandon(id: GenerationId): void {
    this.#trackedRequests.delete(id);
    this.#dispatcher.abandon(toGrantId(id));
  }

  progress(id: GenerationId, generatedTokens: number): void {
    const tracked = this.#trackedRequests.get(id);
    if (tracked) tracked.generatedTokens = generatedTokens;
    this.#dispatcher.recordProgress(toGrantId(id), generatedTokens);
  }

  release(
    id: GenerationId,
    end: GrantEndReason,
    generatedTokens: number,
  ): void {
    this.#trackedRequests.delete(id);
    const release = { id: toGrantId(id), end, generatedTokens };
    this.#dispatcher.release(release, this.#options.now());
  }

  onReport(endpoint: number, report: LoadReport | undefined): void {
    const { id } = this.#options.endpoints[endpoint]!;
    const nowMs = this.#options.now();
    if (report) this.#dispatcher.onLoadReport(id, report, nowMs);
    else this.#dispatcher.onPollFailed(id, nowMs);
  }

  onCacheEvents(endpoint: number, page: CacheEventPage): void {
    this.#dispatcher.onCacheEvents(this.#options.endpoints[endpoint]!.id, page);
  }

  lastCacheSequence(endpoint: number): number {
    const { id } = this.#options.endpoints[endpoint]!;
    return this.#dispatcher.lastCacheSequence(id);
  }

  replaceDispatcher(): void {
    const nowMs = this.#options.now();
    this.#dispatcher = this.#createDispatcher();
    this.#dispatcher.beginTakeover(nowMs + TAKEOVER_WINDOW_MS);
    for (const tracked of this.#trackedRequests.values()) {
      const { request, endpoint, generatedTokens } = tracked;
      if (endpoint === undefined) continue;
      const { id } = this.#options.endpoints[endpoint]!;
      this.#dispatcher.adoptGrant(
        { request, endpoint: id, generatedTokens },
        nowMs,
      );
    }
    for (
      const { request, arrivedMs, maxWaitMs, endpoint } of [
        ...this.#trackedRequests.values(),
      ]
    ) {
      if (endpoint !== undefined) continue;
      const remainingMs = maxWaitMs - (nowMs - arrivedMs);
      this.#dispatcher.submit({ ...request, patienceMs: remainingMs }, nowMs);
    }
  }

  tick(): void {
    this.#dispatcher.tick(this.#options.now());
  }

  #createDispatcher(): GroupDispatcher {
    const { endpoints, random, policy, now, listener } = this.#options;
    const dispatcher = new GroupDispatcher({
      policy,
      random,
      lengths: this.#options.createLengthModel(),
      nowMs: now(),
      listener: {
        onGranted: ({ id, endpoint }) => {
          const generation = toGenerationId(id);
          const index = endpoints.findIndex((other) =>
            other.id === endpoint.id
          );
          const tracked = this.#trackedRequests.get(generation);
          if (tracked) tracked.endpoint = index;
          listener.onGranted(generation, index);
        },
        onRefused: (id, { detail }) => {
          // The dispatcher has no separate code for refusals because of the estimated
          // wait; they are recognized by their detail.
          const generation = toGenerationId(id);
          this.#trackedRequests.delete(generation);
          listener.onRefused(generation, detail.startsWith("the wait"));
        },
      },
    });
    const availableEndpoints = endpoints.map((endpoint) => ({
      ...endpoint,
      isLeaving: false,
    }));
    dispatcher.setEndpoints(availableEndpoints, now());
    return dispatcher;
  }
}

/** Length model that returns the actual length of each generation. */
export class OracleLengthModel implements LengthModel {
  readonly #lengths: ReadonlyMap<string, number>;

  /** @param lengths - Numbers of tokens by generation identifier. */
  constructor(lengths: ReadonlyMap<string, number>) {
    this.#lengths = lengths;
  }

  forecast(subject: LengthFeatures): MemoryForecast {
    // The dispatcher passes its requests, which also have an identifier.
    const { id } = subject as GroupRequest;
    const expectedTokens = this.#lengths.get(id)!;
    return {
      expectedTokens,
      fillProfile: (baseTokens, generatedTokens, profile) =>
        fillProfileFromSurvival(
          baseTokens,
          generatedTokens,
          profile,
          (furtherTokens) =>
            Number(generatedTokens + furtherTokens < expectedTokens),
        ),
    };
  }

  onProgress(): void {
    // The lengths are given, so there is nothing to observe.
  }

  onEnded(): void {
    // The lengths are given, so there is nothing to observe.
  }
}

/**
 * Length model that reserves memory for the largest number of tokens that a
 * request allows.
 */
export class ReserveMaxLengthModel implements LengthModel {
  readonly #histogramModel = new HistogramLengthModel();

  forecast(subject: LengthFeatures): MemoryForecast {
    const { expectedTokens } = this.#histogramModel.forecast(subject);
    return {
      expectedTokens,
      fillProfile: (
        baseTokens: number,
        _generated: number,
        profile: MemoryProfile,
      ) => {
        profile.meanTokens.fill(baseTokens + subject.maxTokens);
        profile.varianceTokens.fill(0);
      },
    };
  }

  onProgress(): void {
    // The reservation does not depend on the progress.
  }

  onEnded(subject: LengthFeatures, generatedTokens: number): void {
    this.#histogramModel.onEnded(subject, generatedTokens);
  }
}

function toRequest(
  arrival: Arrival,
  excludedEndpoints: GroupRequest["excludedEndpoints"],
): GroupRequest {
  return {
    id: toGrantId(arrival.id),
    workspace: arrival.workspace,
    className: arrival.class.name,
    maxTokens: arrival.class.maxTokens,
    promptTokens: arrival.promptTokens,
    blocks: hashPromptBlocks(arrival.prompt, MAX_HASHED_BLOCKS),
    sizeBytes: arrival.prompt.length,
    patienceMs: arrival.class.maxWaitMs,
    excludedEndpoints,
    priority: arrival.class.priority,
    starvationMs: STARVATION_LIMIT_MS,
    share: 1,
    limit: { tokensPerSecond: undefined, maxConcurrent: undefined },
  };
}

function toGrantId(id: GenerationId): GrantId {
  return asId<GrantId>(id);
}

function toGenerationId(id: GrantId): GenerationId {
  return asId<GenerationId>(id);
}
