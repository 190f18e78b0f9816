/** Reads the body of a request: whole if it is small, else as it is passed on. */

import type { IncomingMessage } from "node:http";
import type { BodyLimits, BodyResult } from "../common/caller_exchange.ts";
import type { StreamedBody } from "../common/request_body.ts";

/**
 * @param request - A request whose head was read.
 * @param limits - How much is taken, and how much of it at once.
 * @returns The body.
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
  // A request that is left half read must still take its answer.
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
    // The only error of the request stream is that its caller has gone.
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
  #isConsumed = false;
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

  get isConsumed(): boolean {
    return this.#isConsumed;
  }

  get isTooLarge(): boolean {
    return this.#isTooLarge;
  }

  async *chunks(): AsyncGenerator<Uint8Array> {
    this.#isConsumed = true;
    let passedOnBytes = this.#buffered.length;
    yield this.#buffered;
    for (;;) {
      const { done, value } = await this.#remainder.next();
      if (done) return;
      passedOnBytes += value.length;
      if (passedOnBytes > this.#maxBytes) {
        this.#isTooLarge = true;
        throw new Error(`the body is larger than ${this.#maxBytes} bytes`);
      }
      yield value;
    }
  }
}
