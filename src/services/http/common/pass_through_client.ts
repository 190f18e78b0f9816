/**
 * Contract of the client that passes requests on to endpoints without changing
 * them.
 */

import type { Address } from "../../../base/common/ids.ts";
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
}

/** Reason why there is no complete response. */
export interface PassThroughFailure {
  /** `not-sent`: no byte of the request left this host. */
  readonly kind: "not-sent" | "broken";
  readonly message: string;
}

/** Receives the response of an endpoint. The methods are called in order. */
export interface PassThroughListener {
  /** Called when the request is about to be written to a connection. */
  onSent?(): void;
  /** Called when the status and the headers have arrived. */
  onHead(status: number, headers: HeaderList): void;
  /**
   * Called for each part of the response body.
   *
   * @returns Whether more data may be delivered now; otherwise reading pauses
   * until `resume` is called.
   */
  onData(chunk: Uint8Array): boolean;
  /** Called when the response is complete according to its framing. */
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

/** Sends requests to endpoints. */
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
