/** Requests and answers in the form that OpenAI clients use. */

import * as z from "zod";
import type { GenerationId } from "../../base/common/ids.ts";
import { type Either, Left, Right } from "../../base/common/result.ts";
import type { Token } from "../../features/generations/common/frame_sequencer.ts";
import type { FinishReason } from "../../services/endpoints/common/engine_client.ts";
import { type ProblemBody } from "../../services/outcomes/common/failure.ts";

const MS_PER_SECOND = 1_000;
const MAX_MESSAGES = 10_000;

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal("text"), text: z.string() })),
  z.null(),
]);

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.literal(1, "must be 1; one answer is given to a request").nullish(),
};

const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({
    role: z.string(),
    content: contentSchema.optional(),
  })).min(1).max(MAX_MESSAGES),
});

const completionSchema = z.looseObject({
  ...commonFields,
  prompt: z.string(),
});

/** Which of the two OpenAI calls a request is. */
export type CompletionKind = "chat" | "text";

/** A checked request of either kind. */
export interface CompletionRequest {
  readonly kind: CompletionKind;
  readonly model: string;
  readonly prompt: string;
  readonly isStream: boolean;
  readonly maxTokens: number | undefined;
}

/**
 * Parses the body of a request.
 *
 * @param kind - Which call it is.
 * @param body - JSON text.
 * @returns The request, or what is wrong with it.
 */
export function parseCompletionRequest(
  kind: CompletionKind,
  body: string,
): Either<string, CompletionRequest> {
  const json = parseJson(body);
  if (json === undefined) return Left("the body is not valid JSON");
  return kind === "chat"
    ? parseChatCompletion(json)
    : parseTextCompletion(json);
}

function parseChatCompletion(json: unknown): Either<string, CompletionRequest> {
  const parsed = chatSchema.safeParse(json);
  if (!parsed.success) return Left(describeIssues(parsed.error));
  const prompt = parsed.data.messages
    .map(({ role, content }) => `${role}: ${flattenContent(content)}`)
    .join("\n");
  return Right(toCompletionRequest("chat", parsed.data, prompt));
}

function parseTextCompletion(json: unknown): Either<string, CompletionRequest> {
  const parsed = completionSchema.safeParse(json);
  if (!parsed.success) return Left(describeIssues(parsed.error));
  return Right(toCompletionRequest("text", parsed.data, parsed.data.prompt));
}

function toCompletionRequest(
  kind: CompletionKind,
  fields: z.infer<z.ZodObject<typeof commonFields>>,
  prompt: string,
): CompletionRequest {
  return {
    kind,
    model: fields.model,
    prompt,
    isStream: fields.stream === true,
    maxTokens: fields.max_completion_tokens ?? fields.max_tokens ?? undefined,
  };
}

function flattenContent(
  content: z.infer<typeof contentSchema> | undefined,
): string {
  if (typeof content === "string") return content;
  return (content ?? []).map((part) => part.text).join("");
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function describeIssues(error: z.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.map(String).join(".")}: ${issue.message}`)
    .join("; ");
}

/** What every part of an answer repeats. */
export interface CompletionHead {
  readonly kind: CompletionKind;
  readonly id: GenerationId;
  readonly model: string;
  readonly createdMs: number;
}

/** Writes the parts of a streamed answer; the head is serialized once. */
export class CompletionChunkFormatter {
  readonly #head: CompletionHead;
  readonly #chunkPrefix: string;

  /** @param head - What every chunk repeats. */
  constructor(head: CompletionHead) {
    this.#head = head;
    const object = head.kind === "chat"
      ? "chat.completion.chunk"
      : "text_completion";
    const fields = JSON.stringify({
      id: head.id,
      object,
      created: Math.floor(head.createdMs / MS_PER_SECOND),
      model: head.model,
    });
    this.#chunkPrefix = `data: ${fields.slice(0, -1)},"choices":[{"index":0,`;
  }

  /**
   * @param tokens - Tokens in order.
   * @returns One event with an `id` for each token.
   */
  formatTokens(tokens: readonly Token[]): string {
    let text = "";
    for (const token of tokens) {
      const content = JSON.stringify(token.text);
      const part = this.#head.kind === "chat"
        ? `"delta":{"content":${content}}`
        : `"text":${content}`;
      text +=
        `id: ${this.#head.id}:${token.offset}\n${this.#chunkPrefix}${part},` +
        `"finish_reason":null}]}\n\n`;
    }
    return text;
  }

  /**
   * @param finish - How the generation ended.
   * @returns The last chunk and the end mark.
   */
  formatEnd(finish: FinishReason): string {
    const part = this.#head.kind === "chat" ? `"delta":{}` : `"text":""`;
    return `${this.#chunkPrefix}${part},"finish_reason":"${finish}"}]}\n\n` +
      "data: [DONE]\n\n";
  }
}

/**
 * @param problem - Why the stream breaks off.
 * @returns An event that is not mistaken for an answer.
 */
export function formatErrorEvent(problem: ProblemBody): string {
  return `event: error\ndata: ${JSON.stringify(withClientError(problem))}\n\n`;
}

/** A problem body with the member that OpenAI clients read. */
export interface ClientProblemBody extends ProblemBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
  };
}

/** @returns The problem with the member that OpenAI clients read. */
export function withClientError(problem: ProblemBody): ClientProblemBody {
  const code = problem.title.replaceAll(" ", "_");
  return {
    ...problem,
    error: { message: problem.detail, type: problem.outcome, code },
  };
}

/**
 * @param head - Head of the answer.
 * @param text - The whole text.
 * @param finish - How it ended.
 * @param tokenCount - Number of tokens.
 * @returns The body of an answer that is not streamed.
 */
export function formatCompletion(
  head: CompletionHead,
  text: string,
  finish: FinishReason,
  tokenCount: number,
): string {
  const isChat = head.kind === "chat";
  const content = isChat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return JSON.stringify({
    id: head.id,
    object: isChat ? "chat.completion" : "text_completion",
    created: Math.floor(head.createdMs / MS_PER_SECOND),
    model: head.model,
    choices: [{ index: 0, ...content, finish_reason: finish }],
    usage: { completion_tokens: tokenCount },
  });
}
