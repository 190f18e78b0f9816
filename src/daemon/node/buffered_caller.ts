/** A caller that gets a generation as one JSON body. */

import type { FastifyReply } from "fastify";
import type { GenerationId } from "../../base/common/ids.ts";
import type { Token } from "../../features/generations/common/frame_sequencer.ts";
import type {
  GenerationHandle,
  GenerationListener,
  GenerationResult,
} from "../../features/generations/common/generation_service.ts";
import { formatCompletion } from "../common/openai_format.ts";
import { sendProblem } from "./problem_reply.ts";
import type { CompletionContext } from "./sse_caller.ts";

/** Collects the tokens and sends the whole answer. */
export class BufferedCaller implements GenerationListener {
  readonly #reply: FastifyReply;
  readonly #context: CompletionContext;
  readonly #texts: string[] = [];
  #id: GenerationId | undefined;

  /**
   * @param reply - The reply; nothing has been sent on it.
   * @param context - What the answer says of its request.
   */
  constructor(reply: FastifyReply, context: CompletionContext) {
    this.#reply = reply;
    this.#context = context;
  }

  /** Ties the end of the connection to a generation. */
  attach(handle: GenerationHandle): void {
    const { raw } = this.#reply;
    raw.on("close", () => {
      if (!raw.writableFinished) handle.onCallerDisconnected();
    });
  }

  /** {@inheritDoc GenerationListener.onStarted} */
  onStarted(id: GenerationId): void {
    this.#id = id;
    this.#reply.header("x-ragwort-generation", id);
  }

  /** {@inheritDoc GenerationListener.onTokens} */
  onTokens(tokens: readonly Token[]): boolean {
    for (const token of tokens) this.#texts.push(token.text);
    return true;
  }

  /** {@inheritDoc GenerationListener.onEnded} */
  onEnded(end: GenerationResult): void {
    if (end.kind === "failed") {
      sendProblem(this.#reply, end.failure);
      return;
    }
    const { kind, model, clock } = this.#context;
    const head = { kind, id: this.#id!, model, createdMs: clock.nowMs() };
    const text = this.#texts.join("");
    void this.#reply
      .type("application/json")
      .send(formatCompletion(head, text, end.finish, end.tokenCount));
  }
}
