/** Policies over the dispatcher's core; they differ in what they forecast. */

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

const TAKEOVER_ANSWER_MS = 2_000;
const STARVATION_MS = 60_000;
const MAX_HASHED_BLOCKS = 64;

/** What a policy over the core works with. */
export interface CorePolicyOptions {
  readonly endpoints: readonly Endpoint[];
  readonly random: SeededRandom;
  readonly listener: PolicyListener;
  readonly policy: GroupPolicy;
  readonly now: () => number;
  createLengths(): LengthModel;
}

interface Known {
  readonly request: GroupRequest;
  readonly arrivedMs: number;
  readonly patienceMs: number;
  endpoint: number | undefined;
  generatedTokens: number;
}

/** The dispatcher of the daemon, asked in-process. */
export class CorePolicy implements BenchPolicy {
  readonly #options: CorePolicyOptions;
  readonly #known = new Map<GenerationId, Known>();
  #core: GroupDispatcher;

  /** @param options - What the policy works with. */
  constructor(options: CorePolicyOptions) {
    this.#options = options;
    this.#core = this.#createCore();
  }

  request(arrival: Arrival, excluded: readonly number[]): void {
    const { endpoints, now } = this.#options;
    const request = toRequest(
      arrival,
      excluded.map((index) => endpoints[index]!.id),
    );
    this.#known.set(arrival.id, {
      request,
      arrivedMs: now(),
      patienceMs: request.patienceMs,
      endpoint: undefined,
      generatedTokens: 0,
    });
    this.#core.submit(request, now());
  }

  abandon(id: GenerationId): void {
    this.#known.delete(id);
    this.#core.abandon(toGrantId(id));
  }

  progress(id: GenerationId, generatedTokens: number): void {
    const known = this.#known.get(id);
    if (known) known.generatedTokens = generatedTokens;
    this.#core.recordProgress(toGrantId(id), generatedTokens);
  }

  release(
    id: GenerationId,
    end: GrantEndReason,
    generatedTokens: number,
  ): void {
    this.#known.delete(id);
    const release = { id: toGrantId(id), end, generatedTokens };
    this.#core.release(release, this.#options.now());
  }

  onReport(endpoint: number, report: LoadReport | undefined): void {
    const { id } = this.#options.endpoints[endpoint]!;
    const nowMs = this.#options.now();
    if (report) this.#core.onLoadReport(id, report, nowMs);
    else this.#core.onPollFailed(id, nowMs);
  }

  onCacheEvents(endpoint: number, page: CacheEventPage): void {
    this.#core.onCacheEvents(this.#options.endpoints[endpoint]!.id, page);
  }

  lastCacheSequence(endpoint: number): number {
    const { id } = this.#options.endpoints[endpoint]!;
    return this.#core.lastCacheSequence(id);
  }

  replaceDispatcher(): void {
    const nowMs = this.#options.now();
    this.#core = this.#createCore();
    this.#core.beginTakeover(nowMs + TAKEOVER_ANSWER_MS);
    for (const known of this.#known.values()) {
      const { request, endpoint, generatedTokens } = known;
      if (endpoint === undefined) continue;
      const { id } = this.#options.endpoints[endpoint]!;
      this.#core.adoptGrant({ request, endpoint: id, generatedTokens }, nowMs);
    }
    for (
      const { request, arrivedMs, patienceMs, endpoint } of [
        ...this.#known.values(),
      ]
    ) {
      if (endpoint !== undefined) continue;
      const leftMs = patienceMs - (nowMs - arrivedMs);
      this.#core.submit({ ...request, patienceMs: leftMs }, nowMs);
    }
  }

  tick(): void {
    this.#core.tick(this.#options.now());
  }

  #createCore(): GroupDispatcher {
    const { endpoints, random, policy, now, listener } = this.#options;
    const core = new GroupDispatcher({
      policy,
      random,
      lengths: this.#options.createLengths(),
      nowMs: now(),
      listener: {
        onGranted: ({ id, endpoint }) => {
          const generation = toGenerationId(id);
          const index = endpoints.findIndex((other) =>
            other.id === endpoint.id
          );
          const known = this.#known.get(generation);
          if (known) known.endpoint = index;
          listener.onGranted(generation, index);
        },
        onRefused: (id, { detail }) => {
          const generation = toGenerationId(id);
          this.#known.delete(generation);
          listener.onRefused(generation, detail.startsWith("the wait"));
        },
      },
    });
    const present = endpoints.map((endpoint) => ({
      ...endpoint,
      isLeaving: false,
    }));
    core.setEndpoints(present, now());
    return core;
  }
}

/** Knows the length of each answer. */
export class OracleLengths implements LengthModel {
  readonly #lengths: ReadonlyMap<string, number>;

  /** @param lengths - Lengths by id. */
  constructor(lengths: ReadonlyMap<string, number>) {
    this.#lengths = lengths;
  }

  forecast(subject: LengthFeatures): MemoryForecast {
    const { id } = subject as GroupRequest;
    const expectedTokens = this.#lengths.get(id)!;
    return {
      expectedTokens,
      fillProfile: (baseTokens, generatedTokens, into) =>
        fillProfileFromSurvival(
          baseTokens,
          generatedTokens,
          into,
          (furtherTokens) =>
            Number(generatedTokens + furtherTokens < expectedTokens),
        ),
    };
  }

  onProgress(): void {
    // There is nothing to learn.
  }

  onEnded(): void {
    // There is nothing to learn.
  }
}

/** Reserves the longest answer that the request allows. */
export class ReserveMaxLengths implements LengthModel {
  readonly #known = new HistogramLengthModel();

  forecast(subject: LengthFeatures): MemoryForecast {
    const { expectedTokens } = this.#known.forecast(subject);
    return {
      expectedTokens,
      fillProfile: (
        baseTokens: number,
        _generated: number,
        into: MemoryProfile,
      ) => {
        into.meanTokens.fill(baseTokens + subject.maxTokens);
        into.varianceTokens.fill(0);
      },
    };
  }

  onProgress(): void {
    // What is reserved does not depend on progress.
  }

  onEnded(subject: LengthFeatures, generatedTokens: number): void {
    this.#known.onEnded(subject, generatedTokens);
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
    patienceMs: arrival.class.patienceMs,
    excludedEndpoints,
    priority: arrival.class.priority,
    starvationMs: STARVATION_MS,
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
