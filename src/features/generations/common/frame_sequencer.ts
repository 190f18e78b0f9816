/**
 * Reorders the frames of a generation that arrive over several connections and
 * drops duplicate, unrelated and inconsistent frames.
 */

import type {
  EngineFrame,
  FinishReason,
} from "../../../services/endpoints/common/engine_client.ts";

/** A generated token and its offset within the generation. */
export interface Token {
  readonly offset: number;
  readonly text: string;
}

/** Numbers of dropped frames by reason. */
export interface DroppedFrameCounts {
  /** The token was returned or buffered before. */
  duplicate: number;
  /** The frame belongs to another generation. */
  otherGeneration: number;
  /** The token followed a gap while the buffer was full. */
  bufferFull: number;
  /** The frame contradicts an earlier frame, for example by a second end. */
  inconsistent: number;
}

const MAX_BUFFERED_TOKENS = 1_024;

/**
 * Accepts frames from any connection and returns each token exactly once, in
 * order. Tokens that follow a gap are buffered until the gap is filled.
 */
export class FrameSequencer {
  readonly #generation: string;
  readonly #buffered = new Map<number, string>();
  readonly #dropped: DroppedFrameCounts = {
    duplicate: 0,
    otherGeneration: 0,
    bufferFull: 0,
    inconsistent: 0,
  };
  #nextOffset: number;
  #hasReturnedTokens = false;
  #endOffset: number | undefined;
  #finish: FinishReason | undefined;

  /**
   * @param generation - Id of the generation; frames of others are dropped.
   * @param nextOffset - Offset of the first token to return.
   */
  constructor(generation: string, nextOffset: number) {
    this.#generation = generation;
    this.#nextOffset = nextOffset;
  }

  /** Offset of the next token to return. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /**
   * Finish reason of the generation, or `undefined` until all of its tokens
   * have been returned.
   */
  get finish(): FinishReason | undefined {
    return this.#endOffset !== undefined && this.#nextOffset >= this.#endOffset
      ? this.#finish
      : undefined;
  }

  /** Numbers of frames dropped so far. */
  get droppedCounts(): Readonly<DroppedFrameCounts> {
    return this.#dropped;
  }

  /** Whether a token is missing before a buffered token or before the end. */
  get hasGap(): boolean {
    return this.#buffered.size > 0 ||
      (this.#endOffset !== undefined && this.#nextOffset < this.#endOffset);
  }

  /**
   * Processes frames in order of arrival.
   *
   * @param frames - Frames received over one connection.
   * @returns The tokens that became deliverable, in order.
   */
  accept(frames: readonly EngineFrame[]): Token[] {
    const deliverable: Token[] = [];
    for (const frame of frames) {
      if (frame.generation !== this.#generation) {
        this.#dropped.otherGeneration++;
      } else if (frame.kind === "end") {
        this.#acceptEnd(frame.offset, frame.finish);
      } else {
        this.#acceptToken(frame.offset, frame.text, deliverable);
      }
    }
    return deliverable;
  }

  #acceptEnd(offset: number, finish: FinishReason): void {
    const hasEnd = this.#endOffset !== undefined;
    const isBeforeReturnedTokens = offset < this.#nextOffset && !hasEnd &&
      this.#hasReturnedTokens;
    if (isBeforeReturnedTokens || (hasEnd && this.#endOffset !== offset)) {
      this.#dropped.inconsistent++;
      return;
    }
    this.#endOffset = offset;
    this.#finish ??= finish;
  }

  #acceptToken(offset: number, text: string, deliverable: Token[]): void {
    if (this.#endOffset !== undefined && offset >= this.#endOffset) {
      this.#dropped.inconsistent++;
      return;
    }
    if (offset < this.#nextOffset || this.#buffered.has(offset)) {
      this.#dropped.duplicate++;
      return;
    }
    if (offset > this.#nextOffset) {
      this.#bufferOutOfOrder(offset, text);
      return;
    }
    deliverable.push({ offset, text });
    this.#nextOffset++;
    this.#hasReturnedTokens = true;
    this.#drainBuffer(deliverable);
  }

  #bufferOutOfOrder(offset: number, text: string): void {
    if (this.#buffered.size >= MAX_BUFFERED_TOKENS) this.#dropped.bufferFull++;
    else this.#buffered.set(offset, text);
  }

  #drainBuffer(deliverable: Token[]): void {
    if (this.#buffered.size === 0) return;
    let text = this.#buffered.get(this.#nextOffset);
    while (text !== undefined) {
      this.#buffered.delete(this.#nextOffset);
      deliverable.push({ offset: this.#nextOffset, text });
      this.#nextOffset++;
      text = this.#buffered.get(this.#nextOffset);
    }
  }
}
