/** A generation that a caller goes on with, at this daemon or another. */

import type { GenerationId } from "../../../base/common/ids.ts";
import type { Endpoint } from "../../../platform/endpoints/common/engine_client.ts";
import type { Token } from "./frame_sequencer.ts";
import type {
  GenerationCaller,
  GenerationHandle,
} from "./generation_service.ts";
import type { RelayServices } from "./relay_services.ts";
import { type RelayEnd, StreamRelay } from "./stream_relay.ts";

/** Passes on the rest of a generation. */
export class ResumedGeneration implements GenerationHandle {
  readonly #caller: GenerationCaller;
  readonly #onDidEnd: () => void;
  readonly #relay: StreamRelay;
  readonly #id: GenerationId;
  readonly #endpoint: Endpoint;
  #deliveredTokens = 0;
  #isEnded = false;

  /**
   * @param services - Services of the feature.
   * @param endpoint - Where the generation runs.
   * @param id - The generation.
   * @param fromOffset - First token that the caller has not got.
   * @param caller - Receiver.
   * @param onDidEnd - Called once, when nothing is left to do.
   */
  constructor(
    services: RelayServices,
    endpoint: Endpoint,
    id: GenerationId,
    fromOffset: number,
    caller: GenerationCaller,
    onDidEnd: () => void,
  ) {
    this.#caller = caller;
    this.#onDidEnd = onDidEnd;
    this.#id = id;
    this.#endpoint = endpoint;
    this.#relay = new StreamRelay(services, endpoint, id, fromOffset, {
      onAccepted: () => caller.onStarted(id),
      onTokens: (tokens) => this.#onTokens(tokens),
      onEnded: (end) => this.#onRelayEnded(end),
    });
  }

  /** Opens the connection. */
  begin(): void {
    this.#relay.openResumed();
  }

  /** {@inheritDoc GenerationHandle.resumeReading} */
  resumeReading(): void {
    this.#relay.resumeReading();
  }

  /** {@inheritDoc GenerationHandle.callerGone} */
  callerGone(): void {
    this.#relay.dispose();
    this.#finish();
  }

  #onTokens(tokens: readonly Token[]): boolean {
    this.#deliveredTokens += tokens.length;
    return this.#caller.onTokens(tokens);
  }

  #onRelayEnded(end: RelayEnd): void {
    if (end.kind === "finished") {
      this.#caller.onEnded({
        kind: "completed",
        finish: end.finish,
        tokenCount: this.#deliveredTokens,
      });
    } else {
      this.#caller.onEnded({
        kind: "failed",
        deliveredTokens: this.#deliveredTokens,
        failure: {
          outcome: "interrupted",
          reason: "endpoint-lost",
          isRetryable: false,
          step: "generation.resume",
          peer: this.#endpoint.address,
          detail: `${end.detail} (${this.#id.slice(-8)})`,
        },
      });
    }
    this.#finish();
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#onDidEnd();
  }
}
