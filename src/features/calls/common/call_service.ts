/** Plain calls: routed to an app service, run at most once where asked. */

import { assertNever } from "../../../base/common/errors.ts";
import type { RequestId, WorkspaceId } from "../../../base/common/ids.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type {
  AppClient,
  AppFailure,
  AppRequest,
  AppResponse,
} from "../../../services/endpoints/common/app_client.ts";
import type { Metrics } from "../../../services/metrics/common/metrics.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type {
  ResolvedClass,
  ResolvedRoute,
} from "../../configuration/common/configuration.ts";
import type { CallRoute } from "../../configuration/common/team_document.ts";
import { type Clock, sleep } from "../../../base/common/clock.ts";
import type {
  Dispatcher,
  Grant,
  GrantEndReason,
} from "../../dispatch/common/dispatcher.ts";
import { toRefusalFailure } from "../../dispatch/common/refusal_failure.ts";
import type {
  ClaimLedger,
  ClaimOutcome,
  HeldClaim,
  IdempotencyKey,
} from "../../ledger/common/claim_ledger.ts";
import type { RetryBudget } from "../../retries/common/retry_budget.ts";

/** A call as its caller made it. */
export interface CallRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly route: ResolvedRoute<CallRoute>;
  readonly class: ResolvedClass;
  readonly method: string;
  readonly path: string;
  readonly headers: AppRequest["headers"];
  readonly body: Uint8Array;
  readonly idempotencyKey: IdempotencyKey | undefined;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** What the service works with. */
export interface CallServices {
  readonly clock: Clock;
  readonly apps: AppClient;
  readonly dispatcher: Dispatcher;
  readonly ledger: ClaimLedger;
  readonly metrics: Metrics;
  readonly retries: RetryBudget;
  /** @returns A hash of the parts that no two different calls share. */
  fingerprint(parts: readonly (string | Uint8Array)[]): string;
}

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;

/** Runs plain calls. */
export class CallService {
  readonly #services: CallServices;
  #activeCount = 0;

  /** @param services - What the service works with. */
  constructor(services: CallServices) {
    this.#services = services;
  }

