/**
 * Estimates the KV memory of one generation from its prompt, its events so far
 * and its expected output.
 */

import type {
  GatewayServices,
  OutputLimits,
} from "../requests/gateway_services.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import type { AdmittedRequest } from "../requests/admitted_request.ts";

/**
 * Expected output, as a share of the maximum, when the caller gives no hint.
 */
const UNHINTED_OUTPUT_SHARE = 0.5;
/** Share of the output still expected that is counted as required now. */
const RESERVED_GROWTH_SHARE = 0.7;

/** Number of events between two records of a growing output. */
const EVENTS_PER_RECORD = 16;

/** Memory estimate that grows with the events of a generation. */
export class GenerationMemoryEstimate {
  readonly promptTokens: number;
  readonly #service: ServiceId;
  readonly #route: string;
  readonly #limits: OutputLimits;
  readonly #services: Pick<GatewayServices, "outputLengths" | "placer">;
  readonly #statedOutputTokens: number;
  readonly #tokensPerEvent: number;
  /** Whether the request asks only for the rest of an earlier output. */
  readonly #isPartial: boolean;
  #eventCount = 0;
  /** Output that the length model has recorded, in tokens. */
  #recordedTokens = 0;

  /**
   * @param request - The request, with the size of its prompt.
   * @param services - The observed output lengths, and whether capacity is
   * scarce. Otherwise the hint or the share of the maximum alone counts.
   */
  constructor(
    { fields, route, service }: Pick<
      AdmittedRequest,
      "fields" | "route" | "service"
    >,
    services: Pick<GatewayServices, "outputLengths" | "placer">,
  ) {
    const { prompt } = fields;
    const maxTokens = prompt?.maxOutputTokens ?? 0;
    const hintedTokens = prompt?.hintedOutputTokens;
    this.promptTokens = prompt?.promptTokens ?? 0;
    this.#service = service.id;
    this.#route = route.name;
    this.#limits = { maxTokens, hintedTokens };
    this.#services = services;
    this.#isPartial = fields.resumeAfterEventId !== undefined;
    this.#statedOutputTokens = hintedTokens ??
      maxTokens * UNHINTED_OUTPUT_SHARE;
    this.#tokensPerEvent = service.engine?.tokensPerEvent ?? 1;
  }

  /** Number of events so far. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Memory used by the prompt and the output so far, in tokens. */
  get usedTokens(): number {
    return this.promptTokens + this.#outputTokens;
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

  /**
   * Records an event.
   *
   * @returns Whether the memory in use is to be updated.
   */
  recordEvent(): boolean {
    this.#eventCount++;
    if (this.#eventCount % EVENTS_PER_RECORD !== 0) return false;
    if (!this.#isPartial) this.#recordProgress();
    return true;
  }

  #recordProgress(): void {
    const outputTokens = this.#outputTokens;
    const { outputLengths } = this.#services;
    outputLengths.recordProgress(
      this.#route,
      this.#recordedTokens,
      outputTokens,
    );
    this.#recordedTokens = outputTokens;
  }

  /** Records the complete output in the length model. */
  recordCompletion(): void {
    if (this.#isPartial) return;
    this.#services.outputLengths.recordCompletion(
      this.#route,
      this.#outputTokens,
      this.#recordedTokens,
      this.#limits,
    );
  }

  get #outputTokens(): number {
    return this.#eventCount * this.#tokensPerEvent;
  }

  get #expectedOutputTokens(): number {
    const { outputLengths, placer } = this.#services;
    const forecastTokens = placer.isScarce(this.#service)
      ? outputLengths.forecast(this.#route, this.#outputTokens, this.#limits)
      : undefined;
    return forecastTokens ?? this.#statedOutputTokens;
  }
}
