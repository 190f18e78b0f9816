/** Contract for one request of a caller and its answer. */

import type { Event } from "../../../base/common/event.ts";
import type { HeaderList } from "./header_list.ts";
import type { StreamedBody } from "./request_body.ts";

/** What came of reading a request's body. */
export type BodyResult =
  | { readonly kind: "whole"; readonly body: Uint8Array | undefined }
  /** Larger than what is collected; its rest is still to come. */
  | {
    readonly kind: "streamed";
    readonly body: StreamedBody;
    readonly bufferedBytes: number;
  }
  | { readonly kind: "too-large" }
  | { readonly kind: "left" };

/** How much of a body is taken. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** A larger body is passed on while it arrives. */
  readonly maxBufferedBytes: number;
}

/** How the exchange with a caller ended. */
export type ExchangeEnd = "answered" | "left";

/** A request whose head was read, and the means to answer it. */
export interface CallerExchange {
  readonly method: string;
  /** Path with its query, as received. */
  readonly target: string;
  readonly headers: HeaderList;
  /** Monotonic time at which the head was read. */
  readonly receivedMs: number;
  /** Fires once: the answer was handed over whole, or the caller has gone. */
  readonly onDidEnd: Event<ExchangeEnd>;
  /** Whether the exchange has ended. */
  readonly hasEnded: boolean;
  /** Whether the head of an answer was sent. */
  readonly hasSentHead: boolean;

  /** @param limits - How much is taken, and how much of it at once. */
  readBody(limits: BodyLimits): Promise<BodyResult>;

  /** Sends a complete answer. */
  reply(status: number, headers: HeaderList, body: Uint8Array | string): void;

  /**
   * Sends the head of an answer whose body follows in pieces.
   *
   * @param isCloseDelimited - Whether the end of the connection is to end the
   * answer, which claims nothing about its completeness.
   */
  sendHead(
    status: number,
    headers: HeaderList,
    isCloseDelimited?: boolean,
  ): void;

  /** @returns Whether more may be written now; else wait for `onDidDrain`. */
  write(chunk: Uint8Array): boolean;

  /** Fires when more may be written. */
  readonly onDidDrain: Event<void>;

  /** Ends an answer that is complete. */
  end(): void;

  /** Closes the connection, so that a partial answer never looks complete. */
  abort(): void;
}

/** Limits of what callers may send and of how long they may idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}
