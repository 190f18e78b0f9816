/** What is known of the runs of one request: its sends, and what became of them. */

import type { RequestId } from "../../../base/common/ids.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { ResponseFields } from "./gateway_codec.ts";

/** Statuses that tell a caller that its request has not run and never will. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Sends of one request and the statements about them. */
export class RunEvidence {
  readonly #request: RequestId;
  readonly #logger: Logger;
  #sentCount = 0;
  #unsentCount = 0;
  #refusedCount = 0;

  /**
   * @param request - Id of the request.
   * @param logger - Log of answers that prove nothing.
   */
  constructor(request: RequestId, logger: Logger) {
    this.#request = request;
    this.#logger = logger;
  }

  /**
   * Number of times that the request was written to an endpoint, or to a peer
   * that has not proved that it sent nothing.
   */
  get sentCount(): number {
    return this.#sentCount - this.#unsentCount;
  }

  /** Number of peers that proved that they have not sent the request. */
  get unsentCount(): number {
    return this.#unsentCount;
  }

  /** Number of endpoints that stated that they have not run the request. */
  get refusedCount(): number {
    return this.#refusedCount;
  }

  /** Records that the request is about to be written to a connection. */
  recordSent(): void {
    this.#sentCount++;
  }

  /** Records the proof of a peer that it has not sent the request. */
  recordUnsent(): void {
    this.#unsentCount++;
  }

  /** Records the head of an answer, and logs a refusal without proof. */
  recordAnswer(
    { id }: RegisteredEndpoint,
    status: number,
    { isNotRun, requestId }: ResponseFields,
  ): void {
    if (isNotRun) this.#refusedCount++;
    const isNamed = requestId === this.#request;
    if (isNotRun ? isNamed : !PROMISING_STATUSES.has(status)) return;
    this.#logger.log("warn", "answer-unproven", {
      request: this.#request,
      endpoint: id,
      status,
      statesNotRun: isNotRun,
      names: requestId ?? "none",
    });
  }
}
