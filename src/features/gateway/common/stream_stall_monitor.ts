/** Notices streams that have gone silent, and finds out why. */

import { runPeriodically } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { RequestContext } from "./request_context.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/** Silence after which an engine that has begun to answer is probed. */
const STREAM_STALL_PROBE_MS = 700;
/** Silence before the first event after which an engine is probed. */
const FIRST_EVENT_STALL_PROBE_MS = 1_500;
/** Silence beside an engine that lives, after which the connection is given up. */
const CONNECTION_STALL_MS = 2_500;
const CHECK_PERIOD_MS = 200;

/** What is watched. */
export interface MonitoredStream {
  /** The run to watch, if one is to be watched now. */
  attempt(): UpstreamAttempt | undefined;
  /** The engine lives, but its connection carries nothing. */
  onStalledConnection(): void;
}

/** Watches one stream until it is disposed. */
export class StreamStallMonitor implements Disposable {
  readonly #context: RequestContext;
  readonly #stream: MonitoredStream;
  readonly #timer: Disposable;
  #lastProgressMs: number;
  #isProbing = false;

  /**
   * @param context - The request.
   * @param stream - What is watched.
   */
  constructor(context: RequestContext, stream: MonitoredStream) {
    const { clock } = context.services;
    this.#context = context;
    this.#stream = stream;
    this.#lastProgressMs = clock.monotonicMs();
    this.#timer = runPeriodically(clock, CHECK_PERIOD_MS, () => this.#check());
  }

  /** Time of the last event, or of the start of the run. */
  get lastProgressMs(): number {
    return this.#lastProgressMs;
  }

  /** Takes note of an event or of the start of a run. */
  markProgress(nowMs: number): void {
    this.#lastProgressMs = nowMs;
  }

  /** Stops watching. */
  dispose(): void {
    this.#timer.dispose();
  }

  #check(): void {
    const attempt = this.#stream.attempt();
    if (!attempt || this.#isProbing) return;
    const limitMs = attempt.hasEvents
      ? STREAM_STALL_PROBE_MS
      : FIRST_EVENT_STALL_PROBE_MS;
    if (this.#stalledMs() >= limitMs) void this.#probe(attempt);
  }

  async #probe(attempt: UpstreamAttempt): Promise<void> {
    this.#isProbing = true;
    const result = await this.#context.services.probe.probe(attempt.endpoint);
    this.#isProbing = false;
    if (result === "dark" || attempt !== this.#stream.attempt()) return;
    if (!attempt.hasEvents || this.#stalledMs() < CONNECTION_STALL_MS) return;
    this.#stream.onStalledConnection();
  }

  #stalledMs(): number {
    return this.#context.services.clock.monotonicMs() - this.#lastProgressMs;
  }
}
