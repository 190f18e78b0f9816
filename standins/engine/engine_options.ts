/** Options and faults of the stand-in engine. */

import { shortHash } from "../text_hash.ts";
import type { EngineRequest } from "../../src/services/endpoints/common/engine_client.ts";

/** How an engine behaves. */
export interface EngineOptions {
  /** Memory for prompts and generated tokens, in tokens. */
  readonly memoryTokens: number;
  /** Most sequences in one batch. */
  readonly maxRunning: number;
  /** Duration of a decode step without sequences, in milliseconds. */
  readonly baseStepMs: number;
  /** Added to a step for each sequence, in milliseconds. */
  readonly stepMsPerSequence: number;
  /** Prompt tokens that are read in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Age of the load report, in milliseconds. */
  readonly loadLagMs: number;
  /** How long an ended generation can still be read, in milliseconds. */
  readonly keepEndedMs: number;
  /** Memory of the prefix cache, in blocks. */
  readonly cacheBlocks: number;
  /** Delay of cache events, in milliseconds. */
  readonly cacheEventDelayMs: number;
  /** Most cache events that are kept for readers; older ones are dropped. */
  readonly maxCacheEvents: number;
  /** Whether orders with an old fencing number are refused. */
  readonly honoursFence: boolean;
  /** A version that crashes the engine at its first token. */
  readonly badVersion: string;
  /** Whether the load report says the whole memory. */
  readonly reportsMemoryTotal: boolean;
  /** @returns Number of tokens that the engine will generate. */
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
 * Length that a prompt asks for by `#tokens=N`.
 *
 * @param request - The request.
 * @returns The length in tokens, at most the request's limit.
 */
export function lengthFromPrompt(request: EngineRequest): number {
  const asked = /#tokens=(\d+)/.exec(request.prompt)?.[1];
  const length = asked === undefined ? DEFAULT_LENGTH_TOKENS : Number(asked);
  return Math.min(length, request.maxTokens);
}

/**
 * @param prompt - A prompt.
 * @returns Its approximate length in tokens, at least 1.
 */
export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
}

/**
 * Text of a token. It names its generation, so that a mixture of two
 * generations shows.
 *
 * @param generation - Id of the generation.
 * @param offset - Offset of the token.
 */
export function tokenText(generation: string, offset: number): string {
  return `${shortHash(generation)}-${offset} `;
}

/** A prompt with this mark crashes the engine at its first token. */
export const POISON_MARKER = "#poison";
