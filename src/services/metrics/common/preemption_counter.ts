/** Counts the preemptions that engines report with their load. */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Address, ServiceId } from "../../../base/common/ids.ts";
import type {
  Endpoint,
  LoadReport,
} from "../../endpoints/common/engine_client.ts";
import type { Metrics } from "./metrics.ts";

const MAX_ENDPOINTS = 4_096;

/** Converts the totals since engine start in load reports to increments. */
export class PreemptionCounter {
  readonly #metrics: Metrics;
  readonly #findService: (endpoint: Endpoint) => ServiceId | undefined;
  readonly #lastTotals = new BoundedMap<Address, number>(MAX_ENDPOINTS);

  /**
   * @param metrics - Metrics to which preemptions are added.
   * @param findService - Returns the service of an engine, if any.
   */
  constructor(
    metrics: Metrics,
    findService: (endpoint: Endpoint) => ServiceId | undefined,
  ) {
    this.#metrics = metrics;
    this.#findService = findService;
  }

  /**
   * @param endpoint - Engine that sent the report.
   * @param report - Load report. The first one of an engine is the baseline.
   */
  record(endpoint: Endpoint, { preemptions }: LoadReport): void {
    const lastTotal = this.#lastTotals.get(endpoint.address);
    this.#lastTotals.set(endpoint.address, preemptions);
    if (lastTotal === undefined || preemptions === lastTotal) return;
    // The total of a restarted engine starts from 0.
    const added = preemptions > lastTotal
      ? preemptions - lastTotal
      : preemptions;
    const service = this.#findService(endpoint);
    if (added > 0 && service) this.#metrics.countPreemptions(service, added);
  }
}
