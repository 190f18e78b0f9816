/** State of one generation inside the simulated engine. */

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

/** Receives the frames of one generation over one connection. */
export interface FrameListener {
  onFrames(frames: readonly EngineFrame[]): void;
  /** Called when the engine closes the connection or the connection breaks. */
  onClosed(reason: "closed" | "broken"): void;
}

/** Scheduling state of a sequence. */
export type SequenceState = "queued" | "running" | "ended";

/** Request and its generated output. */
export class Sequence {
  readonly request: EngineRequest;
  readonly promptTokens: number;
  /** Whether running the sequence crashes the engine. */
  readonly isPoison: boolean;
  readonly blockHashes: readonly string[];
  readonly lengthTokens: number;
  readonly arrivalOrder: number;
  readonly listeners = new Set<FrameListener>();
  state: SequenceState = "queued";
  generatedTokens = 0;
  /** Number of tokens whose memory is shared through the prefix cache. */
  cachedTokens = 0;
  preemptions = 0;
  finish: FinishReason | undefined;

  /**
   * @param request - Request to generate.
   * @param lengthTokens - Number of tokens to generate.
   * @param arrivalOrder - Position in the order of arrival.
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

  /** Memory that the sequence occupies while it runs, in tokens. */
  get memoryTokens(): number {
    return this.promptTokens + this.generatedTokens - this.cachedTokens;
  }

  /** Generates the next token and sends it to the listeners. */
  generateToken(): void {
    const frame = this.#tokenFrame(this.generatedTokens);
    this.generatedTokens++;
    for (const listener of this.listeners) listener.onFrames([frame]);
  }

  /** Ends the sequence and notifies the listeners. */
  end(finish: FinishReason): void {
    this.state = "ended";
    this.finish = finish;
    const frames = [this.#endFrame()];
    for (const listener of this.listeners) {
      listener.onFrames(frames);
      listener.onClosed("closed");
    }
    this.listeners.clear();
  }

  /** Breaks the connections of all listeners. */
  breakConnections(): void {
    for (const listener of this.listeners) listener.onClosed("broken");
    this.listeners.clear();
  }

  /**
   * Sends the output from an offset to a listener and adds it as a receiver of
   * further frames.
   */
  attach(listener: FrameListener, fromOffset: number): void {
    const frames: EngineFrame[] = [];
    for (let offset = fromOffset; offset < this.generatedTokens; offset++) {
      frames.push(this.#tokenFrame(offset));
    }
    if (this.state === "ended") frames.push(this.#endFrame());
    if (frames.length > 0) listener.onFrames(frames);
    if (this.state === "ended") listener.onClosed("closed");
    else this.listeners.add(listener);
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
