/**
 * Detects stalled streams and probes their engines to find out whether the
 * engine or only the connection has failed.
 */

import { runPeriodically } from "../../../../base/common/clock.ts";
import type { Disposable } from "../../../../base/common/lifecycle.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/**
 * Time without an event after which an engine that has started to stream is
 * probed.
 */
const STREAM_STALL_PROBE_MS = 700;
/** Time without a first event after which the engine is probed. */
const FIRST_EVENT_STALL_PROBE_MS = 1_500;
/**
 * Time without an event after which the connection is abandoned although the
 * engine answers probes.
 */
const CONNECTION_STALL_MS = 2_500;
const CHECK_PERIOD_MS = 200;

/** The stream that a monitor checks. */
export interface MonitoredStream {
  /**
   * Returns the attempt to monitor, or `undefined` if none is to be monitored
   * now.
   */
  attempt(): UpstreamAttempt | undefined;
  /** The engine answers probes, but its connection carries no data. */
  onStalledConnection(): void;
  /** The engine runs on, but this host has lost its path to it. */
  onLostPath(): void;
}

/** Monitors one stream until it is disposed of. */
export class StreamStallMonitor implements Disposable {
  readonly #context: RequestContext;
  readonly #stream: MonitoredStream;
  readonly #timer: Disposable;
  #lastProgressMs: number;
  #isProbing = false;

  /**
   * @param context - State of the request.
   * @param stream - The monitored stream.
   */
  constructor(context: RequestContext, stream: MonitoredStream) {
    const { clock } = context.services;
    this.#context = context;
    this.#stream = stream;
    this.#lastProgressMs = clock.monotonicMs();
    this.#timer = runPeriodically(
      clock,
      CHECK_PERIOD_MS,
      () => context.guard.attempt(() => this.#check()),
    );
  }

  /**
   * Monotonic time of the last event or of the start of the run, in
   * milliseconds.
   */
  get lastProgressMs(): number {
    return this.#lastProgressMs;
  }

  /**
   * Records an event or the start of a run.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  markProgress(nowMs: number): void {
    this.#lastProgressMs = nowMs;
  }

  /** Stops the monitor. */
  dispose(): void {
    this.#timer.dispose();
  }

  #check(): void {
    const attempt = this.#stream.attempt();
    if (!attempt || this.#isProbing) return;
    if (this.#stalledMs() < stallLimitMs(attempt)) return;
    this.#context.guard.follow(this.#probe(attempt));
  }

  async #probe(attempt: UpstreamAttempt): Promise<void> {
    this.#isProbing = true;
    const { probe } = this.#context.services;
    const result = await probe.probe(attempt.endpoint, this.#lastProgressMs);
    this.#isProbing = false;
    if (result === "unreachable" || result === "unanswered") return;
    if (attempt !== this.#stream.attempt()) return;
    const isStalled = this.#stalledMs() >= stallLimitMs(attempt);
    if (result === "reached-by-peers" && !attempt.isRelayed && isStalled) {
      this.#stream.onLostPath();
      return;
    }
    if (!attempt.hasEvents || this.#stalledMs() < CONNECTION_STALL_MS) return;
    this.#stream.onStalledConnection();
  }

  #stalledMs(): number {
    return this.#context.services.clock.monotonicMs() - this.#lastProgressMs;
  }
}

function stallLimitMs({ hasEvents }: UpstreamAttempt): number {
  return hasEvents ? STREAM_STALL_PROBE_MS : FIRST_EVENT_STALL_PROBE_MS;
}
