/** A generation that this daemon starts for a caller. */

import { assertNever } from "../../../base/common/errors.ts";
import {
  asId,
  type EndpointId,
  type GenerationId,
} from "../../../base/common/ids.ts";
import type { RequestRecorder } from "../../../platform/metrics/common/metrics.ts";
import type { Failure } from "../../../platform/outcomes/common/failure.ts";
import type { Grant, GrantEnd } from "../../dispatch/common/dispatcher.ts";
import { toRefusalFailure } from "../../dispatch/common/refusal_failure.ts";
import type { Token } from "./frame_sequencer.ts";
import { encodeGenerationId } from "./generation_id.ts";
import type {
  GenerationCaller,
  GenerationEnd,
  GenerationHandle,
  GenerationRequest,
} from "./generation_service.ts";
import type { RelayServices } from "./relay_services.ts";
import { type RelayEnd, StreamRelay } from "./stream_relay.ts";

const MAX_ATTEMPTS = 3;
/** A gap between tokens above this counts as a stall. */
const STALL_LIMIT_MS = 500;

/** Takes a generation from its grant to its end. */
export class StartedGeneration implements GenerationHandle {
  readonly #services: RelayServices;
  readonly #request: GenerationRequest;
  readonly #caller: GenerationCaller;
  readonly #onDidEnd: () => void;
  readonly #recorder: RequestRecorder;
  readonly #abort = new AbortController();
  readonly #excluded: EndpointId[] = [];
  readonly #startedMs: number;
  #grant: Grant | undefined;
  #relay: StreamRelay | undefined;
  #id: GenerationId | undefined;
  #attempts = 0;
  #whole: Token[] = [];
  #deliveredTokens = 0;
  #lastTokenMs: number | undefined;
  /** Whether an endpoint may have run an earlier attempt. */
  #mayHaveRun = false;
  #isCallerGone = false;
  #isEnded = false;

  /**
   * @param services - Services of the feature.
   * @param request - What the caller asked for.
   * @param caller - Receiver.
   * @param onDidEnd - Called once, when nothing is left to do.
   */
  constructor(
    services: RelayServices,
    request: GenerationRequest,
    caller: GenerationCaller,
    onDidEnd: () => void,
  ) {
    this.#services = services;
    this.#request = request;
    this.#caller = caller;
    this.#onDidEnd = onDidEnd;
    this.#startedMs = services.clock.monotonicMs();
    this.#recorder = services.metrics.forRequest(request);
  }

  /** Asks for a grant and starts the generation with it. */
  async begin(): Promise<void> {
    this.#attempts++;
    const { dispatcher, clock } = this.#services;
    const { maxWaitMs } = this.#request;
    const deadlineMs = maxWaitMs === undefined
      ? undefined
      : clock.nowMs() + maxWaitMs;
    const granted = await dispatcher.acquire({
      ...this.#request,
      deadlineMs,
      excludedEndpoints: this.#excluded,
    }, this.#abort.signal);
    granted.caseOf({
      Left: (refusal) => this.#fail(toRefusalFailure(refusal)),
      Right: (grant) => this.#run(grant),
    });
  }

  /** {@inheritDoc GenerationHandle.resumeReading} */
  resumeReading(): void {
    this.#relay?.resumeReading();
  }

  /** {@inheritDoc GenerationHandle.callerGone} */
  callerGone(): void {
    if (this.#isEnded || this.#isCallerGone) return;
    this.#isCallerGone = true;
    this.#abort.abort();
    if (!this.#grant) return;
    this.#relay?.dispose();
    const { clock, resumeWindowMs } = this.#services;
    clock.setTimer(resumeWindowMs, () => this.#cancelAbandoned());
  }

  #run(grant: Grant): void {
    const { engines, clock, host, signer } = this.#services;
    if (this.#isCallerGone) {
      this.#services.dispatcher.release(grant.id, "not-run", 0);
      this.#finish();
      return;
    }
    this.#grant = grant;
    this.#recorder.recordQueueWait(grant.waitMs);
    const id = encodeGenerationId({
      service: this.#request.service,
      endpoint: grant.endpoint.id,
      workspace: this.#request.workspace,
      host,
      model: this.#request.model,
      startedMs: clock.nowMs(),
      nonce: this.#services.createNonce(),
    }, signer);
    this.#id = id;
    const { model, prompt, maxTokens } = this.#request;
    const engineRequest = {
      id,
      model,
      prompt,
      maxTokens,
      priority: grant.priority,
    };
    this.#relay = new StreamRelay(this.#services, grant.endpoint, id, 0, {
      onAccepted: () => this.#caller.onStarted(id),
      onTokens: (tokens) => this.#onTokens(tokens),
      onEnded: (end) => this.#onRelayEnded(end),
    });
    this.#relay.open((listener) =>
      engines.start(grant.endpoint, engineRequest, listener)
    );
  }

