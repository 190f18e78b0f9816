/** Counts preemptions from the load reports of engines. */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Address, ServiceId } from "../../../base/common/ids.ts";
import type {
  Endpoint,
  LoadReport,
} from "../../endpoints/common/engine_client.ts";
import type { Metrics } from "./metrics.ts";

const MAX_ENDPOINTS = 4_096;

/** Engines report a sum since their start; this counts what was added. */
export class PreemptionCounter {
  readonly #metrics: Metrics;
  readonly #findService: (endpoint: Endpoint) => ServiceId | undefined;
  readonly #lastTotals = new BoundedMap<Address, number>(MAX_ENDPOINTS);

  /**
   * @param metrics - Where preemptions are counted.
   * @param findService - Finds the service of an engine.
   */
  constructor(
    metrics: Metrics,
    findService: (endpoint: Endpoint) => ServiceId | undefined,
  ) {
    this.#metrics = metrics;
    this.#findService = findService;
  }

  /**
   * @param endpoint - The engine.
   * @param report - What it reported; the first one only sets the start.
   */
  record(endpoint: Endpoint, { preemptions }: LoadReport): void {
    const lastTotal = this.#lastTotals.get(endpoint.address);
    this.#lastTotals.set(endpoint.address, preemptions);
    if (lastTotal === undefined || preemptions === lastTotal) return;
    // An engine that was started again counts from 0.
    const added = preemptions > lastTotal
      ? preemptions - lastTotal
      : preemptions;
    const service = this.#findService(endpoint);
    if (added > 0 && service) this.#metrics.countPreemptions(service, added);
  }
}
