/**
 * Reads the body of an incoming request. A small body is read completely; a
 * larger one is streamed to the endpoint while it arrives.
 */

import type { IncomingMessage } from "node:http";
import type { BodyLimits, BodyResult } from "../common/caller_exchange.ts";
import type { StreamedBody } from "../common/request_body.ts";

/**
 * @param request - A request whose head has been read.
 * @param limits - The largest accepted size and the largest size that is
 * buffered.
 * @returns The body, or the reason why there is none.
 */
export async function readIncomingBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<BodyResult> {
  const { headers } = request;
  const declaredBytes = headers["content-length"] === undefined
    ? undefined
    : Number(headers["content-length"]);
  if ((declaredBytes ?? 0) > limits.maxBytes) return { kind: "too-large" };
  // Ending the iteration must not destroy the request: a partly read request
  // still has to receive its response.
  const iterator = request.iterator({
    destroyOnReturn: false,
  }) as AsyncIterator<
    Buffer
  >;
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  try {
    for (;;) {
      const { done, value } = await iterator.next();
      if (done) break;
      chunks.push(value);
      receivedBytes += value.length;
      if (receivedBytes > limits.maxBytes) return { kind: "too-large" };
      // With its last byte the body is whole, so that a part of it never is.
      if (receivedBytes === declaredBytes) continue;
      if (receivedBytes > limits.maxBufferedBytes) {
        const buffered = Buffer.concat(chunks);
        return {
          kind: "streamed",
          bufferedBytes: receivedBytes,
          body: new IncomingStreamedBody(
            buffered,
            iterator,
            declaredBytes,
            limits.maxBytes,
          ),
        };
      }
    }
  } catch {
    // The request stream fails only if the caller has disconnected.
    return { kind: "left" };
  }
  const hasBody = chunks.length > 0 || declaredBytes !== undefined ||
    headers["transfer-encoding"] !== undefined;
  return { kind: "whole", body: hasBody ? Buffer.concat(chunks) : undefined };
}

class IncomingStreamedBody implements StreamedBody {
  readonly sizeBytes: number | undefined;
  readonly #buffered: Buffer;
  readonly #remainder: AsyncIterator<Buffer>;
  readonly #maxBytes: number;
  #readerCount = 0;
  /** Number of the reader that has read more than the head. */
  #reader: number | undefined;
  #isTooLarge = false;

  constructor(
    buffered: Buffer,
    remainder: AsyncIterator<Buffer>,
    sizeBytes: number | undefined,
    maxBytes: number,
  ) {
    this.#buffered = buffered;
    this.#remainder = remainder;
    this.sizeBytes = sizeBytes;
    this.#maxBytes = maxBytes;
  }

  get head(): Uint8Array {
    return this.#buffered;
  }

  get isConsumed(): boolean {
    return this.#reader !== undefined;
  }

  get isTooLarge(): boolean {
    return this.#isTooLarge;
  }

  chunks(): AsyncGenerator<Uint8Array> {
    return this.#read(++this.#readerCount);
  }

  async *#read(reader: number): AsyncGenerator<Uint8Array> {
    this.#checkReader(reader);
    let passedOnBytes = this.#buffered.length;
    yield this.#buffered;
    for (;;) {
      this.#checkReader(reader);
      this.#reader = reader;
      const { done, value } = await this.#remainder.next();
      if (done) return;
      passedOnBytes += value.length;
      if (passedOnBytes > this.#maxBytes) {
        this.#isTooLarge = true;
        throw new Error(`the request body exceeds ${this.#maxBytes} bytes`);
      }
      yield value;
    }
  }

  /** Two readers would each get parts of the body. */
  #checkReader(reader: number): void {
    const isLatest = reader === this.#readerCount;
    if (isLatest && (this.#reader ?? reader) === reader) return;
    throw new Error("the request body is read elsewhere");
  }
}
