/**
 * Reads the body of an incoming request. A small body is read completely; a
 * larger one is streamed to the endpoint while it arrives.
 */

import type { IncomingMessage } from "node:http";
import type { BodyReservation } from "../common/body_budget.ts";
import type { BodyLimits, BodyResult } from "../common/caller_exchange.ts";
import type { StreamedBody } from "../common/request_body.ts";
import { BodyBuffer } from "./body_buffer.ts";

/** Largest part in which the HTTP parser delivers a body, in bytes. */
const MAX_PART_BYTES = 65_536;

/**
 * @param request - A request whose head has been read.
 * @param limits - The largest accepted size and the largest size that is
 * buffered.
 * @param reservation - Memory of the body; disposed of when the request ends.
 * @returns The body, or the reason why there is none.
 */
export async function readIncomingBody(
  request: IncomingMessage,
  limits: BodyLimits,
  reservation: BodyReservation,
): Promise<BodyResult> {
  const { headers } = request;
  const declaredBytes = headers["content-length"] === undefined
    ? undefined
    : Number(headers["content-length"]);
  if ((declaredBytes ?? 0) > limits.maxBytes) return { kind: "too-large" };
  const expectedBytes = Math.min(
    declaredBytes ?? 0,
    limits.maxBufferedBytes + MAX_PART_BYTES,
  );
  if (!reservation.tryGrowTo(expectedBytes)) return { kind: "no-room" };
  // Ending the iteration must not destroy the request: a partly read request
  // still has to receive its response.
  const iterator = request.iterator({
    destroyOnReturn: false,
  }) as AsyncIterator<
    Buffer
  >;
  const buffer = new BodyBuffer(expectedBytes);
  const stop = async (
    kind: Exclude<BodyResult["kind"], "whole" | "streamed">,
  ): Promise<BodyResult> => {
    reservation.shrinkTo(0);
    // What is not read of the body can be discarded only after the iteration.
    await iterator.return?.();
    if (reservation.isDisposed) request.resume();
    return { kind };
  };
  try {
    for (;;) {
      const { done, value } = await iterator.next();
      // The response was sent, or the caller has disconnected.
      if (reservation.isDisposed) return await stop("left");
      if (done) break;
      const isFitting = buffer.sizeBytes + value.length <= limits.maxBytes;
      if (!isFitting) return await stop("too-large");
      if (!reservation.tryGrowTo(buffer.capacityWith(value.length))) {
        return await stop("no-room");
      }
      buffer.append(value);
      // With its last byte the body is whole, so that a part of it never is.
      if (buffer.sizeBytes === declaredBytes) continue;
      if (buffer.sizeBytes > limits.maxBufferedBytes) {
        const buffered = join(buffer, reservation);
        if (!buffered) return await stop("no-room");
        return {
          kind: "streamed",
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
  const hasBody = buffer.sizeBytes > 0 || declaredBytes !== undefined ||
    headers["transfer-encoding"] !== undefined;
  if (!hasBody) return { kind: "whole", body: undefined };
  const body = join(buffer, reservation);
  if (!body) reservation.shrinkTo(0);
  return body ? { kind: "whole", body } : { kind: "no-room" };
}

/** Returns the body in one piece, unless there is no memory to join its parts. */
function join(
  buffer: BodyBuffer,
  reservation: BodyReservation,
): Buffer | undefined {
  if (!buffer.isSplit) return buffer.join();
  const { sizeBytes } = buffer;
  const isReserved = reservation.tryGrowTo(
    buffer.capacityWith(0) + sizeBytes,
  );
  if (!isReserved) return undefined;
  const joined = buffer.join();
  reservation.shrinkTo(sizeBytes);
  return joined;
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
