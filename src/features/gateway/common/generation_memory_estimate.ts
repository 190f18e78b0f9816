/** Memory of one generation, from its prompt, its events and what is expected. */

import type { AdmittedRequest } from "./request_context.ts";

/** Part of the allowed output that is expected without a hint. */
const UNHINTED_OUTPUT_SHARE = 0.5;
/** Part of the output still expected that counts as memory needed now. */
const RESERVED_GROWTH_SHARE = 0.7;

/** Grows with the events of a generation. */
export class GenerationMemoryEstimate {
  readonly promptTokens: number;
  readonly #expectedOutputTokens: number;
  readonly #tokensPerEvent: number;
  #eventCount = 0;

  /** @param request - The request with its prompt's size. */
  constructor(
    { fields, service }: Pick<AdmittedRequest, "fields" | "service">,
  ) {
    const { prompt } = fields;
    this.promptTokens = prompt?.promptTokens ?? 0;
    this.#expectedOutputTokens = prompt?.hintedOutputTokens ??
      (prompt?.maxOutputTokens ?? 0) * UNHINTED_OUTPUT_SHARE;
    this.#tokensPerEvent = service.engine?.tokensPerEvent ?? 1;
  }

  /** Events so far. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Prompt and output so far, in tokens. */
  get usedTokens(): number {
    return this.promptTokens + this.#eventCount * this.#tokensPerEvent;
  }

  /** Memory held now and part of what is still expected, in tokens. */
  get reservedTokens(): number {
    const usedTokens = this.usedTokens;
    const expectedTotalTokens = this.promptTokens + this.#expectedOutputTokens;
    return usedTokens +
      Math.max(0, expectedTotalTokens - usedTokens) * RESERVED_GROWTH_SHARE;
  }

  /** Takes note of an event. */
  recordEvent(): void {
    this.#eventCount++;
  }
}
