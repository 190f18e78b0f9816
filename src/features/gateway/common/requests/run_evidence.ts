/** What is known of the runs of one request: its sends, and what became of them. */

import type { HostId, RequestId } from "../../../../base/common/ids.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import { type AnswerVerdict, judgeAnswer } from "../protocol/answer_verdict.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { ResponseFields } from "../protocol/gateway_codec.ts";

/** Connection on which an answer came. */
export interface AnswerOrigin {
  /**
   * Number of requests that the connection had carried before; `undefined` if a
   * peer owns it.
   */
  readonly carriedCount: number | undefined;
  /** Peer that was asked last to pass the request on, if any was. */
  readonly peer: HostId | undefined;
}

/**
 * Counts the sends of a request and the proofs that they did not lead to a run.
 * Each send may have led to one until it is proved that it did not: by the peer
 * that sent nothing, or by the endpoint that refused the request.
 */
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

  /** Whether some endpoint may have run the request, or may still run it. */
  get mayHaveRun(): boolean {
    return this.sentCount > this.#refusedCount;
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

  /** Number of endpoints that proved that they have not run the request. */
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

  /**
   * Records the head of the answer to one of the sends, and logs refusals and
   * answers that prove nothing. Each send has at most one proof: a peer that sent
   * nothing passes no answer on, and no connection carries the request twice, on
   * which the copy of an earlier answer could come. So two sends in progress at
   * the same time may be counted.
   *
   * @param endpoint - The endpoint that was sent the request.
   * @param status - Status of the answer.
   * @param fields - What its headers say.
   * @param origin - The connection on which it came.
   * @returns What the answer proves.
   */
  recordAnswer(
    { announcement, id }: RegisteredEndpoint,
    status: number,
    fields: ResponseFields,
    { carriedCount, peer }: AnswerOrigin,
  ): AnswerVerdict {
    const verdict = judgeAnswer(this.#request, status, fields);
    switch (verdict) {
      case "refused":
      case "invalid":
        this.#refusedCount++;
        this.#logger.log("info", "send-refused", {
          request: this.#request,
          endpoint: id,
          address: announcement.address,
          status,
          send: this.sentCount,
          carriedBefore: carriedCount,
          via: carriedCount === undefined ? peer : undefined,
        });
        break;
      case "foreign":
      case "unproven":
        this.#logger.log("warn", "answer-unproven", {
          request: this.#request,
          endpoint: id,
          status,
          statesNotRun: fields.isNotRun,
          names: fields.requestId ?? "none",
        });
        break;
      case "answered":
    }
    return verdict;
  }
}
