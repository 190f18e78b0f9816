/** Samples how fast an endpoint runs one stream. */

import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { EndpointPaces } from "../load/endpoint_pace.ts";
import type { LoadTable } from "../load/load_table.ts";

/** Events of one sample; an engine emits an event about each 35 ms. */
const EVENTS_PER_SAMPLE = 8;
/**
 * Time after which fewer events suffice, in milliseconds, so that a slow
 * endpoint gives samples as often as a fast one.
 */
const MAX_SAMPLE_MS = 250;
const MIN_EVENTS_PER_SAMPLE = 2;
/** Prompts below this size say little of the time to prefill a token. */
const MIN_PREFILL_TOKENS = 512;

/** Dependencies of {@link StreamPaceSampler}. */
export interface StreamPaceSamplerServices {
  readonly loadTable: LoadTable;
  readonly paces: EndpointPaces;
}

/**
 * Sampler of one attempt. Gaps during which the endpoint prefills a prompt are
 * left out: they are several times longer, whatever the endpoint's speed.
 */
export class StreamPaceSampler {
  readonly #services: StreamPaceSamplerServices;
  readonly #endpoint: RegisteredEndpoint;
  #sentMs: number | undefined;
  #sentPrefillTokens = 0;
  /** Time of the latest event, if the gap after it can be used. */
  #usableSinceMs: number | undefined;
  #eventCount = 0;
  #elapsedMs = 0;
  #hasEvents = false;

  /**
   * @param services - The load table and the paces to record into.
   * @param endpoint - Endpoint of the attempt.
   */
  constructor(
    services: StreamPaceSamplerServices,
    endpoint: RegisteredEndpoint,
  ) {
    this.#services = services;
    this.#endpoint = endpoint;
  }

  /**
   * Records that a prompt was sent of which the endpoint holds no part yet.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordPromptSent(nowMs: number): void {
    this.#sentMs = nowMs;
    this.#sentPrefillTokens = this.#services.loadTable.pendingPrefillTokens(
      this.#endpoint.id,
    );
  }

  /**
   * Records an event, after its prompt no longer counts as pending.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordEvent(nowMs: number): void {
    const { loadTable, paces } = this.#services;
    const { id } = this.#endpoint;
    if (!this.#hasEvents) this.#recordFirstEvent(nowMs);
    const isPrefilling = loadTable.pendingPrefillTokens(id) > 0;
    const sinceMs = this.#usableSinceMs;
    this.#usableSinceMs = isPrefilling ? undefined : nowMs;
    if (isPrefilling || sinceMs === undefined) return;
    this.#eventCount++;
    this.#elapsedMs += nowMs - sinceMs;
    const isComplete = this.#eventCount >= EVENTS_PER_SAMPLE ||
      (this.#elapsedMs >= MAX_SAMPLE_MS &&
        this.#eventCount >= MIN_EVENTS_PER_SAMPLE);
    if (!isComplete) return;
    paces.recordEventTime(
      this.#endpoint,
      this.#elapsedMs / this.#eventCount,
      loadTable.totalUsage(id).runs,
    );
    this.#eventCount = 0;
    this.#elapsedMs = 0;
  }

  /** Leaves out the current gap, in which the caller causes the delay. */
  interrupt(): void {
    this.#usableSinceMs = undefined;
  }

  #recordFirstEvent(nowMs: number): void {
    this.#hasEvents = true;
    if (
      this.#sentMs === undefined || this.#sentPrefillTokens < MIN_PREFILL_TOKENS
    ) return;
    this.#services.paces.recordPrefillTime(
      this.#endpoint,
      nowMs - this.#sentMs,
      this.#sentPrefillTokens,
    );
  }
}
