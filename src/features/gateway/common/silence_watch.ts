/** Notices streams that have gone silent, and finds out why. */

import { setPeriodicTimer } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { RequestContext } from "./gateway_request.ts";
import type { StreamLeg } from "./stream_leg.ts";

/** Silence after which an engine that has begun to answer is probed. */
const SILENT_STREAM_MS = 700;
/** Silence before the first event after which an engine is probed. */
const SILENT_START_MS = 1_500;
/** Silence beside an engine that lives, after which the connection is given up. */
const SILENT_CONNECTION_MS = 2_500;
const WATCH_PERIOD_MS = 200;

/** What is watched. */
export interface WatchedStream {
  /** The run to watch, if one is to be watched now. */
  leg(): StreamLeg | undefined;
  /** The engine lives, but its connection carries nothing. */
  onSilentConnection(): void;
}

/** Watches one stream until it is disposed. */
export class SilenceWatch implements Disposable {
  readonly #context: RequestContext;
  readonly #stream: WatchedStream;
  readonly #timer: Disposable;
  #lastEventMs: number;
  #isProbing = false;

  /**
   * @param context - The request.
   * @param stream - What is watched.
   */
  constructor(context: RequestContext, stream: WatchedStream) {
    const { clock } = context.services;
    this.#context = context;
    this.#stream = stream;
    this.#lastEventMs = clock.monotonicMs();
    this.#timer = setPeriodicTimer(clock, WATCH_PERIOD_MS, () => this.#check());
  }

  /** Time of the last event, or of the start of the run. */
  get lastEventMs(): number {
    return this.#lastEventMs;
  }

  /** Takes note of an event or of the start of a run. */
  note(nowMs: number): void {
    this.#lastEventMs = nowMs;
  }

  /** Stops watching. */
  dispose(): void {
    this.#timer.dispose();
  }

  #check(): void {
    const leg = this.#stream.leg();
    if (!leg || this.#isProbing) return;
    const limitMs = leg.hasEvents ? SILENT_STREAM_MS : SILENT_START_MS;
    if (this.#silentMs() >= limitMs) void this.#probe(leg);
  }

  async #probe(leg: StreamLeg): Promise<void> {
    this.#isProbing = true;
    const verdict = await this.#context.services.probe.check(leg.endpoint);
    this.#isProbing = false;
    if (verdict === "dark" || leg !== this.#stream.leg()) return;
    if (!leg.hasEvents || this.#silentMs() < SILENT_CONNECTION_MS) return;
    this.#stream.onSilentConnection();
  }

  #silentMs(): number {
    return this.#context.services.clock.monotonicMs() - this.#lastEventMs;
  }
}
