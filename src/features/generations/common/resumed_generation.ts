/** A generation that a caller goes on with, at this daemon or another. */

import { assertNever } from "../../../base/common/errors.ts";
import type { GenerationId } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type { Token } from "./frame_sequencer.ts";
import { type Follower, ResumeWindow } from "./generation_followers.ts";
import type {
  GenerationCaller,
  GenerationHandle,
} from "./generation_service.ts";
import type { RelayServices } from "./relay_services.ts";
import { type RelayEnd, StreamRelay } from "./stream_relay.ts";

const NO_CALLER: GenerationCaller = {
  onStarted: () => undefined,
  onTokens: () => true,
  onEnded: () => undefined,
};

/** Passes on the rest of a generation. */
export class ResumedGeneration implements GenerationHandle, Follower {
  readonly #services: RelayServices;
  readonly #caller: GenerationCaller;
  readonly #onDidEnd: () => void;
  readonly #relay: StreamRelay;
  readonly #id: GenerationId;
  readonly #endpoint: Endpoint;
  readonly #window = new ResumeWindow();
  readonly #registration: Disposable;
  #deliveredTokens = 0;
  #isCallerGone = false;
  #isTakenElsewhere = false;
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
    caller: GenerationCaller = NO_CALLER,
    onDidEnd: () => void = () => undefined,
  ) {
    this.#services = services;
    this.#caller = caller;
    this.#onDidEnd = onDidEnd;
    this.#id = id;
    this.#endpoint = endpoint;
    this.#registration = services.followers.add(id, this);
    this.#relay = new StreamRelay(services, endpoint, id, fromOffset, {
      onAccepted: () => caller.onStarted(id),
      onTokens: (tokens) => this.#onTokens(tokens),
      onEnded: (end) => this.#onRelayEnded(end),
      mayRestart: () => false,
    });
  }

  /** Opens the connection. */
  begin(): void {
    this.#services.followers.announceTaken(this.#id, this);
    this.#relay.openResumed();
  }

  /** {@inheritDoc GenerationHandle.resumeReading} */
  resumeReading(): void {
    this.#relay.resumeReading();
  }

  /** {@inheritDoc GenerationHandle.callerGone} */
  callerGone(): void {
    if (this.#isEnded || this.#isCallerGone) return;
    this.#isCallerGone = true;
    this.#relay.dispose();
    if (this.#isTakenElsewhere) {
      this.#finish();
      return;
    }
    const { clock, resumeWindowMs } = this.#services;
    this.#window.start(clock, resumeWindowMs, () => this.#cancelAbandoned());
  }

  /** {@inheritDoc Follower.onTakenElsewhere} */
  onTakenElsewhere(): void {
    this.#isTakenElsewhere = true;
    if (this.#isCallerGone) this.#finish();
  }

  /** {@inheritDoc Follower.onGivenUpElsewhere} */
  onGivenUpElsewhere(): void {
    this.#isTakenElsewhere = false;
  }

  #cancelAbandoned(): void {
    if (this.#isEnded) return;
    void this.#services.engines.cancel(this.#endpoint, this.#id);
    this.#finish();
  }

  #onTokens(tokens: readonly Token[]): boolean {
    this.#deliveredTokens += tokens.length;
    return this.#caller.onTokens(tokens);
  }

  #onRelayEnded(end: RelayEnd): void {
    switch (end.kind) {
      case "finished":
        this.#onFinished(end);
        break;
      case "not-run":
      case "lost":
        this.#services.followers.announceGivenUp(this.#id, this);
        this.#fail("endpoint-lost", end.detail);
        break;
      default:
        assertNever(end);
    }
    this.#finish();
  }

  #onFinished({ finish }: RelayEnd & { kind: "finished" }): void {
    if (finish === "cancelled") {
      this.#fail("cancelled", "the generation was cancelled");
      return;
    }
    const tokenCount = this.#deliveredTokens;
    this.#caller.onEnded({ kind: "completed", finish, tokenCount });
  }

  #fail(reason: RequestFailure["reason"], detail: string): void {
    this.#caller.onEnded({
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
    this.#window.dispose();
    this.#registration.dispose();
    this.#onDidEnd();
  }
}
