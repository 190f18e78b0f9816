/** Puts a generation's frames in order and drops what does not belong. */

import type {
  EngineFrame,
  FinishReason,
} from "../../../services/endpoints/common/engine_client.ts";

/** A token with its place in the generation. */
export interface Token {
  readonly offset: number;
  readonly text: string;
}

/** Why frames were dropped. */
export interface DroppedFrameCounts {
  duplicate: number;
  otherGeneration: number;
  bufferFull: number;
  /** Contradicts what the engine has sent before. */
  inconsistent: number;
}

const MAX_BUFFERED_TOKENS = 1_024;

/**
 * Accepts frames of any connection and yields each token once, in order. Frames
 * ahead of a gap wait until the gap is filled.
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
   * @param generation - Id whose frames are wanted.
   * @param nextOffset - Offset of the first wanted token.
   */
  constructor(generation: string, nextOffset: number) {
    this.#generation = generation;
    this.#nextOffset = nextOffset;
  }

  /** Offset of the next token to deliver. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** How the generation ended, once every token before its end was yielded. */
  get finish(): FinishReason | undefined {
    return this.#endOffset !== undefined && this.#nextOffset >= this.#endOffset
      ? this.#finish
      : undefined;
  }

  /** Counts of dropped frames. */
  get droppedCounts(): Readonly<DroppedFrameCounts> {
    return this.#dropped;
  }

  /** Whether frames wait behind a gap. */
  get hasGap(): boolean {
    return this.#buffered.size > 0 ||
      (this.#endOffset !== undefined && this.#nextOffset < this.#endOffset);
  }

  /**
   * Takes frames in order of arrival.
   *
   * @param frames - Frames of one connection.
   * @returns The tokens that can be delivered now.
   */
  accept(frames: readonly EngineFrame[]): Token[] {
    const ready: Token[] = [];
    for (const frame of frames) {
      if (frame.generation !== this.#generation) {
        this.#dropped.otherGeneration++;
      } else if (frame.kind === "end") {
        this.#acceptEnd(frame.offset, frame.finish);
      } else {
        this.#acceptToken(frame.offset, frame.text, ready);
      }
    }
    return ready;
  }

  #acceptEnd(offset: number, finish: FinishReason): void {
    const isKnown = this.#endOffset !== undefined;
    const isTooEarly = offset < this.#nextOffset && !isKnown &&
      this.#hasReturnedTokens;
    if (isTooEarly || (isKnown && this.#endOffset !== offset)) {
      this.#dropped.inconsistent++;
      return;
    }
    this.#endOffset = offset;
    this.#finish ??= finish;
  }

  #acceptToken(offset: number, text: string, ready: Token[]): void {
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
    ready.push({ offset, text });
    this.#nextOffset++;
    this.#hasReturnedTokens = true;
    this.#drainBuffer(ready);
  }

  #bufferOutOfOrder(offset: number, text: string): void {
    if (this.#buffered.size >= MAX_BUFFERED_TOKENS) this.#dropped.bufferFull++;
    else this.#buffered.set(offset, text);
  }

  #drainBuffer(ready: Token[]): void {
    if (this.#buffered.size === 0) return;
    let text = this.#buffered.get(this.#nextOffset);
    while (text !== undefined) {
      this.#buffered.delete(this.#nextOffset);
      ready.push({ offset: this.#nextOffset, text });
      this.#nextOffset++;
      text = this.#buffered.get(this.#nextOffset);
    }
  }
}
