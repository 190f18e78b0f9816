/** Reads the load and the cache events of a group's engines again and again. */

import { type Clock, setPeriodicTimer } from "../../../base/common/clock.ts";
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

/** What a monitor works with. */
export interface EndpointMonitorOptions {
  readonly clock: Clock;
  readonly engines: EngineClient;
  readonly group: GroupDispatcher;
  /**
   * @param endpoint - Said in a report that it is leaving.
   * @param incarnation - Its process, which alone leaves.
   */
  onDraining(endpoint: EndpointId, incarnation: string): void;
}

/** Polls each endpoint; a slow one does not hold up the others. */
export class EndpointMonitor implements Disposable {
  readonly #options: EndpointMonitorOptions;
  readonly #disposables = new DisposableStore();
  readonly #pollsInProgress = new Set<EndpointId>();

  /** @param options - What the monitor works with. */
  constructor(options: EndpointMonitorOptions) {
    this.#options = options;
    this.#disposables.add(
      setPeriodicTimer(options.clock, POLL_PERIOD_MS, () => this.#pollAll()),
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
    const { engines, group, clock, onDraining: onLeaving } = this.#options;
    const read = await engines.readLoad(endpoint);
    if (this.#disposables.isDisposed) return;
    const nowMs = clock.monotonicMs();
    read.caseOf({
      Left: () => group.onPollFailed(endpoint.id, nowMs),
      Right: (report) => {
        group.onLoadReport(endpoint.id, report, nowMs);
        if (report.isLeaving) onLeaving(endpoint.id, report.incarnation);
      },
    });
  }

  async #readCacheEvents(endpoint: Endpoint): Promise<void> {
    const { engines, group } = this.#options;
    const after = group.lastCacheSequence(endpoint.id);
    const read = await engines.readCacheEvents(endpoint, after);
    if (this.#disposables.isDisposed) return;
    read.ifRight((page) => group.onCacheEvents(endpoint.id, page));
  }
}
