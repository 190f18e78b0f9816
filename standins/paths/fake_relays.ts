/** Fake peers that pass requests on, scripted by tests. */

import type { Address, HostId, ZoneName } from "../../src/base/common/ids.ts";
import type { PassThroughExchange } from "../../src/services/http/common/pass_through_client.ts";
import type { RelayRefusal } from "../../src/services/relay/common/relay_protocol.ts";
import type {
  RelayableRequest,
  RelayListener,
  RelayPeer,
  RelaySender,
} from "../../src/services/relay/common/relay_sender.ts";

/** A request that a peer was asked to pass on. */
export class FakeRelay implements PassThroughExchange {
  readonly peer: RelayPeer;
  readonly request: RelayableRequest;
  readonly #listener: RelayListener;
  isAborted = false;

  constructor(
    peer: RelayPeer,
    request: RelayableRequest,
    listener: RelayListener,
  ) {
    this.peer = peer;
    this.request = request;
    this.#listener = listener;
    listener.onSent?.();
  }

  /** The peer has sent the request to the endpoint. */
  acknowledge(): void {
    this.#listener.onInterim?.();
  }

  /** The peer sends no request twice on a connection, and says so. */
  stateSentOnce(): void {
    this.#listener.onSentOnce?.();
  }

  /** The peer passes a complete response back, whose end it has verified. */
  respond(status: number, text: string): void {
    this.#listener.onEndVerified?.();
    this.#listener.onHead(status, ["X-Response-Stamp", "stamp"]);
    this.#listener.onData(Buffer.from(text));
    this.#listener.onEnd();
  }

  /** The peer passes the beginning of a response back. */
  answerInPart(status: number): void {
    this.#listener.onHead(status, ["X-Response-Stamp", "stamp"]);
  }

  /** The peer proves that it has not sent the request. */
  refuse(refusal: RelayRefusal, retryAfterMs?: number): void {
    this.#listener.onUnsent?.();
    this.#listener.onFailure({
      kind: "not-sent",
      message: refusal,
      refusal,
      retryAfterMs,
    });
  }

  /** The connection to the peer ends. */
  breakConnection(): void {
    this.#listener.onFailure({
      kind: "broken",
      message: "reset",
      refusal: undefined,
      retryAfterMs: undefined,
    });
  }

  abort(): void {
    this.isAborted = true;
  }

  resume(): void {
    // Data is never paused here.
  }
}

/** Records all requests to peers. */
export class FakeRelays implements RelaySender {
  readonly relays: FakeRelay[] = [];

  send(
    peer: RelayPeer,
    request: RelayableRequest,
    listener: RelayListener,
  ): PassThroughExchange {
    const relay = new FakeRelay(peer, request, listener);
    this.relays.push(relay);
    return relay;
  }

  /** The latest request. */
  get last(): FakeRelay {
    return this.relays.at(-1)!;
  }
}

/** @returns A peer with a number, in zone a unless another is given. */
export function fakePeer(number: number, zone = "zone-a"): RelayPeer {
  return {
    host: `peer-${number}` as HostId,
    zone: zone as ZoneName,
    relayAddress: `10.0.1.${number}:7200` as Address,
  };
}
