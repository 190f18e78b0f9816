/** One generation inside the stand-in engine. */

import type {
  EngineFrame,
  EngineRequest,
  FinishReason,
} from "../../src/services/endpoints/common/engine_client.ts";
import { hashPromptBlocks } from "../../src/services/endpoints/common/prompt_blocks.ts";
import {
  countPromptTokens,
  POISON_MARKER,
  tokenText,
} from "./engine_options.ts";

/** Reads the frames of one generation over one connection. */
export interface FrameListener {
  onFrames(frames: readonly EngineFrame[]): void;
  /** The engine closed or broke the connection. */
  onClosed(reason: "closed" | "broken"): void;
}

/** State of a sequence. */
export type SequenceState = "queued" | "running" | "ended";

/** A request with what has been generated for it. */
export class Sequence {
  readonly request: EngineRequest;
  readonly promptTokens: number;
  /** Whether the engine crashes when it runs the sequence. */
  readonly isPoison: boolean;
  readonly blockHashes: readonly string[];
  readonly lengthTokens: number;
  readonly arrivalOrder: number;
  readonly listeners = new Set<FrameListener>();
  state: SequenceState = "queued";
  generatedTokens = 0;
  /** Tokens whose memory is shared through the prefix cache. */
  cachedTokens = 0;
  preemptions = 0;
  finish: FinishReason | undefined;

  /**
   * @param request - The request.
   * @param lengthTokens - Number of tokens to generate.
   * @param arrivalOrder - Place in the order of arrival.
   */
  constructor(
    request: EngineRequest,
    lengthTokens: number,
    arrivalOrder: number,
  ) {
    this.request = request;
    this.lengthTokens = lengthTokens;
    this.arrivalOrder = arrivalOrder;
    this.promptTokens = countPromptTokens(request.prompt);
    this.isPoison = request.prompt.includes(POISON_MARKER);
    this.blockHashes = hashPromptBlocks(request.prompt);
  }

  /** Memory that the sequence holds while it runs, in tokens. */
  get memoryTokens(): number {
    return this.promptTokens + this.generatedTokens - this.cachedTokens;
  }

  /** Generates the next token and passes it to the readers. */
  generateToken(): void {
    const frame = this.#tokenFrame(this.generatedTokens);
    this.generatedTokens++;
    for (const reader of this.listeners) reader.onFrames([frame]);
  }

  /** Ends the sequence and tells the readers. */
  end(finish: FinishReason): void {
    this.state = "ended";
    this.finish = finish;
    const frames = [this.#endFrame()];
    for (const reader of this.listeners) {
      reader.onFrames(frames);
      reader.onClosed("closed");
    }
    this.listeners.clear();
  }

  /** Breaks the connections of all readers. */
  breakConnections(): void {
    for (const reader of this.listeners) reader.onClosed("broken");
    this.listeners.clear();
  }

  /** Lets a reader catch up from an offset and follow. */
  attach(reader: FrameListener, fromOffset: number): void {
    const frames: EngineFrame[] = [];
    for (let offset = fromOffset; offset < this.generatedTokens; offset++) {
      frames.push(this.#tokenFrame(offset));
    }
    if (this.state === "ended") frames.push(this.#endFrame());
    if (frames.length > 0) reader.onFrames(frames);
    if (this.state === "ended") reader.onClosed("closed");
    else this.listeners.add(reader);
  }

  #tokenFrame(offset: number): EngineFrame {
    const generation = this.request.id;
    return {
      kind: "token",
      generation,
      offset,
      text: tokenText(generation, offset),
    };
  }

  #endFrame(): EngineFrame {
    return {
      kind: "end",
      generation: this.request.id,
      offset: this.generatedTokens,
      finish: this.finish ?? "stop",
    };
  }
}