  /** Number of calls that have not ended. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /**
   * Runs a call.
   *
   * @param call - The call.
   * @returns The service's answer, or what became of the call.
   */
  async run(call: CallRequest): AsyncEither<RequestFailure, AppResponse> {
    this.#activeCount++;
    const recorder = this.#services.metrics.forRequest({
      service: call.route.service.id,
      workspace: call.workspace,
      className: call.class.name,
    });
    const result = call.idempotencyKey === undefined
      ? await this.#runWithRetries(call)
      : await this.#runWithKey(call, call.idempotencyKey);
    this.#activeCount--;
    recorder.recordEnd(
      result.caseOf({
        Left: (failure) => failure.outcome,
        Right: () => "completed",
      }),
      0,
    );
    return result;
  }

  async #runWithKey(
    call: CallRequest,
    key: IdempotencyKey,
  ): AsyncEither<RequestFailure, AppResponse> {
    const { ledger, fingerprint } = this.#services;
    const claimed = await ledger.claim({
      workspace: call.workspace,
      key,
      fingerprint: fingerprint([call.method, call.path, call.body]),
      maxRunMs: maxWaitMsOf(call) + MAX_ATTEMPTS * call.route.route.timeoutMs,
    });
    const failure = leftOf(claimed);
    if (failure) return await this.#handleClaimFailure(call, failure.claim);
    const result = rightOf(claimed)!;
    switch (result.kind) {
      case "held":
        return await this.#runClaimed(call, result.claim);
      case "done":
        return result.response
          ? Right(result.response)
          : Left(responseNotStored());
      case "unknown":
        return Left(createClaimFailure({
          outcome: "unknown",
          reason: "endpoint-lost",
          detail: "an earlier run under this key may have taken effect",
        }));
      case "in-progress":
        return Left(createClaimFailure({
          outcome: "unknown",
          reason: "key-in-progress",
          isRetryable: true,
          retryAfterMs: RETRY_AFTER_MS,
          detail:
            "a run under this key has not ended; ask again with the same key",
        }));
      case "mismatch":
        return Left(createClaimFailure({
          reason: "key-conflict",
          detail: "this key was used for another request",
        }));
      default:
        return assertNever(result);
    }
  }

  async #runClaimed(
    call: CallRequest,
    claim: HeldClaim,
  ): AsyncEither<RequestFailure, AppResponse> {
    const result = await this.#runWithRetries(call);
    this.#recordClaimOutcome(claim, toClaimOutcome(result));
    return result;
  }

  /** The claim may stand in the store all the same, so it is ended as well. */
  async #handleClaimFailure(
    call: CallRequest,
    claim: HeldClaim,
  ): AsyncEither<RequestFailure, AppResponse> {
    const { whenStoreDown } = call.route.route;
    switch (whenStoreDown) {
      case "run-unkeyed":
        return await this.#runClaimed(call, claim);
      case "refuse":
        this.#recordClaimOutcome(claim, { kind: "not-run" });
        return Left(createClaimFailure({
          reason: "store-unavailable",
          isRetryable: true,
          retryAfterMs: RETRY_AFTER_MS,
          detail: "the key could not be claimed, so the call was not run",
        }));
      default:
        return assertNever(whenStoreDown);
    }
  }

  /** The caller does not wait for it, but a planned stop of the host does. */
  #recordClaimOutcome(claim: HeldClaim, outcome: ClaimOutcome): void {
    this.#activeCount++;
    void this.#services.ledger.recordOutcome(claim, outcome).then(() => {
      this.#activeCount--;
    });
  }

  async #runWithRetries(
    call: CallRequest,
  ): AsyncEither<RequestFailure, AppResponse> {
    const excluded: Grant["endpoint"]["id"][] = [];
    const isIdempotent = call.route.route.idempotentMethods.includes(
      call.method,
    );
    let mayHaveRun = false;
    for (let attempt = 1;; attempt++) {
      const granted = await this.#acquire(call, excluded);
      const grant = rightOf(granted);
      if (!grant) {
        return granted.map(() => PLACEHOLDER_RESPONSE).mapLeft((failure) =>
          mayHaveRun ? { ...failure, outcome: "unknown" } : failure
        );
      }
      const sent = await this.#send(call, grant, isIdempotent);
      const failure = leftOf(sent);
      if (!failure) {
        this.#services.retries.recordSuccess(call.route.service.id);
        return sent.mapLeft(toCallFailure);
      }
      mayHaveRun ||= failure.kind === "unknown";
      const mayRepeat = failure.kind === "not-sent" || isIdempotent;
      const retryWaitMs = mayRepeat && attempt < MAX_ATTEMPTS
        ? this.#services.retries.tryRetry(call.route.service.id, attempt)
        : undefined;
      if (retryWaitMs === undefined) {
        return Left(toCallFailure({
          ...failure,
          kind: mayHaveRun ? "unknown" : "not-sent",
        }));
      }
      excluded.push(grant.endpoint.id);
      await sleep(this.#services.clock, retryWaitMs);
    }
  }

  async #acquire(
    call: CallRequest,
    excludedEndpoints: readonly Grant["endpoint"]["id"][],
  ): AsyncEither<RequestFailure, Grant> {
    const { clock, dispatcher } = this.#services;
    const granted = await dispatcher.acquire({
      requestId: call.requestId,
      service: call.route.service.id,
      workspace: call.workspace,
      className: call.class.name,
      prompt: "",
      maxTokens: 0,
      sizeBytes: call.body.byteLength,
      deadlineMs: clock.nowMs() + maxWaitMsOf(call),
      excludedEndpoints,
    }, call.signal);
    return granted.mapLeft(toRefusalFailure);
  }

  async #send(
    call: CallRequest,
    grant: Grant,
    isIdempotent: boolean,
  ): AsyncEither<AppFailure, AppResponse> {
    const { apps, dispatcher } = this.#services;
    const sent = await apps.send(grant.endpoint, {
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
      timeoutMs: call.route.route.timeoutMs,
      isIdempotent,
    });
    const end = sent.caseOf<GrantEndReason>({
      Left: (failure) => failure.kind === "not-sent" ? "not-run" : "failed",
      Right: () => "completed",
    });
    dispatcher.release(grant.id, end, 0);
    return sent;
  }
}

const PLACEHOLDER_RESPONSE: AppResponse = {
  status: 204,
  headers: [],
  body: new Uint8Array(),
};

function toClaimOutcome(
  result: Either<RequestFailure, AppResponse>,
): ClaimOutcome {
  return result.caseOf<ClaimOutcome>({
    Right: (response) => ({ kind: "done", response }),
    Left: (failure) =>
      failure.outcome === "not-run" ? { kind: "not-run" } : { kind: "unknown" },
  });
}

/** Longest wait for an endpoint. */
function maxWaitMsOf(call: CallRequest): number {
  return call.class.config.maxWaitMs ?? call.route.route.timeoutMs;
}

function responseNotStored(): RequestFailure {
  return createClaimFailure({
    outcome: "interrupted",
    reason: "answer-not-kept",
    detail: "the call under this key has completed; its answer was not kept",
  });
}

function toCallFailure(failure: AppFailure): RequestFailure {
  const wasNotRun = failure.kind === "not-sent";
  return {
    outcome: wasNotRun ? "not-run" : "unknown",
    reason: wasNotRun ? "endpoint-refused" : "endpoint-lost",
    isRetryable: wasNotRun,
    step: failure.step,
    peer: failure.peer,
    detail: failure.detail,
  };
}

function createClaimFailure(
  fields: Pick<RequestFailure, "reason" | "detail"> & Partial<RequestFailure>,
): RequestFailure {
  return {
    outcome: "not-run",
    isRetryable: false,
    step: "call.claim",
    peer: "",
    ...fields,
  };
}
