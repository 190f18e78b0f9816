/** A caller that gets a generation as server-sent events. */

import type { FastifyReply } from "fastify";
import type { Clock } from "../../base/common/clock.ts";
import type { GenerationId } from "../../base/common/ids.ts";
import type { Token } from "../../features/generations/common/frame_sequencer.ts";
import type {
  GenerationHandle,
  GenerationListener,
  GenerationResult,
} from "../../features/generations/common/generation_service.ts";
import { toProblemBody } from "../../services/outcomes/common/failure.ts";
import {
  CompletionChunkFormatter,
  type CompletionKind,
  formatErrorEvent,
} from "../common/openai_format.ts";
import { REQUEST_ID_HEADER, sendProblem } from "./problem_reply.ts";

const HTTP_OK = 200;

/** What an answer says of its request. */
export interface CompletionContext {
  readonly kind: CompletionKind;
  readonly model: string;
  readonly clock: Clock;
}

/** Writes each token to the caller's connection as soon as it is there. */
export class SseCaller implements GenerationListener {
  readonly #reply: FastifyReply;
  readonly #context: CompletionContext;
  #formatter: CompletionChunkFormatter | undefined;

  /**
   * @param reply - The reply; nothing has been sent on it.
   * @param context - What the answer says of its request.
   */
  constructor(reply: FastifyReply, context: CompletionContext) {
    this.#reply = reply;
    this.#context = context;
  }

  /** Ties the connection's flow control and its end to a generation. */
  attach(handle: GenerationHandle): void {
    const { raw } = this.#reply;
    raw.on("drain", () => handle.resumeReading());
    raw.on("close", () => {
      if (!raw.writableFinished) handle.onCallerDisconnected();
    });
  }

  /** {@inheritDoc GenerationListener.onStarted} */
  onStarted(id: GenerationId): void {
    if (this.#formatter) return;
    const { kind, model, clock } = this.#context;
    this.#formatter = new CompletionChunkFormatter({
      kind,
      id,
      model,
      createdMs: clock.nowMs(),
    });
    this.#reply.hijack();
    const { raw } = this.#reply;
    raw.writeHead(HTTP_OK, {
      [REQUEST_ID_HEADER]: this.#reply.request.id,
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-ragwort-generation": id,
    });
    raw.flushHeaders();
  }

  /** {@inheritDoc GenerationListener.onTokens} */
  onTokens(tokens: readonly Token[]): boolean {
    return this.#reply.raw.write(this.#formatter?.formatTokens(tokens) ?? "");
  }

  /** {@inheritDoc GenerationListener.onEnded} */
  onEnded(end: GenerationResult): void {
    if (!this.#formatter) {
      if (end.kind === "failed") sendProblem(this.#reply, end.failure);
      else this.#reply.raw.destroy();
      return;
    }
    this.#reply.raw.end(
      end.kind === "completed"
        ? this.#formatter.formatEnd(end.finish)
        : formatErrorEvent(toProblemBody(end.failure)),
    );
  }
}
