/** Dispatcher decorator that records dispatch decisions in the decision log. */

import type { RequestId } from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type {
  Dispatcher,
  Grant,
  GrantEndReason,
  GrantId,
  GrantRequest,
  Refusal,
} from "../../dispatch/common/dispatcher.ts";
import type { DecisionLog } from "./decision_log.ts";

interface GrantRecord {
  readonly requestId: RequestId;
  readonly endpoint: string;
}

/** Forwards calls to another dispatcher and records requests and outcomes. */
export class RecordingDispatcher implements Dispatcher {
  readonly #inner: Dispatcher;
  readonly #log: DecisionLog;
  readonly #openGrants = new Map<GrantId, GrantRecord>();

  /**
   * @param inner - The dispatcher that makes the decisions.
   * @param log - Log that receives the decisions.
   */
  constructor(inner: Dispatcher, log: DecisionLog) {
    this.#inner = inner;
    this.#log = log;
  }

  /** {@inheritDoc Dispatcher.acquire} */
  async acquire(
    request: GrantRequest,
    signal: AbortSignal,
  ): AsyncEither<Refusal, Grant> {
    const { requestId } = request;
    this.#log.add(requestId, {
      kind: "asked",
      service: request.service,
      workspace: request.workspace,
      className: request.className,
      sizeBytes: request.sizeBytes,
      maxTokens: request.maxTokens,
      excludedEndpoints: [...request.excludedEndpoints],
    });
    const result = await this.#inner.acquire(request, signal);
    result.caseOf({
      Left: ({ reason, detail }) =>
        this.#log.add(requestId, { kind: "refused", reason, detail }),
      Right: (grant) => this.#recordGrant(requestId, grant),
    });
    return result;
  }

  /** {@inheritDoc Dispatcher.reportProgress} */
  reportProgress(id: GrantId, generatedTokens: number): void {
    this.#inner.reportProgress(id, generatedTokens);
  }

  /** {@inheritDoc Dispatcher.release} */
  release(id: GrantId, end: GrantEndReason, generatedTokens: number): void {
    const openGrant = this.#openGrants.get(id);
    if (openGrant) {
      this.#openGrants.delete(id);
      const { requestId, endpoint } = openGrant;
      this.#log.add(requestId, {
        kind: "released",
        endpoint,
        end,
        generatedTokens,
      });
    }
    this.#inner.release(id, end, generatedTokens);
  }

  #recordGrant(requestId: RequestId, grant: Grant): void {
    const { id, endpoint, priority, waitMs } = grant;
    this.#openGrants.set(id, { requestId, endpoint: endpoint.id });
    this.#log.add(requestId, {
      kind: "granted",
      endpoint: endpoint.id,
      address: endpoint.address,
      priority,
      waitMs,
    });
  }
}
