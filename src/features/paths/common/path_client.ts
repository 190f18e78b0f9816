/**
 * Sends requests to endpoints directly, or through a peer where this host
 * cannot connect to the endpoint itself. The caller of the client sees one
 * request: it moves to another path only while it is proved that the endpoint
 * has not received it.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Address, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import { isStreamed } from "../../../services/http/common/request_body.ts";
import type {
  PassThroughClient,
  PassThroughExchange,
  PassThroughFailure,
  PassThroughListener,
  PassThroughRequest,
  ProvenConnectionClient,
} from "../../../services/http/common/pass_through_client.ts";
import type {
  RelayableRequest,
  RelayFailure,
  RelayPeer,
  RelaySender,
} from "../../../services/relay/common/relay_sender.ts";
import type { DirectPaths } from "./direct_paths.ts";
import { RelayAttempt } from "./relay_attempt.ts";
import type { RelayChooser } from "./relay_chooser.ts";
import { type EndCheck, VerifiedResponse } from "./verified_response.ts";

/**
 * Time after which a connection that does not open is given up for a peer, if
 * there is one. Round trips take a few milliseconds.
 */
const CONNECT_PATIENCE_MS = 120;
/** Peers that are asked for one request, one after the other. */
const MAX_PEERS = 3;

/** A request for which there is no complete response through a peer. */
export interface FailedRelay {
  readonly peer: HostId;
  readonly request: RelayableRequest;
  /** What the peer said; `broken` if nothing proves that it sent nothing. */
  readonly result: string;
  /** Why the peer did not send it, or how the connection to it ended. */
  readonly message: string;
  /** Whether the peer had said that it sends the request. */
  readonly wasAcknowledged: boolean;
  /** Time since the peer was asked, in milliseconds. */
  readonly tookMs: number;
}

/** Dependencies of {@link PathClient}. */
export interface PathClientServices {
  readonly clock: Clock;
  readonly client: ProvenConnectionClient;
  readonly relays: RelaySender;
  readonly chooser: RelayChooser;
  readonly direct: DirectPaths;
  /** @returns The addresses of all endpoints of the service at an address. */
  groupOf(address: Address): readonly Address[];
  /** Tries a path that is lost or in doubt, in the background. */
  probe(address: Address): void;
  /** Called when a peer says for how long an endpoint is to be avoided. */
  onHeld(address: Address, retryAfterMs: number): void;
  /** Called with the result of each peer that was asked. */
  onRelayed(result: string): void;
  /** Called when there is no complete response through a peer. */
  onRelayFailed(failed: FailedRelay): void;
  /**
   * Creates the check for the end of a response that a peer passes back without
   * having verified its end.
   */
  createRelayCheck(peer: RelayPeer, request: RelayableRequest): EndCheck;
}

/** Chooses the path of each request. */
export class PathClient implements PassThroughClient {
  readonly #services: PathClientServices;

  /** @param services - Dependencies of the client. */
  constructor(services: PathClientServices) {
    this.#services = services;
  }

