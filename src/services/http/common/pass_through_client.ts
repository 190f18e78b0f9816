/** Contract for requests that are passed on to an endpoint as they are. */

import type { Address } from "../../../base/common/ids.ts";
import type { HeaderList } from "./header_list.ts";
import type { RequestBody } from "./request_body.ts";

/** A request for one endpoint. */
export interface PassThroughRequest {
  readonly address: Address;
  readonly method: string;
  /** Path with its query. */
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: RequestBody;
}

/** Why no whole answer came. */
export interface PassThroughFailure {
  /** `not-sent`: no byte of the request left this host. */
  readonly kind: "not-sent" | "broken";
  readonly message: string;
}

/** Receives the answer of an endpoint, in order. */
export interface PassThroughListener {
  /** The request is about to be written to a connection. */
  onSent?(): void;
  /** @returns Nothing; status and headers have arrived. */
  onHead(status: number, headers: HeaderList): void;
  /** @returns Whether more data is wanted now. */
  onData(chunk: Uint8Array): boolean;
  /** The answer is complete by its framing. */
  onEnd(): void;
  /** The answer never came or broke off. */
  onFailure(failure: PassThroughFailure): void;
}

/** A request on its way. */
export interface PassThroughExchange {
  /** Ends the exchange and closes its connection; the sink hears no more. */
  abort(): void;
  /** Goes on reading after `onData` returned `false`. */
  resume(): void;
}

/** Sends requests to endpoints. */
export interface PassThroughClient {
  /**
   * @param request - The request.
   * @param listener - Receives the answer.
   * @returns The exchange.
   */
  send(
    request: PassThroughRequest,
    listener: PassThroughListener,
  ): PassThroughExchange;
  /** Closes idle connections to an address, as when an endpoint has gone. */
  closeIdleConnections(address: Address): void;
}
