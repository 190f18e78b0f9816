/** Asks peers to pass requests on to endpoints. */

import type { Clock } from "../../../base/common/clock.ts";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughFailure,
  PassThroughListener,
  PassThroughRequest,
  RelayInstructions,
} from "../../http/common/pass_through_client.ts";
import {
  decodeRelayResult,
  encodeRelayRequest,
  endpointHeadersOf,
  isEndVerified,
  isSentOnce,
  type RelayFields,
  relayProofText,
  type RelayRefusal,
  type RelayResult,
} from "./relay_protocol.ts";
import type { RelaySigner } from "./relay_signer.ts";

/** A host that passes requests on. */
export interface RelayPeer {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly relayAddress: Address;
}

/** Reason why there is no complete response through a peer. */
export interface RelayFailure extends PassThroughFailure {
  /** Why the peer has not passed the request on; absent if it did not answer. */
  readonly refusal: RelayRefusal | undefined;
  readonly retryAfterMs: number | undefined;
}

/** Receives the response that a peer passes back. */
export interface RelayListener extends Omit<PassThroughListener, "onFailure"> {
  /** Called before `onHead` if the peer verifies the end of the response. */
  onEndVerified?(): void;
  /**
   * Called before `onHead` if the peer sends no request twice on a connection.
   */
  onSentOnce?(): void;
  onFailure(failure: RelayFailure): void;
}

/** A request that a peer may pass on. */
export interface RelayableRequest extends PassThroughRequest {
  readonly relay: RelayInstructions;
}

/** Sends requests through peers. */
export interface RelaySender {
  /**
   * @param peer - The peer to ask.
   * @param request - The request for an endpoint.
   * @param listener - Receives the endpoint's response.
   * @returns The exchange.
   */
  send(
    peer: RelayPeer,
    request: RelayableRequest,
    listener: RelayListener,
  ): PassThroughExchange;
}

/** Dependencies of {@link HttpRelaySender}. */
export interface HttpRelaySenderServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly signer: RelaySigner;
  /** Client for the connections to peers. */
  readonly client: PassThroughClient;
}

/** Sends requests to the relay servers of peers over HTTP. */
export class HttpRelaySender implements RelaySender {
  readonly #services: HttpRelaySenderServices;

  /** @param services - Dependencies of the sender. */
  constructor(services: HttpRelaySenderServices) {
    this.#services = services;
  }

  /** {@inheritDoc RelaySender.send} */
  send(
    peer: RelayPeer,
    request: RelayableRequest,
    listener: RelayListener,
  ): PassThroughExchange {
    const { client, clock, self, signer } = this.#services;
    const { method, relay, target } = request;
    const remainingMs = Math.floor(relay.deadlineMs - clock.monotonicMs());
    const fields: RelayFields = {
      from: self,
      to: peer.host,
      endpoint: relay.endpoint,
      address: request.address,
      purpose: relay.purpose,
      requestId: request.requestId,
      remainingMs,
    };
    const proof = signer.sign(relayProofText(fields, method, target));
    const headers = encodeRelayRequest(request.headers, fields, proof);
    const response = new RelayResponse(listener);
    return client.send(
      {
        address: peer.relayAddress,
        method,
        target,
        headers,
        body: request.body,
        requestId: request.requestId,
        repeatableUntilMs: relay.deadlineMs,
      },
      {
        onSent: () => listener.onSent?.(),
        onInterim: () => listener.onInterim?.(),
        onHead: (status, received) => response.onHead(status, received),
        onData: (chunk) => response.onData(chunk),
        onEnd: () => response.onEnd(),
        onFailure: ({ kind, message }) => {
          const isSent = kind === "broken";
          response.fail(isSent ? { kind: "broken" } : undefined, message);
        },
      },
    );
  }
}

/** The response of one peer. */
class RelayResponse {
  readonly #listener: RelayListener;
  #result: RelayResult | undefined;

  constructor(listener: RelayListener) {
    this.#listener = listener;
  }

  onHead(status: number, received: readonly string[]): void {
    // Whatever else answers at the address may have acted on the request.
    this.#result = decodeRelayResult(received) ?? { kind: "broken" };
    if (this.#result.kind !== "passed-on") return;
    if (isEndVerified(received)) this.#listener.onEndVerified?.();
    if (isSentOnce(received)) this.#listener.onSentOnce?.();
    this.#listener.onHead(status, endpointHeadersOf(received));
  }

  onData(chunk: Uint8Array): boolean {
    if (this.#result?.kind !== "passed-on") return true;
    return this.#listener.onData(chunk);
  }

  onEnd(): void {
    if (this.#result?.kind === "passed-on") this.#listener.onEnd();
    else this.fail(this.#result, "no response through the peer");
  }

  /** @param result - What the peer said; `undefined` if it was not reached. */
  fail(result: RelayResult | undefined, message: string): void {
    if (result?.kind === "not-sent") {
      const { refusal, retryAfterMs } = result;
      const text = `${message}: ${refusal}`;
      this.#listener.onUnsent?.();
      this.#listener.onFailure({
        kind: "not-sent",
        message: text,
        refusal,
        retryAfterMs,
      });
      return;
    }
    this.#listener.onFailure({
      kind: result === undefined ? "not-sent" : "broken",
      message,
      refusal: undefined,
      retryAfterMs: undefined,
    });
  }
}
