/** A generation that a caller goes on with, at this daemon or another. */

import { assertNever } from "../../../base/common/errors.ts";
import type { GenerationId } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type { Token } from "./frame_sequencer.ts";
import {
  type GenerationHolder,
  ResumeWindow,
} from "./generation_resume_registry.ts";
import type {
  GenerationHandle,
  GenerationListener,
} from "./generation_service.ts";
import type { RelayServices } from "./relay_services.ts";
import { type RelayResult, StreamRelay } from "./stream_relay.ts";

const NOOP_LISTENER: GenerationListener = {
  onStarted: () => undefined,
  onTokens: () => true,
  onEnded: () => undefined,
};

/** Passes on the rest of a generation. */
export class ResumedGeneration implements GenerationHandle, GenerationHolder {
  readonly #services: RelayServices;
  readonly #listener: GenerationListener;
  readonly #onDidEnd: () => void;
  readonly #relay: StreamRelay;
  readonly #id: GenerationId;
  readonly #endpoint: Endpoint;
  readonly #resumeWindow = new ResumeWindow();
  readonly #registration: Disposable;
  #deliveredTokens = 0;
  #isDetached = false;
  #isResumedElsewhere = false;
  #isEnded = false;

  /**
   * @param services - Services of the feature.
   * @param endpoint - Where the generation runs.
   * @param id - The generation.
   * @param fromOffset - First token that the caller has not got.
   * @param caller - Receiver; without one, the generation is only kept for
   * the resume window.
   * @param onDidEnd - Called once, when nothing is left to do.
   */
  constructor(
    services: RelayServices,
    endpoint: Endpoint,
    id: GenerationId,
    fromOffset = 0,
    caller: GenerationListener = NOOP_LISTENER,
    onDidEnd: () => void = () => undefined,
  ) {
    this.#services = services;
    this.#listener = caller;
    this.#onDidEnd = onDidEnd;
    this.#id = id;
    this.#endpoint = endpoint;
    this.#registration = services.resumeRegistry.register(id, this);
    this.#relay = new StreamRelay(services, endpoint, id, fromOffset, {
      onAccepted: () => caller.onStarted(id),
      onTokens: (tokens) => this.#onTokens(tokens),
      onEnded: (end) => this.#handleRelayResult(end),
      canRestart: () => false,
    });
  }

  /** Opens the connection. */
  begin(): void {
    this.#services.resumeRegistry.announceResumed(this.#id, this);
    this.#relay.openExisting();
  }

  /** {@inheritDoc GenerationHandle.resumeReading} */
  resumeReading(): void {
    this.#relay.resumeReading();
  }

  /** {@inheritDoc GenerationHandle.onCallerDisconnected} */
  onCallerDisconnected(): void {
    if (this.#isEnded || this.#isDetached) return;
    this.#isDetached = true;
    this.#relay.dispose();
    if (this.#isResumedElsewhere) {
      this.#finish();
      return;
    }
    const { clock, resumeWindowMs } = this.#services;
    this.#resumeWindow.start(
      clock,
      resumeWindowMs,
      () => this.#cancelAbandoned(),
    );
  }

  /** {@inheritDoc GenerationHolder.onResumedElsewhere} */
  onResumedElsewhere(): void {
    this.#isResumedElsewhere = true;
    if (this.#isDetached) this.#finish();
  }

  /** {@inheritDoc GenerationHolder.onAbandonedElsewhere} */
  onAbandonedElsewhere(): void {
    this.#isResumedElsewhere = false;
  }

  #cancelAbandoned(): void {
    if (this.#isEnded) return;
    void this.#services.engines.cancel(this.#endpoint, this.#id);
    this.#finish();
  }

  #onTokens(tokens: readonly Token[]): boolean {
    this.#deliveredTokens += tokens.length;
    return this.#listener.onTokens(tokens);
  }

  #handleRelayResult(end: RelayResult): void {
    switch (end.kind) {
      case "finished":
        this.#handleFinished(end);
        break;
      case "not-run":
      case "lost":
        this.#services.resumeRegistry.announceAbandoned(this.#id, this);
        this.#fail("endpoint-lost", end.detail);
        break;
      default:
        assertNever(end);
    }
    this.#finish();
  }

  #handleFinished({ finish }: RelayResult & { kind: "finished" }): void {
    if (finish === "cancelled") {
      this.#fail("cancelled", "the generation was cancelled");
      return;
    }
    const tokenCount = this.#deliveredTokens;
    this.#listener.onEnded({ kind: "completed", finish, tokenCount });
  }

  #fail(reason: RequestFailure["reason"], detail: string): void {
    this.#listener.onEnded({
      kind: "failed",
      deliveredTokens: this.#deliveredTokens,
      failure: {
        outcome: "interrupted",
        reason,
        isRetryable: false,
        step: "generation.resume",
        peer: this.#endpoint.address,
        detail: `${detail} (${this.#id.slice(-8)})`,
      },
    });
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#resumeWindow.dispose();
    this.#registration.dispose();
    this.#onDidEnd();
  }
}
