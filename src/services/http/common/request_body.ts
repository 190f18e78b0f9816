/** Request bodies that are passed on from a caller to an endpoint. */

/**
 * A body that is passed on while it arrives. It can be sent again only until
 * more than its head has been read.
 */
export interface StreamedBody {
  /** Size in bytes, if the caller has declared it. */
  readonly sizeBytes: number | undefined;
  /** The bytes that had arrived when the body was found too large to buffer. */
  readonly head: Uint8Array;
  /**
   * Whether something after the head has been read, which cannot be read again.
   */
  readonly isConsumed: boolean;
  /**
   * Whether the body turned out to be larger than allowed; it then ends with an
   * error.
   */
  readonly isTooLarge: boolean;
  /**
   * Reads the body with backpressure, the head first. Must not be called once
   * the body is consumed. A new reader makes the next read of earlier ones fail.
   *
   * @returns The bytes of the body.
   */
  chunks(): AsyncIterable<Uint8Array>;
}

/** A buffered body, a streamed body, or no body. */
export type RequestBody = Uint8Array | StreamedBody | undefined;

/**
 * @param body - A request body.
 * @returns Whether the body is streamed.
 */
export function isStreamed(body: RequestBody): body is StreamedBody {
  return body !== undefined && !(body instanceof Uint8Array);
}