  /** {@inheritDoc PassThroughClient.send} */
  send(
    request: PassThroughRequest,
    listener: PassThroughListener,
  ): PassThroughExchange {
    const exchange = new PathExchange(this.#services, request, listener);
    exchange.start();
    return exchange;
  }

  /** Sends a request through one peer. */
  sendThrough(
    peer: RelayPeer,
    request: RelayableRequest,
    listener: PassThroughListener,
  ): PassThroughExchange {
    return this.#services.relays.send(peer, request, listener);
  }

  /** Sends a request through a peer, whatever the state of the direct path. */
  sendThroughPeer(
    request: PassThroughRequest,
    listener: PassThroughListener,
  ): PassThroughExchange {
    const exchange = new PathExchange(this.#services, request, listener);
    exchange.startThroughPeer();
    return exchange;
  }

  /** {@inheritDoc PassThroughClient.closeIdleConnections} */
  closeIdleConnections(address: Address): void {
    this.#services.client.closeIdleConnections(address);
  }

  /**
   * @returns Since when neither this host nor a peer reaches an address, as a
   * monotonic time in milliseconds, or `undefined` if one may.
   */
  unreachableSinceMs(address: Address): number | undefined {
    const { chooser, direct } = this.#services;
    const sinceMs = direct.lostSinceMs(address);
    return sinceMs === undefined || chooser.canReach(address)
      ? undefined
      : sinceMs;
  }
}

/** One request on its way to one endpoint. */
class PathExchange implements PassThroughExchange {
  readonly #services: PathClientServices;
  readonly #request: PassThroughRequest;
  readonly #listener: PassThroughListener;
  readonly #askedPeers = new Set<HostId>();
  #transfer: PassThroughExchange | undefined;
  /** Number of the path that is tried now. */
  #pathNumber = 0;
  #timer: Disposable = NOOP_DISPOSABLE;
  #endRelay: () => void = () => undefined;
  #isSent = false;
  #isEnded = false;

  constructor(
    services: PathClientServices,
    request: PassThroughRequest,
    listener: PassThroughListener,
  ) {
    this.#services = services;
    this.#request = request;
    this.#listener = listener;
  }

  start(): void {
    const { client, direct, groupOf, probe } = this.#services;
    const { address, requestId } = this.#request;
    const doubtedSinceMs = direct.doubtedSinceMs(address, groupOf(address));
    const isDirect = doubtedSinceMs === undefined ||
      client.hasProvenConnection(address, doubtedSinceMs, requestId);
    if (isDirect) {
      this.#sendDirectly();
      return;
    }
    probe(address);
    this.startThroughPeer();
  }

  startThroughPeer(): void {
    this.#sendThroughPeer({
      kind: "not-sent",
      message: `no path to ${this.#request.address}`,
    });
  }