  #onTokens(tokens: readonly Token[]): boolean {
    this.#measure(tokens.length);
    const { dispatcher } = this.#services;
    if (this.#grant) {
      dispatcher.reportProgress(this.#grant.id, this.#relay?.nextOffset ?? 0);
    }
    if (this.#request.delivery === "whole") {
      this.#whole.push(...tokens);
      return true;
    }
    this.#deliveredTokens += tokens.length;
    return this.#caller.onTokens(tokens);
  }

  #measure(tokenCount: number): void {
    const nowMs = this.#services.clock.monotonicMs();
    if (this.#lastTokenMs === undefined) {
      this.#recorder.recordFirstToken(nowMs - this.#startedMs);
    } else {
      const gapMs = nowMs - this.#lastTokenMs;
      this.#recorder.recordTokenGap(gapMs / tokenCount);
      if (gapMs > STALL_LIMIT_MS) {
        this.#recorder.recordStall(gapMs - STALL_LIMIT_MS);
      }
    }
    this.#lastTokenMs = nowMs;
  }

  #onRelayEnded(end: RelayEnd): void {
    switch (end.kind) {
      case "finished":
        this.#releaseGrant("completed");
        this.#complete(end);
        return;
      case "not-run":
        this.#releaseGrant("not-run");
        this.#restartOrFail(end.detail, "not-run");
        return;
      case "lost":
        this.#mayHaveRun = true;
        this.#releaseGrant("failed");
        this.#restartOrFail(end.detail, "interrupted");
        return;
      default:
        assertNever(end);
    }
  }

  #complete(end: RelayEnd & { kind: "finished" }): void {
    this.#services.retries.recordSuccess(this.#request.service);
    if (this.#request.delivery === "whole") {
      this.#deliveredTokens = this.#whole.length;
      this.#caller.onTokens(this.#whole);
    }
    this.#deliverEnd({
      kind: "completed",
      finish: end.finish,
      tokenCount: this.#deliveredTokens,
    });
  }

  /** A restart is allowed only while the caller has no token of this run. */
  #restartOrFail(detail: string, outcome: "not-run" | "interrupted"): void {
    const endpoint = this.#grant?.endpoint;
    if (endpoint) this.#excluded.push(endpoint.id);
    this.#grant = undefined;
    const { clock, retries } = this.#services;
    const retryWaitMs = this.#mayRestart()
      ? retries.tryRetry(this.#request.service, this.#attempts)
      : undefined;
    if (retryWaitMs !== undefined) {
      this.#whole = [];
      clock.setTimer(retryWaitMs, () => void this.begin());
      return;
    }
    this.#fail({
      outcome,
      reason: outcome === "not-run" ? "endpoint-refused" : "endpoint-lost",
      isRetryable: true,
      step: "generation.stream",
      peer: endpoint?.address ?? "",
      detail,
    });
  }

  #mayRestart(): boolean {
    return this.#deliveredTokens === 0 && !this.#isCallerGone &&
      this.#attempts < MAX_ATTEMPTS;
  }

  #fail(failure: Failure): void {
    const outcome = this.#mayHaveRun ? "interrupted" : failure.outcome;
    this.#deliverEnd({
      kind: "failed",
      failure: { ...failure, outcome },
      deliveredTokens: this.#deliveredTokens,
    });
  }

  #deliverEnd(end: GenerationEnd): void {
    const outcome = end.kind === "completed"
      ? "completed"
      : end.failure.outcome;
    this.#recorder.recordEnd(outcome, this.#deliveredTokens);
    if (!this.#isCallerGone) this.#caller.onEnded(end);
    this.#finish();
  }

  #cancelAbandoned(): void {
    if (this.#isEnded || !this.#grant || !this.#id) return;
    const { engines } = this.#services;
    void engines.cancel(this.#grant.endpoint, asId<GenerationId>(this.#id));
    this.#releaseGrant("cancelled");
    this.#recorder.recordEnd("interrupted", this.#deliveredTokens);
    this.#finish();
  }

  #releaseGrant(end: GrantEnd): void {
    if (!this.#grant) return;
    const generated = this.#relay?.nextOffset ?? 0;
    this.#services.dispatcher.release(this.#grant.id, end, generated);
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#onDidEnd();
  }
}
