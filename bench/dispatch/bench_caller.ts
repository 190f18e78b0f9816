/** Caller of the dispatch benchmark, which reads one generation. */

import type { EngineFrame } from "../../src/services/endpoints/common/engine_client.ts";
import type { FrameListener } from "../../standins/engine/sequence.ts";
import type { RunMetrics } from "./run_metrics.ts";
import type { Arrival } from "./workload.ts";

/** Simulation in which a caller runs, and the receiver of its events. */
export interface CallerListener {
  readonly nowMs: number;
  /** Whether tokens received now count as goodput. */
  readonly isInMeasurementPeriod: boolean;
  readonly metrics: RunMetrics;
  /** Called when the last token has been received. */
  onCompleted(caller: BenchCaller): void;
  /** Called when the connection to the endpoint was lost. */
  onDisconnect(caller: BenchCaller): void;
}

/** Reads the tokens of a generation, checks their order and measures gaps. */
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
   * @param arrival - Request of the caller.
   * @param listener - Simulation in which the caller runs.
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
