/**
 * Runs a generation that a caller starts at this daemon: acquires a grant,
 * relays the tokens, and retries on another endpoint while that is safe.
 */

import { assertNever } from "../../../base/common/errors.ts";
import type { EndpointId, GenerationId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type {
  Grant,
  GrantEndReason,
} from "../../dispatch/common/dispatcher.ts";
import { toRefusalFailure } from "../../dispatch/common/refusal_failure.ts";
import type { IsolatedGrant } from "../../quarantine/common/isolated_admission.ts";
import type {
  RequestIdentity,
  RunOutcome,
  WatchedRun,
} from "../../quarantine/common/quarantine.ts";
import type { Token } from "./frame_sequencer.ts";
import {
  type GenerationHolder,
  ResumeWindow,
} from "./generation_resume_registry.ts";
import { encodeGenerationId } from "./generation_id.ts";
import type {
  GenerationHandle,
  GenerationListener,
  GenerationRequest,
  GenerationResult,
} from "./generation_service.ts";
import type { RelayServices } from "./relay_services.ts";
import { ResumedGeneration } from "./resumed_generation.ts";
import { type RelayResult, StreamRelay } from "./stream_relay.ts";
import { TokenTimingRecorder } from "./token_timing_recorder.ts";

const MAX_ATTEMPTS = 3;

const QUARANTINED_FAILURE: RequestFailure = {
  outcome: "not-run",
  reason: "quarantined",
  isRetryable: false,
  step: "generation.admit",
  peer: "",
  detail: "endpoints died while running this request",
};

/** Attempt to run the request on one endpoint. */
interface EndpointAttempt {
  readonly grant: Grant;
  readonly id: GenerationId;
  readonly relay: StreamRelay;
  readonly registration: Disposable;
  readonly runWatch: WatchedRun;
}

/** Handles a generation from admission until its result is reported. */
export class StartedGeneration implements GenerationHandle, GenerationHolder {
  readonly #services: RelayServices;
  readonly #request: GenerationRequest;
  readonly #listener: GenerationListener;
  readonly #onDidEnd: () => void;
  readonly #timing: TokenTimingRecorder;
  readonly #abortController = new AbortController();
  readonly #excludedEndpoints: EndpointId[] = [];
  readonly #resumeWindow = new ResumeWindow();
  readonly #identity: RequestIdentity;
  #attempt: EndpointAttempt | undefined;
  #attemptCount = 0;
  /** Time in milliseconds spent waiting for grants, over all attempts. */
  #totalWaitMs = 0;
  #bufferedTokens: Token[] = [];
  #deliveredTokens = 0;
  /** Whether the caller has received the id and so can resume. */
  #isIdReported = false;
  /** Whether an endpoint may have run an earlier attempt. */
  #mayHaveRun = false;
  #isDetached = false;
  #isResumedElsewhere = false;
  #isEnded = false;
  #retryTimer: Disposable = NOOP_DISPOSABLE;

  /**
   * @param services - Dependencies of the generation feature.
   * @param request - Parameters of the generation.
   * @param listener - Receiver of the events.
   * @param onDidEnd - Called once, when the generation needs no more handling.
   */
  constructor(
    services: RelayServices,
    request: GenerationRequest,
    listener: GenerationListener,
    onDidEnd: () => void,
  ) {
    this.#services = services;
    this.#request = request;
    this.#listener = listener;
    this.#onDidEnd = onDidEnd;
    this.#timing = new TokenTimingRecorder(
      services.clock,
      services.metrics.forRequest(request),
    );
    this.#identity = {
      workspace: request.workspace,
      fingerprint: services.fingerprint([
        request.workspace,
        request.service,
        request.model,
        String(request.maxTokens),
        request.prompt,
      ]),
    };
  }

  /** Acquires a grant and starts the generation on the granted endpoint. */
  async begin(): Promise<void> {
    this.#attemptCount++;
    const retryAfterMs = this.#services.quarantine.quarantinedForMs(
      this.#identity,
    );
    if (retryAfterMs !== undefined) {
      this.#fail({ ...QUARANTINED_FAILURE, retryAfterMs });
      return;
    }
    const granted = await this.#services.admission.acquire(
      {
        ...this.#request,
        deadlineMs: this.#deadlineMs(),
        excludedEndpoints: this.#excludedEndpoints,
      },
      this.#identity.fingerprint,
      this.#abortController.signal,
    );
    granted.caseOf({
      Left: (refusal) => this.#fail(toRefusalFailure(refusal)),
      Right: (isolated) => this.#start(isolated),
    });
  }

  /** {@inheritDoc GenerationHandle.resumeReading} */
  resumeReading(): void {
    this.#attempt?.relay.resumeReading();
  }

  /**
   * Detaches the caller, which may resume within the resume window. The relay
   * continues without a receiver, so that the grant is released when the
   * generation ends, regardless of which daemon serves the caller by then.
   */
  onCallerDisconnected(): void {
    if (this.#isEnded || this.#isDetached) return;
    this.#isDetached = true;
    this.#abortController.abort();
    if (!this.#attempt) {
      this.#retryTimer.dispose();
      this.#fail(this.#createFailure("cancelled", "the caller disconnected"));
      return;
    }
    if (!this.#isIdReported) {
      this.#cancelAbandoned();
      return;
    }
    this.#attempt.relay.resumeReading();
    if (!this.#isResumedElsewhere) this.#openWindow();
  }

  /** {@inheritDoc GenerationHolder.onResumedElsewhere} */
  onResumedElsewhere(): void {
    this.#isResumedElsewhere = true;
    this.#resumeWindow.dispose();
  }

  /** {@inheritDoc GenerationHolder.onAbandonedElsewhere} */
  onAbandonedElsewhere(): void {
    this.#isResumedElsewhere = false;
    if (this.#isDetached && this.#attempt && !this.#isEnded) this.#openWindow();
  }

  /**
   * Returns the wall-clock deadline for the next grant. Only the time spent
   * waiting for grants counts, not the time that earlier attempts ran.
   */
  #deadlineMs(): number | undefined {
    const { maxWaitMs } = this.#request;
    if (maxWaitMs === undefined) return undefined;
    const remainingMs = Math.max(0, maxWaitMs - this.#totalWaitMs);
    return this.#services.clock.nowMs() + remainingMs;
  }

  #openWindow(): void {
    const { clock, resumeWindowMs } = this.#services;
    this.#resumeWindow.start(
      clock,
      resumeWindowMs,
      () => this.#cancelAbandoned(),
    );
  }

  #start({ grant, claim }: IsolatedGrant): void {
    const { engines, resumeRegistry, dispatcher, quarantine } = this.#services;
    if (this.#isEnded) {
      claim?.dispose();
      dispatcher.release(grant.id, "not-run", 0);
      return;
    }
    this.#totalWaitMs += grant.waitMs;
    this.#timing.recordQueueWait(grant.waitMs);
    const id = this.#createId(grant);
    const relay = new StreamRelay(this.#services, grant.endpoint, id, 0, {
      onAccepted: () => undefined,
      onTokens: (tokens) => this.#onTokens(tokens),
      onEnded: (result) => this.#handleRelayResult(result),
      canRestart: () => this.#canRestart(),
    });
    const runLocation = {
      service: this.#request.service,
      endpoint: grant.endpoint.id,
    };
    this.#attempt = {
      grant,
      id,
      relay,
      registration: resumeRegistry.register(id, this),
      runWatch: quarantine.watchRun(this.#identity, runLocation, claim),
    };
    const { model, prompt, maxTokens } = this.#request;
    const { priority } = grant;
    const engineRequest = { id, model, prompt, maxTokens, priority };
    relay.open((listener) =>
      engines.start(grant.endpoint, engineRequest, listener)
    );
  }

  #createId(grant: Grant): GenerationId {
    const { clock, host, signer } = this.#services;
    return encodeGenerationId({
      service: this.#request.service,
      endpoint: grant.endpoint.id,
      workspace: this.#request.workspace,
      host,
      model: this.#request.model,
      startedMs: clock.nowMs(),
      nonce: this.#services.createNonce(),
    }, signer);
  }

  #onTokens(tokens: readonly Token[]): boolean {
    if (!this.#attempt) return true;
    const { grant, relay, id, runWatch } = this.#attempt;
    runWatch.recordToken();
    this.#services.dispatcher.reportProgress(grant.id, relay.nextOffset);
    if (this.#isDetached) return true;
    this.#timing.recordTokens(tokens.length);
    if (this.#request.delivery === "whole") {
      this.#bufferedTokens.push(...tokens);
      return true;
    }
    this.#reportId(id);
    this.#deliveredTokens += tokens.length;
    return this.#listener.onTokens(tokens);
  }

  /** Reports the id once, when no restart can change it any more. */
  #reportId(id: GenerationId): void {
    if (this.#isIdReported) return;
    this.#isIdReported = true;
    this.#listener.onStarted(id);
  }

  #handleRelayResult(result: RelayResult): void {
    switch (result.kind) {
      case "finished":
        this.#handleFinished(result);
        return;
      case "not-run":
        this.#handleNotRun(result);
        return;
      case "lost":
        this.#handleLost(result);
        return;
      default:
        assertNever(result);
    }
  }

  #handleFinished({ finish }: RelayResult & { kind: "finished" }): void {
    const id = this.#attempt?.id;
    if (finish === "cancelled") {
      this.#mayHaveRun = true;
      this.#endAttempt("cancelled");
      this.#fail(
        this.#createFailure("cancelled", "the generation was cancelled"),
      );
      return;
    }
    this.#endAttempt("completed");
    this.#services.retries.recordSuccess(this.#request.service);
    if (id && !this.#isDetached) this.#deliverBufferedTokens(id);
    const tokenCount = this.#deliveredTokens;
    this.#reportResult({ kind: "completed", finish, tokenCount });
  }

  #deliverBufferedTokens(id: GenerationId): void {
    this.#reportId(id);
    if (this.#request.delivery !== "whole") return;
    this.#deliveredTokens = this.#bufferedTokens.length;
    this.#listener.onTokens(this.#bufferedTokens);
  }

  #handleNotRun(result: RelayResult & { kind: "not-run" }): void {
    const endpoint = this.#endAttempt("not-run");
    if (result.isDraining && endpoint) {
      const { service } = this.#request;
      this.#services.quarantine.recordDraining({
        service,
        endpoint: endpoint.id,
      });
    }
    this.#restartOrFail(
      this.#createFailure("endpoint-refused", result.detail, endpoint?.address),
      result.isDraining,
    );
  }

  #handleLost(result: RelayResult & { kind: "lost" }): void {
    this.#mayHaveRun = true;
    const id = this.#attempt?.id;
    const endpoint = this.#endAttempt(
      "failed",
      result.endpoint === "dead" ? "endpoint-died" : "other",
    );
    if (id && endpoint && result.endpoint !== "dead") {
      this.#cancelOrKeepForResume(endpoint, id);
    }
    this.#restartOrFail(
      this.#createFailure("endpoint-lost", result.detail, endpoint?.address),
    );
  }

  /**
   * Cancels the generation if the caller has no id to resume it with. Otherwise
   * keeps it for the resume window, since the caller may resume it through
   * another daemon that can still reach the endpoint.
   */
  #cancelOrKeepForResume(endpoint: Endpoint, id: GenerationId): void {
    if (!this.#isIdReported) void this.#services.engines.cancel(endpoint, id);
    else if (!this.#isResumedElsewhere) {
      new ResumedGeneration(this.#services, endpoint, id)
        .onCallerDisconnected();
    }
  }

  /** Retries the request if the caller has not received any of its tokens. */
  #restartOrFail(failure: RequestFailure, isDraining = false): void {
    const { clock } = this.#services;
    const retryDelayMs = this.#canRestart()
      ? this.#retryDelayMs(isDraining)
      : undefined;
    if (retryDelayMs === undefined) {
      this.#fail(failure);
      return;
    }
    this.#bufferedTokens = [];
    this.#retryTimer = clock.setTimer(retryDelayMs, () => void this.begin());
  }

  /**
   * Returns the delay before the next attempt, or `undefined` if the retry
   * budget is exhausted. An orderly drain does not use up the budget.
   */
  #retryDelayMs(isDraining: boolean): number | undefined {
    const { retries } = this.#services;
    return isDraining
      ? retries.backoffMs(this.#attemptCount)
      : retries.tryRetry(this.#request.service, this.#attemptCount);
  }

  #canRestart(): boolean {
    return !this.#isIdReported && !this.#isDetached &&
      this.#attemptCount < MAX_ATTEMPTS;
  }

  #createFailure(
    reason: RequestFailure["reason"],
    detail: string,
    peer = "",
  ): RequestFailure {
    return {
      outcome: "not-run",
      reason,
      isRetryable: true,
      step: "generation.stream",
      peer,
      detail,
    };
  }

  /** Reports a failure, as `not-run` only if no attempt may have run. */
  #fail(failure: RequestFailure): void {
    const outcome = this.#mayHaveRun ? "interrupted" : failure.outcome;
    this.#reportResult({
      kind: "failed",
      failure: { ...failure, outcome },
      deliveredTokens: this.#deliveredTokens,
    });
  }

  #reportResult(result: GenerationResult): void {
    if (this.#isEnded) return;
    const outcome = result.kind === "completed"
      ? "completed"
      : result.failure.outcome;
    this.#timing.recordEnd(
      this.#isDetached ? "interrupted" : outcome,
      this.#deliveredTokens,
    );
    if (!this.#isDetached) this.#listener.onEnded(result);
    this.#finish();
  }

  #cancelAbandoned(): void {
    if (this.#isEnded || !this.#attempt) return;
    const { grant, id } = this.#attempt;
    void this.#services.engines.cancel(grant.endpoint, id);
    this.#endAttempt("cancelled");
    this.#timing.recordEnd("interrupted", this.#deliveredTokens);
    this.#finish();
  }

  /** Ends the current attempt, if there is one, and releases its grant. */
  #endAttempt(
    end: GrantEndReason,
    runEnd: RunOutcome = end === "completed" ? "completed" : "other",
  ): Endpoint | undefined {
    if (!this.#attempt) return undefined;
    const { grant, relay, registration, runWatch } = this.#attempt;
    this.#attempt = undefined;
    runWatch.end(runEnd);
    registration.dispose();
    relay.dispose();
    this.#services.dispatcher.release(grant.id, end, relay.nextOffset);
    if (end !== "completed") this.#excludedEndpoints.push(grant.endpoint.id);
    return grant.endpoint;
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#resumeWindow.dispose();
    this.#onDidEnd();
  }
}
