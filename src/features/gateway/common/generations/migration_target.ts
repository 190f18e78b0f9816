/**
 * Chooses the engine to which a running generation is moved, and claims its
 * memory there before the copy starts. When an engine leaves, many hosts move
 * its runs at the same moment. Without a claim they choose the same engine,
 * which then preempts generations and prefills their prompts again.
 */

import type { EndpointId } from "../../../../base/common/ids.ts";
import { toDisposable } from "../../../../base/common/lifecycle.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { EndpointCriteria } from "../placement/endpoint_chooser.ts";
import { MIGRATION_PRIORITY } from "../placement/placement_queue.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { GenerationMemoryEstimate } from "./generation_memory_estimate.ts";
import type { MigrationTarget } from "../requests/run_migrator.ts";

/**
 * Longest wait for an engine with room. Engines announce their shutdown 1.5 to
 * 2.1 s ahead, and a copy takes up to half a second.
 */
const MAX_WAIT_MS = 400;
/**
 * Time for which the memory stays claimed after the copy is complete, until the
 * continuation claims it.
 */
const CLAIM_OVERLAP_MS = 60;

/** Chooses the targets of one generation. */
export class MigrationTargets {
  readonly #context: RequestContext;
  readonly #criteria: EndpointCriteria;
  readonly #memory: GenerationMemoryEstimate;

  /**
   * @param context - State of the request.
   * @param criteria - Requirements of the generation.
   * @param memory - Memory that it uses.
   */
  constructor(
    context: RequestContext,
    criteria: EndpointCriteria,
    memory: GenerationMemoryEstimate,
  ) {
    this.#context = context;
    this.#criteria = criteria;
    this.#memory = memory;
  }

  /**
   * Chooses a target and claims its memory. While generations wait for room,
   * the daemon that places for the zone decides; otherwise this one.
   *
   * @param softwareVersion - Version that the target must have.
   * @param excluded - Endpoints that were tried.
   * @returns The target, or `undefined` if there is none.
   */
  reserve(
    softwareVersion: string,
    excluded: ReadonlySet<EndpointId>,
  ): MigrationTarget | undefined | Promise<MigrationTarget | undefined> {
    const memoryTokens = this.#memory.reservedTokens;
    const criteria: EndpointCriteria = {
      ...this.#criteria,
      memoryTokens,
      excluded,
      softwareVersion,
    };
    if (!this.#isShortOfRoom(criteria)) {
      return this.#claim(this.#choose(criteria), memoryTokens);
    }
    return this.#requestPlacement(criteria).then((endpoint) =>
      this.#claim(endpoint ?? this.#choose(criteria), memoryTokens)
    );
  }

  #choose(criteria: EndpointCriteria): RegisteredEndpoint | undefined {
    const { services, request } = this.#context;
    return services.chooser.choose(criteria, request.service)?.endpoint;
  }

  /** Whether generations wait, or no engine has room for this one. */
  #isShortOfRoom(criteria: EndpointCriteria): boolean {
    const { services, request } = this.#context;
    if (services.placer.length > 0) return true;
    const { kind } = services.chooser.chooseWithCapacity(
      criteria,
      request.service,
    );
    return kind === "full";
  }

  #requestPlacement(
    criteria: EndpointCriteria,
  ): Promise<RegisteredEndpoint | undefined> {
    const { disposables, request, services } = this.#context;
    const nowMs = services.clock.monotonicMs();
    return new Promise((resolve) => {
      const placement = services.placer.add({
        criteria,
        wantsBackup: false,
        // The copy holds what the prompt would have to be prefilled for.
        pendingPrefillTokens: 0,
        service: request.service,
        priority: MIGRATION_PRIORITY,
        queuedMs: nowMs,
        // The run must not count as overdue, which would put it last.
        firstEventDueMs: Infinity,
        latestStartMs: nowMs + MAX_WAIT_MS,
        onPlaced: ({ endpoint }) => resolve(endpoint),
        onRejected: () => resolve(undefined),
      });
      disposables.add(placement);
      disposables.add({ dispose: () => resolve(undefined) });
    });
  }

  #claim(
    endpoint: RegisteredEndpoint | undefined,
    memoryTokens: number,
  ): MigrationTarget | undefined {
    if (!endpoint) return undefined;
    const { clock, loadTable } = this.#context.services;
    const claim = loadTable.claim(endpoint.id, memoryTokens, 0);
    return {
      endpoint,
      claim: toDisposable(() => {
        clock.setTimer(CLAIM_OVERLAP_MS, () => claim.dispose());
      }),
    };
  }
}
