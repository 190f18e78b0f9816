/**
 * Contract of the client that passes requests on to endpoints without changing
 * them.
 */

import type {
  Address,
  EndpointId,
  HostId,
  RequestId,
  ZoneName,
} from "../../../base/common/ids.ts";
import type { HeaderList } from "./header_list.ts";
import type { RequestBody } from "./request_body.ts";

/** A request for one endpoint. */
export interface PassThroughRequest {
  readonly address: Address;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: RequestBody;
  /**
   * Id that endpoints repeat in their answers; `undefined` for a control
   * request, whose answers name nothing.
   */
  readonly requestId: RequestId | undefined;
  /**
   * Monotonic time until which the request may be sent again, in milliseconds;
   * at any time if absent.
   */
  readonly repeatableUntilMs?: number;
  /**
   * Endpoint whose process has to outlive a response that ends with its
   * connection; without one, such a response ends like any other.
   */
  readonly endpoint?: EndpointId;
  /**
   * What a peer has to know to pass the request on; without it the request is
   * only sent by this host itself.
   */
  readonly relay?: RelayInstructions;
}

/** How a peer may pass a request on. */
export interface RelayInstructions {
  readonly endpoint: EndpointId;
  /**
   * Whether the request is a caller's, which an endpoint that leaves must not
   * get, or one for its control.
   */
  readonly purpose: "request" | "control";
  /** Monotonic time at which the response is due, in milliseconds. */
  readonly deadlineMs: number;
  /**
   * @returns Whether peers in a zone may be sent the request; all may if absent.
   */
  mayPassTo?(zone: ZoneName): boolean;
  /**
   * Peers that are not asked again, over all sends of the request. The client
   * adds to them; absent where a request is sent once.
   */
  readonly spentPeers?: RequestPeers;
}

/** Peers of one request, by the address of the endpoint. */
export interface RequestPeers {
  /** Adds a peer for the endpoint at an address. */
  add(peer: HostId, address: Address): void;
  /** @returns The peers for the endpoint at an address. */
  at(address: Address): ReadonlySet<HostId>;
}

/** Reason why there is no complete response. */
export interface PassThroughFailure {
  /**
   * `not-sent`: no byte of the request left this host, or the peer that was to
   * pass it on proves that none reached the endpoint.
   */
  readonly kind: "not-sent" | "broken";
  readonly message: string;
  /**
   * Whether the connection carried nothing until its own time-out, so that the
   * endpoint may still have it open; unknown if absent.
   */
  readonly isTimedOut?: boolean;
}

/** Receives the response of an endpoint. The methods are called in order. */
export interface PassThroughListener {
  /**
   * Called when the request is about to be written to a connection.
   *
   * @param carriedCount - Number of requests that the connection has carried
   * before; `undefined` if a peer owns the connection to the endpoint.
   */
  onSent?(carriedCount?: number): void;
  /**
   * Called when the peer that was to pass on a request reported as sent proves
   * that it has not sent it. The request may be sent again afterwards.
   */
  onUnsent?(): void;
  /** Called before `onSent` when a peer is to pass the request on. */
  onRelayed?(peer: HostId): void;
  /** Called for each interim response, which has a status below 200. */
  onInterim?(): void;
  /** Called when the status and the headers have arrived. */
  onHead(status: number, headers: HeaderList): void;
  /**
   * Called for each part of the response body.
   *
   * @returns Whether more data may be delivered now; otherwise reading pauses
   * until `resume` is called.
   */
  onData(chunk: Uint8Array): boolean;
  /**
   * Called when the response is complete according to its framing. A client for
   * the responses of endpoints calls it only after the endpoint has outlived a
   * response that has no framing but the end of its connection.
   */
  onEnd(): void;
  /** Called when the request failed or the response is incomplete. */
  onFailure(failure: PassThroughFailure): void;
}

/** A request in progress. */
export interface PassThroughExchange {
  /**
   * Aborts the exchange and closes its connection. The listener is not called
   * any more.
   */
  abort(): void;
  /** Resumes reading after `onData` returned `false`. */
  resume(): void;
}

/**
 * Sends requests to endpoints. No connection carries the same request twice,
 * nor requests with an id and requests without one: an answer that names a
 * request is then about the latest send on its connection, or about another
 * request.
 */
export interface PassThroughClient {
  /**
   * Sends a request.
   *
   * @param request - The request.
   * @param listener - The receiver of the response.
   * @returns The exchange.
   */
  send(
    request: PassThroughRequest,
    listener: PassThroughListener,
  ): PassThroughExchange;
  /**
   * Closes the idle connections to an address, as when its endpoint was
   * removed.
   */
  closeIdleConnections(address: Address): void;
}

/** A client with connections that are known to carry data. */
export interface ProvenConnectionClient extends PassThroughClient {
  /**
   * Returns whether an idle connection to an address exists that has carried a
   * response since a time, and may carry a request.
   *
   * @param sinceMs - Monotonic time in milliseconds.
   * @param requestId - Id of the request, if it has one.
   */
  hasProvenConnection(
    address: Address,
    sinceMs: number,
    requestId: RequestId | undefined,
  ): boolean;
}