  abort(): void {
    if (this.#isEnded) return;
    this.#end();
    this.#transfer?.abort();
  }

  resume(): void {
    this.#transfer?.resume();
  }

  #sendDirectly(): void {
    const { client, clock } = this.#services;
    const pathNumber = ++this.#pathNumber;
    const isCurrent = () => !this.#isEnded && pathNumber === this.#pathNumber;
    const transfer = client.send(this.#request, {
      ...this.#listener,
      onSent: (carriedCount) => {
        this.#isSent = true;
        this.#timer.dispose();
        this.#listener.onSent?.(carriedCount);
      },
      onEnd: () => {
        this.#end();
        this.#listener.onEnd();
      },
      onFailure: (failure) => {
        if (isCurrent()) this.#onDirectFailure(failure);
      },
    });
    // The client may have reported a failure already.
    if (!isCurrent()) return;
    this.#transfer = transfer;
    const giveUp = (): void => {
      if (!isCurrent() || !this.#canAskPeer()) return;
      this.#services.direct.onOpenFailed(this.#request.address, "timed-out");
      transfer.abort();
      const message = `no connection within ${CONNECT_PATIENCE_MS} ms`;
      this.#onDirectFailure({ kind: "not-sent", message });
    };
    if (this.#isSent) return;
    this.#timer = clock.setTimer(CONNECT_PATIENCE_MS, () => {
      // After a pause of the process, a connection that was opened in the
      // meantime is reported first.
      this.#timer = clock.setTimer(0, giveUp);
    });
  }

  #onDirectFailure(failure: PassThroughFailure): void {
    this.#timer.dispose();
    if (failure.kind === "not-sent" && this.#canAskPeer()) {
      this.#sendThroughPeer(failure);
    } else this.#fail(failure);
  }

  #canAskPeer(): boolean {
    const { body, relay } = this.#request;
    if (!relay || this.#askedPeers.size >= MAX_PEERS) return false;
    if (isStreamed(body) && body.isConsumed) return false;
    return this.#choosePeer() !== undefined;
  }

  #choosePeer(): RelayPeer | undefined {
    const { address, relay } = this.#request;
    const spentPeers = relay?.spentPeers?.at(address) ?? [];
    return this.#services.chooser.choose(
      address,
      new Set([...this.#askedPeers, ...spentPeers]),
      (zone) => relay?.mayPassTo?.(zone) ?? true,
    );
  }

  /** @param failure - What is reported if there is no peer to ask. */
  #sendThroughPeer(failure: PassThroughFailure): void {
    const {
      chooser,
      clock,
      createRelayCheck,
      onRelayed,
      onRelayFailed,
      relays,
    } = this.#services;
    const request = this.#request;
    const { address } = request;
    const peer = this.#canAskPeer() ? this.#choosePeer() : undefined;
    if (!peer || !isRelayable(request)) {
      this.#fail(failure);
      return;
    }
    this.#askedPeers.add(peer.host);
    let isSentOnce = false;
    const pathNumber = ++this.#pathNumber;
    const isCurrent = () => !this.#isEnded && pathNumber === this.#pathNumber;
    const endRelay = chooser.begin(peer);
    const askedMs = clock.monotonicMs();
    const response = new VerifiedResponse(
      clock,
      request.method,
      {
        onHead: (status, headers) => this.#listener.onHead(status, headers),
        onEnd: () => {
          this.#end();
          this.#listener.onEnd();
        },
        onFailure: (endFailure) => this.#fail(endFailure),
      },
      () => createRelayCheck(peer, request),
    );
    const attempt = new RelayAttempt({
      clock,
      relays,
      peer,
      request,
      listener: {
        ...this.#listener,
        onUnacknowledged: () => chooser.recordUnresponsive(peer),
        onHead: (status, headers) => {
          onRelayed("passed-on");
          if (!isSentOnce) request.relay.spentPeers?.add(peer.host, address);
          chooser.recordSuccess(peer, address);
          response.onHead(status, headers);
        },
        onData: (chunk) => {
          response.onData();
          return this.#listener.onData(chunk);
        },
        onEndVerified: () => response.onEndVerified(),
        onSentOnce: () => {
          isSentOnce = true;
        },
        onEnd: () => response.onEnd(),
        onFailure: (relayFailure) => {
          if (!isCurrent()) return;
          endRelay();
          onRelayFailed({
            peer: peer.host,
            request,
            result: relayFailure.refusal ?? relayFailure.kind,
            message: relayFailure.message,
            wasAcknowledged: attempt.isAcknowledged,
            tookMs: clock.monotonicMs() - askedMs,
          });
          this.#onRelayFailure(peer, relayFailure);
        },
      },
    });
    this.#endRelay = () => {
      response.cancel();
      attempt.dispose();
      endRelay();
    };
    this.#listener.onRelayed?.(peer.host);
    this.#transfer = attempt;
    attempt.start();
  }

  #onRelayFailure(peer: RelayPeer, failure: RelayFailure): void {
    const { chooser, onHeld, onRelayed } = this.#services;
    const { address } = this.#request;
    const { refusal, retryAfterMs } = failure;
    onRelayed(refusal ?? failure.kind);
    if (refusal === undefined || refusal === "stopping" || refusal === "busy") {
      chooser.recordUnresponsive(peer);
    } else chooser.recordRefusal(peer, address);
    if (retryAfterMs !== undefined) onHeld(address, retryAfterMs);
    if (failure.kind === "not-sent" && refusal !== "held") {
      this.#sendThroughPeer(failure);
    } else this.#fail(failure);
  }

  #fail({ kind, message, isTimedOut }: PassThroughFailure): void {
    if (this.#isEnded) return;
    this.#end();
    this.#listener.onFailure({
      kind,
      message,
      ...(isTimedOut !== undefined && { isTimedOut }),
    });
  }

  #end(): void {
    this.#isEnded = true;
    this.#timer.dispose();
    this.#endRelay();
  }
}

function isRelayable(request: PassThroughRequest): request is RelayableRequest {
  return request.relay !== undefined;
}
