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
  const toldBytes = headers["content-length"] === undefined
    ? undefined
    : Number(headers["content-length"]);
  if ((toldBytes ?? 0) > limits.maxBytes) return { kind: "too-large" };
  // A request that is left half read must still take its answer.
  const iterator = request.iterator({
    destroyOnReturn: false,
  }) as AsyncIterator<
    Buffer
  >;
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for (;;) {
      const { done, value } = await iterator.next();
      if (done) break;
      chunks.push(value);
      sizeBytes += value.length;
      if (sizeBytes > limits.maxBytes) return { kind: "too-large" };
      if (sizeBytes > limits.collectedBytes) {
        const first = Buffer.concat(chunks);
        return {
          kind: "streamed",
          collectedBytes: sizeBytes,
          body: new IncomingBody(first, iterator, toldBytes, limits.maxBytes),
        };
      }
    }
  } catch {
    // The only error of the request stream is that its caller has gone.
    return { kind: "left" };
  }
  const hasBody = chunks.length > 0 || toldBytes !== undefined ||
    headers["transfer-encoding"] !== undefined;
  return { kind: "whole", body: hasBody ? Buffer.concat(chunks) : undefined };
}

class IncomingBody implements StreamedBody {
  readonly sizeBytes: number | undefined;
  readonly #first: Buffer;
  readonly #rest: AsyncIterator<Buffer>;
  readonly #maxBytes: number;
  #isTaken = false;
  #isTooLarge = false;

  constructor(
    first: Buffer,
    rest: AsyncIterator<Buffer>,
    sizeBytes: number | undefined,
    maxBytes: number,
  ) {
    this.#first = first;
    this.#rest = rest;
    this.sizeBytes = sizeBytes;
    this.#maxBytes = maxBytes;
  }

  get isTaken(): boolean {
    return this.#isTaken;
  }

  get isTooLarge(): boolean {
    return this.#isTooLarge;
  }

  async *chunks(): AsyncGenerator<Uint8Array> {
    this.#isTaken = true;
    let sizeBytes = this.#first.length;
    yield this.#first;
    for (;;) {
      const { done, value } = await this.#rest.next();
      if (done) return;
      sizeBytes += value.length;
      if (sizeBytes > this.#maxBytes) {
        this.#isTooLarge = true;
        throw new Error(`the body is larger than ${this.#maxBytes} bytes`);
      }
      yield value;
    }
  }
}
