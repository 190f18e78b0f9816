/** One caller of the dispatch bench and the answer that it reads. */

import type { EngineFrame } from "../../src/services/endpoints/common/engine_client.ts";
import type { FrameListener } from "../../standins/engine/sequence.ts";
import type { RunMetrics } from "./run_metrics.ts";
import type { Arrival } from "./workload.ts";

/** What a caller tells its simulation. */
export interface CallerListener {
  readonly nowMs: number;
  /** Whether tokens count towards the goodput now. */
  readonly isInMeasurementPeriod: boolean;
  readonly metrics: RunMetrics;
  /** The answer has come to its end. */
  onCompleted(caller: BenchCaller): void;
  /** The endpoint broke the connection. */
  onDisconnect(caller: BenchCaller): void;
}

/** Reads tokens, checks their order and measures gaps. */
export class BenchCaller implements FrameListener {
  readonly arrival: Arrival;
  readonly #listener: CallerListener;
  readonly excludedEndpoints: number[] = [];
  endpoint: number | undefined;
  tokens = 0;
  stallMs = 0;
  measuredTokens = 0;
  attempts = 0;
  isEnded = false;
  #lastTokenMs = 0;

  /**
   * @param arrival - The request.
   * @param listener - Its simulation.
   */
  constructor(arrival: Arrival, listener: CallerListener) {
    this.arrival = arrival;
    this.#listener = listener;
  }

  /** {@inheritDoc FrameListener.onFrames} */
  onFrames(frames: readonly EngineFrame[]): void {
    if (this.isEnded) return;
    for (const frame of frames) {
      if (frame.kind === "end") this.#listener.onCompleted(this);
      else this.#onToken(frame.offset);
    }
  }

  /** {@inheritDoc FrameListener.onClosed} */
  onClosed(reason: "closed" | "broken"): void {
    if (reason === "broken" && !this.isEnded) this.#listener.onDisconnect(this);
  }

  #onToken(offset: number): void {
    const { nowMs, metrics, isInMeasurementPeriod } = this.#listener;
    if (offset !== this.tokens) metrics.duplicatedTokens++;
    this.tokens++;
    if (this.tokens === 1) {
      metrics.recordFirstToken(this.arrival.class, nowMs - this.arrival.atMs);
    } else {
      const gapMs = nowMs - this.#lastTokenMs;
      metrics.recordTokenGap(gapMs);
      this.stallMs += metrics.stallTimeMs(gapMs);
    }
    if (isInMeasurementPeriod) this.measuredTokens++;
    this.#lastTokenMs = nowMs;
  }
}
