/** Bodies of requests on their way from a caller to an endpoint. */

/** A body that is passed on while it arrives, and so can be sent only once. */
export interface StreamedBody {
  /** Its size if the caller has told it. */
  readonly sizeBytes: number | undefined;
  /** Whether somebody has begun to read it. */
  readonly isConsumed: boolean;
  /** Whether it proved larger than allowed; it ends with an error then. */
  readonly isTooLarge: boolean;
  /** @returns Its bytes, as fast as they are taken; to be called once. */
  chunks(): AsyncIterable<Uint8Array>;
}

/** A body: all of it, as it arrives, or none. */
export type RequestBody = Uint8Array | StreamedBody | undefined;

/**
 * @param body - A body.
 * @returns Whether it is passed on while it arrives.
 */
export function isStreamed(body: RequestBody): body is StreamedBody {
  return body !== undefined && !(body instanceof Uint8Array);
}
