/**
 * One request to one peer that is to pass it on. A streamed body is held back
 * after its head until the peer has acknowledged the request, so that it goes
 * whole to another peer if this one proves that it has sent nothing. Without
 * that proof the endpoint may have begun: it may work on a part of the body.
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type { PassThroughExchange } from "../../../services/http/common/pass_through_client.ts";
import { isStreamed } from "../../../services/http/common/request_body.ts";
import type {
  RelayableRequest,
  RelayFailure,
  RelayListener,
  RelayPeer,
  RelaySender,
} from "../../../services/relay/common/relay_sender.ts";
import { HeldBody } from "./held_body.ts";

/**
 * Time within which a peer acknowledges a request that it passes on; it opens a
 * connection first if it has none.
 */
const ACKNOWLEDGE_TIMEOUT_MS = 500;
/** The same for a request whose body is held back; its head is sent first. */
const HELD_ACKNOWLEDGE_TIMEOUT_MS = 1_000;

/** Receives the response that the peer passes back. */
export interface RelayAttemptListener extends RelayListener {
  /** Called when the peer exceeds the time to acknowledge; the request continues. */
  onUnacknowledged(): void;
}

/** What a {@link RelayAttempt} consists of. */
export interface RelayAttemptOptions {
  readonly clock: Clock;
  readonly relays: RelaySender;
  readonly peer: RelayPeer;
  readonly request: RelayableRequest;
  readonly listener: RelayAttemptListener;
}

/** A request to a peer, until its response or its failure. */
export class RelayAttempt implements PassThroughExchange, Disposable {
  readonly #options: RelayAttemptOptions;
  readonly #heldBody: HeldBody | undefined;
  #transfer: PassThroughExchange | undefined;
  #timer: Disposable = NOOP_DISPOSABLE;
  #isAcknowledged = false;
  #isEnded = false;

  /** @param options - The request, the peer and the listener. */
  constructor(options: RelayAttemptOptions) {
    this.#options = options;
    const { body } = options.request;
    this.#heldBody = isStreamed(body) ? new HeldBody(body) : undefined;
  }

  /** Whether the peer has said that it sends the request. */
  get isAcknowledged(): boolean {
    return this.#isAcknowledged;
  }

  /** Sends the request. */
  start(): void {
    const { clock, listener, peer, relays, request } = this.#options;
    const heldBody = this.#heldBody;
    this.#timer = clock.setTimer(
      heldBody ? HELD_ACKNOWLEDGE_TIMEOUT_MS : ACKNOWLEDGE_TIMEOUT_MS,
      () => this.#onUnacknowledged(),
    );
    const sent = heldBody ? { ...request, body: heldBody } : request;
    this.#transfer = relays.send(peer, sent, {
      ...listener,
      onInterim: () => this.#onAcknowledged(),
      onHead: (status, headers) => {
        this.#onAcknowledged();
        listener.onHead(status, headers);
      },
      onFailure: (failure) => this.#fail(failure),
    });
  }

  abort(): void {
    this.dispose();
    this.#transfer?.abort();
  }

  resume(): void {
    this.#transfer?.resume();
  }

  /** Ends the attempt without a call of the listener. */
  dispose(): void {
    this.#isEnded = true;
    this.#timer.dispose();
    this.#heldBody?.cancel();
  }

  #onAcknowledged(): void {
    this.#isAcknowledged = true;
    this.#timer.dispose();
    this.#heldBody?.release();
  }

  #onUnacknowledged(): void {
    if (!this.#heldBody) {
      this.#options.listener.onUnacknowledged();
      return;
    }
    this.#transfer?.abort();
    this.#fail({
      kind: "broken",
      message: "the peer does not acknowledge the request",
      refusal: undefined,
      retryAfterMs: undefined,
    });
  }

  #fail(failure: RelayFailure): void {
    if (this.#isEnded) return;
    this.dispose();
    this.#options.listener.onFailure(failure);
  }
}
