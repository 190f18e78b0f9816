/**
 * Splits a stream of server-sent events into complete events without changing a
 * byte.
 */

/** One event as received. */
export interface EventFrame {
  /** All bytes of the event, including the blank line that ends it. */
  readonly bytes: Uint8Array;
  /** Value of the `id` field, if there is one. */
  readonly id: string | undefined;
  /** Whether it has a `data` field; without one it is only a comment. */
  readonly hasData: boolean;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/**
 * Buffers bytes until an event is complete. The bytes are kept as received,
 * which a parser of the event format would not ensure.
 */
export class EventFrameSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Size of the buffered incomplete event, in bytes. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - The next bytes.
   * @returns The events that are now complete.
   */
  push(chunk: Uint8Array): EventFrame[] {
    this.#pending = this.#pending.length === 0
      ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
      : Buffer.concat([this.#pending, chunk]);
    const frames: EventFrame[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(this.#pending, start);
      if (end < 0) break;
      const bytes = this.#pending.subarray(start, end);
      frames.push({ bytes, ...readFields(bytes) });
      start = end;
    }
    // Copied so that a few bytes do not keep the whole chunk's buffer alive.
    this.#pending = Buffer.from(this.#pending.subarray(start));
    return frames;
  }
}

/**
 * @returns Offset after the blank line that ends an event, or -1 if none is
 * complete.
 */
function findEventEnd(bytes: Buffer, start: number): number {
  let position = bytes.indexOf(LINE_FEED, start);
  while (position >= 0) {
    let next = position + 1;
    if (bytes[next] === CARRIAGE_RETURN) next++;
    if (bytes[next] === LINE_FEED) return next + 1;
    position = bytes.indexOf(LINE_FEED, position + 1);
  }
  return -1;
}

function readFields(bytes: Buffer): Omit<EventFrame, "bytes"> {
  const text = bytes.toString("latin1");
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(text);
  return { id: match?.[1], hasData: /(?:^|\n)data[:\r\n]/.test(text) };
}
