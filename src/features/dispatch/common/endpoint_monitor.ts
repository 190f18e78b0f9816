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
  onLeaving(endpoint: EndpointId, incarnation: string): void;
}

/** Polls each endpoint; a slow one does not hold up the others. */
export class EndpointMonitor implements Disposable {
  readonly #options: EndpointMonitorOptions;
  readonly #owned = new DisposableStore();
  readonly #pending = new Set<EndpointId>();

  /** @param options - What the monitor works with. */
  constructor(options: EndpointMonitorOptions) {
    this.#options = options;
    this.#owned.add(
      setPeriodicTimer(options.clock, POLL_PERIOD_MS, () => this.#pollAll()),
    );
    this.#pollAll();
  }

  /** Stops polling. */
  dispose(): void {
    this.#owned.dispose();
  }

  #pollAll(): void {
    for (const { endpoint } of this.#options.group.states) {
      if (!this.#pending.has(endpoint.id)) void this.#poll(endpoint);
    }
  }

  async #poll(endpoint: Endpoint): Promise<void> {
    this.#pending.add(endpoint.id);
    await this.#readLoad(endpoint);
    await this.#readCacheEvents(endpoint);
    this.#pending.delete(endpoint.id);
  }

  async #readLoad(endpoint: Endpoint): Promise<void> {
    const { engines, group, clock, onLeaving } = this.#options;
    const read = await engines.readLoad(endpoint);
    if (this.#owned.isDisposed) return;
    const nowMs = clock.monotonicMs();
    read.caseOf({
      Left: () => group.onUnreachable(endpoint.id, nowMs),
      Right: (report) => {
        group.onReport(endpoint.id, report, nowMs);
        if (report.isLeaving) onLeaving(endpoint.id, report.incarnation);
      },
    });
  }

  async #readCacheEvents(endpoint: Endpoint): Promise<void> {
    const { engines, group } = this.#options;
    const after = group.lastCacheSequence(endpoint.id);
    const read = await engines.readCacheEvents(endpoint, after);
    if (this.#owned.isDisposed) return;
    read.ifRight((page) => group.onCacheEvents(endpoint.id, page));
  }
}
