/**
 * Runs plain calls on app services. A call with an idempotency key is claimed
 * in the ledger first, so that it runs at most once.
 */

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
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";
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
import type {
  Quarantine,
  RequestIdentity,
  RunOutcome,
} from "../../quarantine/common/quarantine.ts";
import type { RetryBudget } from "../../retries/common/retry_budget.ts";

/** A plain call received from a caller. */
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
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Dependencies of the call service. */
export interface CallServices {
  readonly clock: Clock;
  readonly apps: AppClient;
  readonly dispatcher: Dispatcher;
  readonly ledger: ClaimLedger;
  readonly metrics: Metrics;
  readonly retries: RetryBudget;
  readonly quarantine: Pick<Quarantine, "quarantinedForMs" | "watchRun">;
  /** @returns A collision-resistant hash of the parts. */
  fingerprint(parts: readonly (string | Uint8Array)[]): string;
}

const MAX_ATTEMPTS = 3;
const HTTP_SERVER_ERROR = 500;
const QUARANTINED_FAILURE = {
  reason: "quarantined",
  isRetryable: false,
  step: "call.quarantine",
  peer: "",
  detail: "endpoints died while running this request",
} as const;
const RETRY_AFTER_MS = 1_000;

/** Runs plain calls with retries, and with claims if they have a key. */
export class CallService {
  readonly #services: CallServices;
  #activeCount = 0;

  /** @param services - Dependencies of the call service. */
  constructor(services: CallServices) {
    this.#services = services;
  }

  /** Number of running calls and of claim outcomes that are being recorded. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /**
   * Runs a call.
   *
   * @param call - Call to run.
   * @returns The response of the app service, or the failure of the call.
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
          detail: "an earlier run with this key may have taken effect",
        }));
      case "in-progress":
        return Left(createClaimFailure({
          outcome: "unknown",
          reason: "key-in-progress",
          isRetryable: true,
          retryAfterMs: RETRY_AFTER_MS,
          detail:
            "a run with this key is still in progress; retry with the same key",
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

  /**
   * Handles a call whose claim failed, as configured for its route. The store may
   * have recorded the claim nevertheless, so its outcome is recorded as well.
   */
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

  /**
   * Records the outcome of a claim in the background. The caller does not wait
   * for it, but a graceful shutdown does.
   */
  #recordClaimOutcome(claim: HeldClaim, outcome: ClaimOutcome): void {
    this.#activeCount++;
    void this.#services.ledger.recordOutcome(claim, outcome).then(() => {
      this.#activeCount--;
    });
  }

  async #runWithRetries(
    call: CallRequest,
  ): AsyncEither<RequestFailure, AppResponse> {
    const excludedEndpoints: Grant["endpoint"]["id"][] = [];
    const isIdempotent = call.route.route.idempotentMethods.includes(
      call.method,
    );
    const identity = this.#identityOf(call);
    let mayHaveRun = false;
    for (let attempt = 1;; attempt++) {
      const retryAfterMs = this.#services.quarantine.quarantinedForMs(identity);
      if (retryAfterMs !== undefined) {
        return Left({
          ...QUARANTINED_FAILURE,
          outcome: mayHaveRun ? "unknown" : "not-run",
          retryAfterMs,
        });
      }
      const granted = await this.#acquire(call, excludedEndpoints);
      const grant = rightOf(granted);
      if (!grant) {
        return granted.map(() => PLACEHOLDER_RESPONSE).mapLeft((failure) =>
          mayHaveRun ? { ...failure, outcome: "unknown" } : failure
        );
      }
      const sent = await this.#send(call, grant, isIdempotent, identity);
      const failure = leftOf(sent);
      if (!failure) {
        this.#services.retries.recordSuccess(call.route.service.id);
        return sent.mapLeft(toCallFailure);
      }
      mayHaveRun ||= failure.kind === "unknown";
      const mayRetry = failure.kind === "not-sent" || isIdempotent;
      const retryDelayMs = mayRetry && attempt < MAX_ATTEMPTS
        ? this.#services.retries.tryRetry(call.route.service.id, attempt)
        : undefined;
      if (retryDelayMs === undefined) {
        return Left(toCallFailure({
          ...failure,
          kind: mayHaveRun ? "unknown" : "not-sent",
        }));
      }
      excludedEndpoints.push(grant.endpoint.id);
      await sleep(this.#services.clock, retryDelayMs);
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
    identity: RequestIdentity,
  ): AsyncEither<AppFailure, AppResponse> {
    const { apps, dispatcher, quarantine } = this.#services;
    const run = quarantine.watchRun(identity, {
      service: call.route.service.id,
      endpoint: grant.endpoint.id,
    }, undefined);
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
    run.end(await this.#runOutcomeOf(sent, grant.endpoint));
    return sent;
  }

  async #runOutcomeOf(
    sent: Either<AppFailure, AppResponse>,
    endpoint: Endpoint,
  ): Promise<RunOutcome> {
    const response = rightOf(sent);
    if (response) {
      return response.status < HTTP_SERVER_ERROR ? "completed" : "other";
    }
    const { kind, isConnectionLost } = leftOf(sent)!;
    if (kind === "not-sent" || !isConnectionLost) return "other";
    const isListening = await this.#services.apps.isListening(endpoint);
    return isListening ? "other" : "endpoint-died";
  }

  #identityOf(call: CallRequest): RequestIdentity {
    const { method, path, body, workspace } = call;
    const fingerprint = this.#services.fingerprint([method, path, body]);
    return { workspace, fingerprint };
  }
}

/** Never returned; gives a failed acquisition the type of a response. */
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

/** Returns the longest time in milliseconds to wait for an endpoint. */
function maxWaitMsOf(call: CallRequest): number {
  return call.class.config.maxWaitMs ?? call.route.route.timeoutMs;
}

function responseNotStored(): RequestFailure {
  return createClaimFailure({
    outcome: "interrupted",
    reason: "answer-not-kept",
    detail:
      "the call with this key has completed, but its response was not stored",
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
