/**
 * Estimates the KV memory of one generation from its prompt, its events so far
 * and its expected output.
 */

import type { AdmittedRequest } from "../requests/admitted_request.ts";

/**
 * Expected output, as a share of the maximum, when the caller gives no hint.
 */
const UNHINTED_OUTPUT_SHARE = 0.5;
/** Share of the output still expected that is counted as required now. */
const RESERVED_GROWTH_SHARE = 0.7;

/** Memory estimate that grows with the events of a generation. */
export class GenerationMemoryEstimate {
  readonly promptTokens: number;
  readonly #expectedOutputTokens: number;
  readonly #tokensPerEvent: number;
  #eventCount = 0;

  /** @param request - The request, with the size of its prompt. */
  constructor(
    { fields, service }: Pick<AdmittedRequest, "fields" | "service">,
  ) {
    const { prompt } = fields;
    this.promptTokens = prompt?.promptTokens ?? 0;
    this.#expectedOutputTokens = prompt?.hintedOutputTokens ??
      (prompt?.maxOutputTokens ?? 0) * UNHINTED_OUTPUT_SHARE;
    this.#tokensPerEvent = service.engine?.tokensPerEvent ?? 1;
  }

  /** Number of events so far. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Memory used by the prompt and the output so far, in tokens. */
  get usedTokens(): number {
    return this.promptTokens + this.#eventCount * this.#tokensPerEvent;
  }

  /**
   * Memory to reserve, in tokens: the memory used now and a share of the output
   * still expected.
   */
  get reservedTokens(): number {
    const usedTokens = this.usedTokens;
    const expectedTotalTokens = this.promptTokens + this.#expectedOutputTokens;
    return usedTokens +
      Math.max(0, expectedTotalTokens - usedTokens) * RESERVED_GROWTH_SHARE;
  }

  /** Records an event. */
  recordEvent(): void {
    this.#eventCount++;
  }
}
