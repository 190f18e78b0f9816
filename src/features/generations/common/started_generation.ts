/** A generation that this daemon starts for a caller. */

import { assertNever } from "../../../base/common/errors.ts";
import type { EndpointId, GenerationId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type { Grant, GrantEnd } from "../../dispatch/common/dispatcher.ts";
import { toRefusalFailure } from "../../dispatch/common/refusal_failure.ts";
import type { IsolatedGrant } from "../../quarantine/common/isolated_admission.ts";
import type {
  RequestIdentity,
  RunEnd,
  WatchedRun,
} from "../../quarantine/common/quarantine.ts";
import type { Token } from "./frame_sequencer.ts";
import { type Follower, ResumeWindow } from "./generation_followers.ts";
import { encodeGenerationId } from "./generation_id.ts";
import type {
  GenerationCaller,
  GenerationEnd,
  GenerationHandle,
  GenerationRequest,
} from "./generation_service.ts";
import type { RelayServices } from "./relay_services.ts";
import { ResumedGeneration } from "./resumed_generation.ts";
import { type RelayEnd, StreamRelay } from "./stream_relay.ts";
import { TokenTimes } from "./token_times.ts";

const MAX_ATTEMPTS = 3;

const QUARANTINED: RequestFailure = {
  outcome: "not-run",
  reason: "quarantined",
  isRetryable: false,
  step: "generation.admit",
  peer: "",
  detail: "endpoints have died while they ran this request",
};

/** Use of one endpoint for the request. */
interface Run {
  readonly grant: Grant;
  readonly id: GenerationId;
  readonly relay: StreamRelay;
  readonly registration: Disposable;
  readonly watched: WatchedRun;
}

/** Takes a generation from its grant to its end. */
export class StartedGeneration implements GenerationHandle, Follower {
  readonly #services: RelayServices;
  readonly #request: GenerationRequest;
  readonly #caller: GenerationCaller;
  readonly #onDidEnd: () => void;
  readonly #times: TokenTimes;
  readonly #abort = new AbortController();
  readonly #excluded: EndpointId[] = [];
  readonly #window = new ResumeWindow();
  readonly #identity: RequestIdentity;
  #run: Run | undefined;
  #attempts = 0;
  /** Time spent waiting for endpoints, in all attempts. */
  #waitedMs = 0;
  #whole: Token[] = [];
  #deliveredTokens = 0;
  /** Whether the caller has the id, so that it can resume. */
  #isAnnounced = false;
  /** Whether an endpoint may have run an earlier attempt. */
  #mayHaveRun = false;
  #isCallerGone = false;
  #isTakenElsewhere = false;
  #isEnded = false;
  #retryTimer: Disposable = NOOP_DISPOSABLE;

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
    this.#times = new TokenTimes(
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

  /** Asks for a grant and starts the generation with it. */
  async begin(): Promise<void> {
    this.#attempts++;
    const retryAfterMs = this.#services.quarantine.quarantinedForMs(
      this.#identity,
    );
    if (retryAfterMs !== undefined) {
      this.#fail({ ...QUARANTINED, retryAfterMs });
      return;
    }
    const granted = await this.#services.admission.acquire(
      {
        ...this.#request,
        deadlineMs: this.#deadlineMs(),
        excludedEndpoints: this.#excluded,
      },
      this.#identity.fingerprint,
      this.#abort.signal,
    );
    granted.caseOf({
      Left: (refusal) => this.#fail(toRefusalFailure(refusal)),
      Right: (isolated) => this.#start(isolated),
    });
  }

  /** {@inheritDoc GenerationHandle.resumeReading} */
  resumeReading(): void {
    this.#run?.relay.resumeReading();
  }

  /**
   * The caller went away; it may resume within the resume window. The relay
   * goes on without a receiver, so that the grant is given back when the
   * generation ends, whoever follows it then.
   */
  callerGone(): void {
    if (this.#isEnded || this.#isCallerGone) return;
    this.#isCallerGone = true;
    this.#abort.abort();
    if (!this.#run) {
      this.#retryTimer.dispose();
      this.#fail(this.#createFailure("cancelled", "the caller went away"));
      return;
    }
    if (!this.#isAnnounced) {
      this.#cancelAbandoned();
      return;
    }
    this.#run.relay.resumeReading();
    if (!this.#isTakenElsewhere) this.#startWindow();
  }

  /** {@inheritDoc Follower.onTakenElsewhere} */
  onTakenElsewhere(): void {
    this.#isTakenElsewhere = true;
    this.#window.dispose();
  }

  /** {@inheritDoc Follower.onGivenUpElsewhere} */
  onGivenUpElsewhere(): void {
    this.#isTakenElsewhere = false;
    if (this.#isCallerGone && this.#run && !this.#isEnded) this.#startWindow();
  }

  /** The time that attempts ran does not count as a wait. */
  #deadlineMs(): number | undefined {
    const { maxWaitMs } = this.#request;
    if (maxWaitMs === undefined) return undefined;
    const leftMs = Math.max(0, maxWaitMs - this.#waitedMs);
    return this.#services.clock.nowMs() + leftMs;
  }

  #startWindow(): void {
    const { clock, resumeWindowMs } = this.#services;
    this.#window.start(clock, resumeWindowMs, () => this.#cancelAbandoned());
  }

  #start({ grant, claim }: IsolatedGrant): void {
    const { engines, followers, dispatcher, quarantine } = this.#services;
    if (this.#isEnded) {
      claim?.dispose();
      dispatcher.release(grant.id, "not-run", 0);
      return;
    }
    this.#waitedMs += grant.waitMs;
    this.#times.recordQueueWait(grant.waitMs);
    const id = this.#createId(grant);
    const relay = new StreamRelay(this.#services, grant.endpoint, id, 0, {
      onAccepted: () => undefined,
      onTokens: (tokens) => this.#onTokens(tokens),
      onEnded: (end) => this.#onRelayEnded(end),
      mayRestart: () => this.#mayRestart(),
    });
    const place = {
      service: this.#request.service,
      endpoint: grant.endpoint.id,
    };
    this.#run = {
      grant,
      id,
      relay,
      registration: followers.add(id, this),
      watched: quarantine.watchRun(this.#identity, place, claim),
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
    if (!this.#run) return true;
    const { grant, relay, id, watched } = this.#run;
    watched.recordToken();
    this.#services.dispatcher.reportProgress(grant.id, relay.nextOffset);
    if (this.#isCallerGone) return true;
    this.#times.recordTokens(tokens.length);
    if (this.#request.delivery === "whole") {
      this.#whole.push(...tokens);
      return true;
    }
    this.#announce(id);
    this.#deliveredTokens += tokens.length;
    return this.#caller.onTokens(tokens);
  }

  /** The id is final with the first token; before, a restart changes it. */
  #announce(id: GenerationId): void {
    if (this.#isAnnounced) return;
    this.#isAnnounced = true;
    this.#caller.onStarted(id);
  }

  #onRelayEnded(end: RelayEnd): void {
    switch (end.kind) {
      case "finished":
        this.#onFinished(end);
        return;
      case "not-run":
        this.#onNotRun(end);
        return;
      case "lost":
        this.#onLost(end);
        return;
      default:
        assertNever(end);
    }
  }

  #onFinished({ finish }: RelayEnd & { kind: "finished" }): void {
    const id = this.#run?.id;
    if (finish === "cancelled") {
      this.#mayHaveRun = true;
      this.#endRun("cancelled");
      this.#fail(this.#createFailure("cancelled", "it was cancelled"));
      return;
    }
    this.#endRun("completed");
    this.#services.retries.recordSuccess(this.#request.service);
    if (id && !this.#isCallerGone) this.#deliverRest(id);
    const tokenCount = this.#deliveredTokens;
    this.#deliverEnd({ kind: "completed", finish, tokenCount });
  }

  #deliverRest(id: GenerationId): void {
    this.#announce(id);
    if (this.#request.delivery !== "whole") return;
    this.#deliveredTokens = this.#whole.length;
    this.#caller.onTokens(this.#whole);
  }

  #onNotRun(end: RelayEnd & { kind: "not-run" }): void {
    const endpoint = this.#endRun("not-run");
    if (end.isLeaving && endpoint) {
      const { service } = this.#request;
      this.#services.quarantine.noteLeaving({ service, endpoint: endpoint.id });
    }
    this.#restartOrFail(
      this.#createFailure("endpoint-refused", end.detail, endpoint?.address),
      end.isLeaving,
    );
  }

  #onLost(end: RelayEnd & { kind: "lost" }): void {
    this.#mayHaveRun = true;
    const id = this.#run?.id;
    const endpoint = this.#endRun(
      "failed",
      end.endpoint === "dead" ? "endpoint-died" : "other",
    );
    if (id && endpoint && end.endpoint !== "dead") {
      this.#leaveRunning(endpoint, id);
    }
    this.#restartOrFail(
      this.#createFailure("endpoint-lost", end.detail, endpoint?.address),
    );
  }

  /** The caller may go on through a daemon that still reaches the endpoint. */
  #leaveRunning(endpoint: Endpoint, id: GenerationId): void {
    if (!this.#isAnnounced) void this.#services.engines.cancel(endpoint, id);
    else if (!this.#isTakenElsewhere) {
      new ResumedGeneration(this.#services, endpoint, id).callerGone();
    }
  }

  /** A restart is allowed only while the caller has nothing of this run. */
  #restartOrFail(failure: RequestFailure, isLeaving = false): void {
    const { clock } = this.#services;
    const retryWaitMs = this.#mayRestart()
      ? this.#retryWaitMs(isLeaving)
      : undefined;
    if (retryWaitMs === undefined) {
      this.#fail(failure);
      return;
    }
    this.#whole = [];
    this.#retryTimer = clock.setTimer(retryWaitMs, () => void this.begin());
  }

  /** An endpoint that leaves in order does not use up the budget. */
  #retryWaitMs(isLeaving: boolean): number | undefined {
    const { retries } = this.#services;
    return isLeaving
      ? retries.jitteredWaitMs(this.#attempts)
      : retries.tryRetry(this.#request.service, this.#attempts);
  }

  #mayRestart(): boolean {
    return !this.#isAnnounced && !this.#isCallerGone &&
      this.#attempts < MAX_ATTEMPTS;
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

  /** `not-run` is true only when no attempt may have run. */
  #fail(failure: RequestFailure): void {
    const outcome = this.#mayHaveRun ? "interrupted" : failure.outcome;
    this.#deliverEnd({
      kind: "failed",
      failure: { ...failure, outcome },
      deliveredTokens: this.#deliveredTokens,
    });
  }

  #deliverEnd(end: GenerationEnd): void {
    if (this.#isEnded) return;
    const outcome = end.kind === "completed"
      ? "completed"
      : end.failure.outcome;
    this.#times.recordEnd(
      this.#isCallerGone ? "interrupted" : outcome,
      this.#deliveredTokens,
    );
    if (!this.#isCallerGone) this.#caller.onEnded(end);
    this.#finish();
  }

  #cancelAbandoned(): void {
    if (this.#isEnded || !this.#run) return;
    const { grant, id } = this.#run;
    void this.#services.engines.cancel(grant.endpoint, id);
    this.#endRun("cancelled");
    this.#times.recordEnd("interrupted", this.#deliveredTokens);
    this.#finish();
  }

  /** Ends the use of the endpoint; its grant is given back once. */
  #endRun(
    end: GrantEnd,
    runEnd: RunEnd = end === "completed" ? "completed" : "other",
  ): Endpoint | undefined {
    if (!this.#run) return undefined;
    const { grant, relay, registration, watched } = this.#run;
    this.#run = undefined;
    watched.end(runEnd);
    registration.dispose();
    relay.dispose();
    this.#services.dispatcher.release(grant.id, end, relay.nextOffset);
    if (end !== "completed") this.#excluded.push(grant.endpoint.id);
    return grant.endpoint;
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#window.dispose();
    this.#onDidEnd();
  }
}
