/** Polls the load reports and cache events of a group's engines. */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import type { EndpointId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type {
  Endpoint,
  EngineClient,
} from "../../../services/endpoints/common/engine_client.ts";
import type { GroupDispatcher } from "./group_dispatcher.ts";

const POLL_PERIOD_MS = 500;

/** Dependencies of an {@link EndpointMonitor}. */
export interface EndpointMonitorOptions {
  readonly clock: Clock;
  readonly engines: EngineClient;
  readonly group: GroupDispatcher;
  /**
   * Called when an endpoint reports that it is draining.
   *
   * @param endpoint - Identifier of the draining endpoint.
   * @param incarnation - Engine process that is draining; a later process of
   * the same endpoint is not affected.
   */
  onDraining(endpoint: EndpointId, incarnation: string): void;
}

/**
 * Polls each endpoint independently, so that a slow endpoint does not delay the
 * others.
 */
export class EndpointMonitor implements Disposable {
  readonly #options: EndpointMonitorOptions;
  readonly #disposables = new DisposableStore();
  readonly #pollsInProgress = new Set<EndpointId>();

  /** @param options - Dependencies of the monitor. */
  constructor(options: EndpointMonitorOptions) {
    this.#options = options;
    this.#disposables.add(
      runPeriodically(options.clock, POLL_PERIOD_MS, () => this.#pollAll()),
    );
    this.#pollAll();
  }

  /** Stops polling. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #pollAll(): void {
    for (const { endpoint } of this.#options.group.states) {
      if (!this.#pollsInProgress.has(endpoint.id)) void this.#poll(endpoint);
    }
  }

  async #poll(endpoint: Endpoint): Promise<void> {
    this.#pollsInProgress.add(endpoint.id);
    await this.#readLoad(endpoint);
    await this.#readCacheEvents(endpoint);
    this.#pollsInProgress.delete(endpoint.id);
  }

  async #readLoad(endpoint: Endpoint): Promise<void> {
    const { engines, group, clock, onDraining } = this.#options;
    const result = await engines.readLoad(endpoint);
    if (this.#disposables.isDisposed) return;
    const nowMs = clock.monotonicMs();
    result.caseOf({
      Left: () => group.onPollFailed(endpoint.id, nowMs),
      Right: (report) => {
        group.onLoadReport(endpoint.id, report, nowMs);
        if (report.isLeaving) onDraining(endpoint.id, report.incarnation);
      },
    });
  }

  async #readCacheEvents(endpoint: Endpoint): Promise<void> {
    const { engines, group } = this.#options;
    const after = group.lastCacheSequence(endpoint.id);
    const result = await engines.readCacheEvents(endpoint, after);
    if (this.#disposables.isDisposed) return;
    result.ifRight((page) => group.onCacheEvents(endpoint.id, page));
  }
}
