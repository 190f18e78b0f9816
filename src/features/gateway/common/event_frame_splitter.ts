/** Cuts a stream of server-sent events into whole events, byte for byte. */

/** One event as it was received. */
export interface EventFrame {
  /** All its bytes with the blank line that ends it. */
  readonly bytes: Uint8Array;
  /** Value of its `id` field, if it has one. */
  readonly id: string | undefined;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/**
 * Collects bytes until an event is whole. The bytes are passed on unchanged,
 * which a parser of the event format could not do.
 */
export class EventFrameSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /**
   * @param chunk - The next bytes.
   * @returns The events that are whole by now.
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
      frames.push({ bytes, id: readEventId(bytes) });
      start = end;
    }
    // A copy, so that the chunk's buffer is not kept for a few bytes.
    this.#pending = Buffer.from(this.#pending.subarray(start));
    return frames;
  }
}

/** @returns Position behind the blank line that ends an event, or -1. */
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

function readEventId(bytes: Buffer): string | undefined {
  const text = bytes.toString("latin1");
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(text);
  return match?.[1];
}
