/** Contract of one exchange with a caller: its request and the response. */

import type { Event } from "../../../base/common/event.ts";
import type { BodyBudget } from "./body_budget.ts";
import type { HeaderList } from "./header_list.ts";
import type { StreamedBody } from "./request_body.ts";

/** Result of reading a request body. */
export type BodyResult =
  | { readonly kind: "whole"; readonly body: Uint8Array | undefined }
  /** Larger than the buffer limit; the rest has not been read yet. */
  | {
    readonly kind: "streamed";
    readonly body: StreamedBody;
  }
  | { readonly kind: "too-large" }
  /** The bodies of other requests use the memory. */
  | { readonly kind: "no-room" }
  /** The caller has disconnected, or has its response. */
  | { readonly kind: "left" };

/** Limits for reading a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /**
   * Largest size that is buffered; a larger body is streamed while it arrives.
   */
  readonly maxBufferedBytes: number;
  /** Memory of the bodies of all requests; not limited if absent. */
  readonly budget?: BodyBudget;
}

/** How an exchange ended; `left` means that the caller disconnected. */
export type ExchangeEnd = "answered" | "left";

/** A request whose head has been read, with the methods to respond to it. */
export interface CallerExchange {
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  readonly headers: HeaderList;
  /** Monotonic time at which the request head was read. */
  readonly receivedMs: number;
  /**
   * Fires once, when the response was handed over completely or the caller has
   * disconnected.
   */
  readonly onDidEnd: Event<ExchangeEnd>;
  /** Whether the exchange has ended. */
  readonly hasEnded: boolean;
  /** Whether the response head has been sent. */
  readonly hasSentHead: boolean;

  /**
   * Reads the request body. Its memory is reserved before it arrives, or while
   * it does if the caller does not declare its size, until the exchange ends.
   *
   * @param limits - The largest accepted size, the largest size that is
   * buffered, and the memory for bodies.
   */
  readBody(limits: BodyLimits): Promise<BodyResult>;

  /** Tells the caller that its request is being processed. */
  acknowledge(): void;

  /** Sends a complete response. */
  reply(status: number, headers: HeaderList, body: Uint8Array | string): void;

  /**
   * Sends the head of a response whose body follows in parts. A response
   * without a length is sent in chunks if the caller's HTTP version has them:
   * when this process is killed, its connections end as after a complete
   * response.
   */
  sendHead(status: number, headers: HeaderList): void;

  /**
   * @returns Whether more data may be written now; otherwise the writer has to
   * wait for `onDidDrain`.
   */
  write(chunk: Uint8Array): boolean;

  /** Fires when more data may be written. */
  readonly onDidDrain: Event<void>;

  /** Ends a complete response. */
  end(): void;

  /**
   * Closes the connection, so that a partial response never appears complete.
   */
  abort(): void;
}

/** Limits on the size of requests and on the time that callers may be idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}
