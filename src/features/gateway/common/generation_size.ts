/** Memory of one generation, from its prompt, its events and what is expected. */

import type { AdmittedRequest } from "./gateway_request.ts";

/** Part of the allowed output that is expected without a hint. */
const EXPECTED_OUTPUT_SHARE = 0.5;
/** Part of the output still expected that counts as memory needed now. */
const GROWTH_SHARE = 0.7;

/** Grows with the events of a generation. */
export class GenerationSize {
  readonly promptTokens: number;
  readonly #expectedTokens: number;
  readonly #tokensPerEvent: number;
  #eventCount = 0;

  /** @param request - The request with its prompt's size. */
  constructor(
    { fields, service }: Pick<AdmittedRequest, "fields" | "service">,
  ) {
    const { prompt } = fields;
    this.promptTokens = prompt?.promptTokens ?? 0;
    this.#expectedTokens = prompt?.hintedOutputTokens ??
      (prompt?.maxOutputTokens ?? 0) * EXPECTED_OUTPUT_SHARE;
    this.#tokensPerEvent = service.engine?.tokensPerEvent ?? 1;
  }

  /** Events so far. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Prompt and output so far, in tokens. */
  get heldTokens(): number {
    return this.promptTokens + this.#eventCount * this.#tokensPerEvent;
  }

  /** Memory held now and part of what is still expected, in tokens. */
  get neededTokens(): number {
    const held = this.heldTokens;
    const whole = this.promptTokens + this.#expectedTokens;
    return held + Math.max(0, whole - held) * GROWTH_SHARE;
  }

  /** Takes note of an event. */
  addEvent(): void {
    this.#eventCount++;
  }
}
