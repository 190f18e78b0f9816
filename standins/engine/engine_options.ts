/** Options and injectable faults of the simulated engine. */

import { hashText } from "../text_hash.ts";
import type { EngineRequest } from "../../src/services/endpoints/common/engine_client.ts";

/** Characteristics of a simulated engine. */
export interface EngineOptions {
  /** Memory for prompts and generated tokens, in tokens. */
  readonly memoryTokens: number;
  /** Maximum number of sequences in the batch. */
  readonly maxRunning: number;
  /** Duration of a decode step with an empty batch, in milliseconds. */
  readonly baseStepMs: number;
  /**
   * Additional duration of a step for each sequence in the batch, in
   * milliseconds.
   */
  readonly stepMsPerSequence: number;
  /** Number of prompt tokens that are prefilled per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Age of the load reports, in milliseconds. */
  readonly loadLagMs: number;
  /** Time for which an ended generation can still be read, in milliseconds. */
  readonly keepEndedMs: number;
  /** Capacity of the prefix cache, in blocks. */
  readonly cacheBlocks: number;
  /** Delay until a cache event becomes visible, in milliseconds. */
  readonly cacheEventDelayMs: number;
  /**
   * Maximum number of cache events that are retained; older events are dropped.
   */
  readonly maxCacheEvents: number;
  /** Whether orders with a stale fencing token are rejected. */
  readonly honoursFence: boolean;
  /** Model version that crashes the engine at the first token. */
  readonly badVersion: string;
  /** Whether load reports contain the memory capacity. */
  readonly reportsMemoryTotal: boolean;
  /** @returns Number of tokens that the engine generates for the request. */
  lengthOf(request: EngineRequest): number;
}

const DEFAULT_LENGTH_TOKENS = 20;
const CHARACTERS_PER_TOKEN = 4;

/** Options of a small engine. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  memoryTokens: 60_000,
  maxRunning: 64,
  baseStepMs: 20,
  stepMsPerSequence: 0.3,
  prefillTokensPerMs: 20,
  loadLagMs: 1_000,
  keepEndedMs: 60_000,
  cacheBlocks: 1_000,
  cacheEventDelayMs: 500,
  maxCacheEvents: 500,
  honoursFence: true,
  badVersion: "",
  reportsMemoryTotal: true,
  lengthOf: lengthFromPrompt,
};

/**
 * Returns the output length that a prompt requests with `#tokens=N`.
 *
 * @param request - Request to generate.
 * @returns The length in tokens, limited to the maximum of the request.
 */
export function lengthFromPrompt(request: EngineRequest): number {
  const requested = /#tokens=(\d+)/.exec(request.prompt)?.[1];
  const length = requested === undefined
    ? DEFAULT_LENGTH_TOKENS
    : Number(requested);
  return Math.min(length, request.maxTokens);
}

/**
 * @param prompt - Prompt text.
 * @returns Approximate length of the prompt in tokens, at least 1.
 */
export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
}

/**
 * Returns the text of a token. The text identifies the generation, so that
 * tests detect output mixed from two generations.
 *
 * @param generation - Identifier of the generation.
 * @param offset - Offset of the token.
 */
export function tokenText(generation: string, offset: number): string {
  return `${hashText(generation)}-${offset} `;
}

/** Marker in a prompt that crashes the engine at the first token. */
export const POISON_MARKER = "#poison";
