/**
 * Relays one generation from its engine and delivers each token once. It
 * reconnects at the next offset when a connection breaks, and opens a second
 * connection when the current one stalls.
 */

import { assertNever } from "../../../base/common/errors.ts";
import type { GenerationId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type {
  Endpoint,
  EngineFrame,
  EngineStream,
  EngineStreamListener,
  FinishReason,
  StreamClose,
} from "../../../services/endpoints/common/engine_client.ts";
import {
  type Connection,
  ConnectionSet,
  type EngineStreamFactory,
} from "./connection_set.ts";
import { FrameSequencer, type Token } from "./frame_sequencer.ts";
import type { RelayServices } from "./relay_services.ts";
import {
  MAX_STALL_TIMEOUT_MS,
  MIN_STALL_TIMEOUT_MS,
} from "./stall_timeouts.ts";

/** Whether the engine of a lost generation died or cannot be reached. */
export type LostEndpointState = "dead" | "unreachable";

/** Final result of relaying a generation. */
export type RelayResult =
  | { readonly kind: "finished"; readonly finish: FinishReason }
  /** The engine did not run the generation. */
  | {
    readonly kind: "not-run";
    readonly isDraining: boolean;
    readonly detail: string;
  }
  /** The engine died, is unreachable or no longer has the generation. */
  | {
    readonly kind: "lost";
    readonly endpoint: LostEndpointState;
    readonly detail: string;
  };

/** Receives the events of a {@link StreamRelay}. */
export interface RelayListener {
  /** Called when the engine has accepted or found the generation. */
  onAccepted(): void;
  /** @returns `false` to pause reading until `resumeReading` is called. */
  onTokens(tokens: readonly Token[]): boolean;
  /** Called at most once, as the last event. */
  onEnded(result: RelayResult): void;
  /** @returns Whether the request may be rerun on another endpoint. */
  canRestart(): boolean;
}

/** The longest stall timeout, since an engine may queue a request first. */
const FIRST_TOKEN_TIMEOUT_MS = MAX_STALL_TIMEOUT_MS;
const MAX_PROBE_INTERVAL_MS = 10_000;
const MAX_BACKOFF_FAILURES = 5;
/** Time without a connection after which a generation counts as lost. */
const RECONNECT_WINDOW_MS = 4_000;
/** Reconnect window while a stalled connection is still open. */
const STALLED_RECONNECT_WINDOW_MS = 15_000;
/** Reconnect window while the request can still be rerun elsewhere. */
const RESTARTABLE_RECONNECT_WINDOW_MS = 500;
/** An engine whose port has had no listener for this long counts as dead. */
const DEAD_ENGINE_RECONNECT_WINDOW_MS = 200;
/** A connection that was open this long restarts the reconnect window. */
const STABLE_CONNECTION_AGE_MS = 1_000;

/** Relays one generation until it finishes or is lost. */
export class StreamRelay implements Disposable {
  readonly #services: RelayServices;
  readonly #endpoint: Endpoint;
  readonly #id: GenerationId;
  readonly #listener: RelayListener;
  readonly #sequencer: FrameSequencer;
  readonly #connections: ConnectionSet;
  #progressConnection: Connection | undefined;
  #lastProgressMs = 0;
  #lastProbeMs = 0;
  #probeCount = 0;
  #failureCount = 0;
  #firstFailureMs: number | undefined;
  #isPaused = false;
  #isEnded = false;
  #isAccepted = false;
  #hasReceivedToken = false;
  #stallTimer: Disposable = NOOP_DISPOSABLE;
  #reconnectTimer: Disposable = NOOP_DISPOSABLE;

  /**
   * @param services - Dependencies of the generation feature.
   * @param endpoint - Endpoint that runs the generation.
   * @param id - Id of the generation.
   * @param fromOffset - Offset of the first token to deliver.
   * @param listener - Receiver of the events.
   */
  constructor(
    services: RelayServices,
    endpoint: Endpoint,
    id: GenerationId,
    fromOffset: number,
    listener: RelayListener,
  ) {
    this.#services = services;
    this.#endpoint = endpoint;
    this.#id = id;
    this.#listener = listener;
    this.#sequencer = new FrameSequencer(id, fromOffset);
    this.#connections = new ConnectionSet({
      onAccepted: () => this.#onAccepted(),
      onFrames: (connection, frames) => this.#onFrames(connection, frames),
      onClosed: (connection, close) => this.#onClosed(connection, close),
    });
  }

  /** Offset of the next token to deliver. */
  get nextOffset(): number {
    return this.#sequencer.nextOffset;
  }

  /** Opens the first connection, which starts the generation. */
  open(openStream: EngineStreamFactory): void {
    this.#lastProgressMs = this.#services.clock.monotonicMs();
    this.#connections.open(openStream, this.#lastProgressMs);
    this.#scheduleStallCheck();
  }

  /** Opens the first connection to a generation that is already running. */
  openExisting(): void {
    this.open((listener) => this.#openAtOffset(listener));
  }

  /** Resumes reading after the listener paused it. */
  resumeReading(): void {
    if (!this.#isPaused || this.#isEnded) return;
    this.#isPaused = false;
    this.#progressConnection = undefined;
    this.#lastProgressMs = this.#services.clock.monotonicMs();
    this.#connections.resume();
  }

  /** Closes all connections; the listener receives no further events. */
  dispose(): void {
    this.#isEnded = true;
    this.#stallTimer.dispose();
    this.#reconnectTimer.dispose();
    this.#connections.dispose();
  }

  #openAtOffset(listener: EngineStreamListener): EngineStream {
    return this.#services.engines.resume(
      this.#endpoint,
      this.#id,
      this.#sequencer.nextOffset,
      listener,
    );
  }

  #reconnect(): void {
    if (this.#isEnded) return;
    this.#services.metrics.count("streams_resumed");
    const nowMs = this.#services.clock.monotonicMs();
    this.#connections.open((listener) => this.#openAtOffset(listener), nowMs);
  }

  #onAccepted(): void {
    if (this.#isAccepted) return;
    this.#isAccepted = true;
    this.#listener.onAccepted();
  }

  #onFrames(connection: Connection, frames: readonly EngineFrame[]): void {
    const before = totalDroppedFrames(this.#sequencer);
    const tokens = this.#sequencer.accept(frames);
    const dropped = totalDroppedFrames(this.#sequencer) - before;
    if (dropped > 0) this.#services.metrics.count("frames_dropped", dropped);
    if (tokens.length > 0) {
      this.#recordProgress(connection);
      this.#deliverTokens(tokens);
    }
    const finish = this.#sequencer.finish;
    if (finish) this.#end({ kind: "finished", finish });
  }

  /** Keeps only the connection that delivered the next token first. */
  #recordProgress(connection: Connection): void {
    const nowMs = this.#services.clock.monotonicMs();
    if (connection === this.#progressConnection) {
      const gapMs = nowMs - this.#lastProgressMs;
      this.#services.stallTimeouts.recordGap(this.#endpoint.address, gapMs);
    }
    this.#progressConnection = connection;
    this.#hasReceivedToken = true;
    this.#lastProgressMs = nowMs;
    this.#probeCount = 0;
    this.#failureCount = 0;
    this.#firstFailureMs = undefined;
    this.#connections.closeAllExcept(connection);
  }

  #deliverTokens(tokens: readonly Token[]): void {
    if (this.#listener.onTokens(tokens) || this.#isEnded) return;
    this.#isPaused = true;
    this.#connections.pause();
  }

  #onClosed(connection: Connection, close: StreamClose): void {
    switch (close.kind) {
      case "not-run":
        this.#onNotRun(connection, close);
        return;
      case "unknown-generation":
        this.#end({ kind: "lost", endpoint: "dead", detail: close.detail });
        return;
      case "lost":
        this.#scheduleReconnect(connection, "unreachable", close.detail);
        return;
      case "closed":
        this.#scheduleReconnect(
          connection,
          "unreachable",
          "the engine closed the stream before the generation ended",
        );
        return;
      default:
        assertNever(close);
    }
  }

  /**
   * Handles a refused connection. Only the first connection carries the request
   * itself; on later ones the refusal does not mean that it has not run.
   */
  #onNotRun(
    connection: Connection,
    { reason, detail }: StreamClose & { kind: "not-run" },
  ): void {
    if (connection.ordinal === 1 && !connection.isAccepted) {
      this.#end({ kind: "not-run", isDraining: reason === "leaving", detail });
      return;
    }
    const endpoint = reason === "down" ? "dead" : "unreachable";
    this.#scheduleReconnect(connection, endpoint, detail);
  }

  #scheduleReconnect(
    connection: Connection,
    endpoint: LostEndpointState,
    detail: string,
  ): void {
    if (this.#connections.hasNewerThan(connection)) return;
    const { clock, retries } = this.#services;
    const nowMs = clock.monotonicMs();
    const wasStable = connection.isAccepted &&
      nowMs - connection.openedMs >= STABLE_CONNECTION_AGE_MS;
    if (wasStable) this.#firstFailureMs = undefined;
    this.#firstFailureMs ??= nowMs;
    if (nowMs - this.#firstFailureMs >= this.#reconnectWindowMs(endpoint)) {
      this.#end({ kind: "lost", endpoint, detail });
      return;
    }
    this.#failureCount = Math.min(this.#failureCount + 1, MAX_BACKOFF_FAILURES);
    this.#reconnectTimer.dispose();
    this.#reconnectTimer = clock.setTimer(
      retries.backoffMs(this.#failureCount),
      () => this.#reconnect(),
    );
  }

  #reconnectWindowMs(endpoint: LostEndpointState): number {
    if (endpoint === "dead") return DEAD_ENGINE_RECONNECT_WINDOW_MS;
    if (this.#connections.size > 0) return STALLED_RECONNECT_WINDOW_MS;
    return this.#listener.canRestart()
      ? RESTARTABLE_RECONNECT_WINDOW_MS
      : RECONNECT_WINDOW_MS;
  }

  /**
   * Checks for a stall regularly. A stall opens a second connection; the first
   * one stays open until the second one delivers a token. The timeout may
   * shrink while gaps are recorded, so the check interval never exceeds the
   * shortest timeout.
   */
  #scheduleStallCheck(): void {
    if (this.#isEnded) return;
    const waitMs = Math.min(this.#remainingStallTimeMs(), MIN_STALL_TIMEOUT_MS);
    this.#stallTimer = this.#services.clock.setTimer(waitMs, () => {
      if (this.#remainingStallTimeMs() <= 0) this.#probe();
      this.#scheduleStallCheck();
    });
  }

  #probe(): void {
    this.#probeCount++;
    this.#lastProbeMs = this.#services.clock.monotonicMs();
    if (this.#connections.size > 0) this.#reconnect();
  }

  /**
   * Returns the time in milliseconds until the next probe. Each probe without
   * progress doubles the interval.
   */
  #remainingStallTimeMs(): number {
    const timeoutMs = this.#stallTimeoutMs();
    if (this.#isPaused) return timeoutMs;
    const nowMs = this.#services.clock.monotonicMs();
    if (this.#probeCount === 0) return this.#lastProgressMs + timeoutMs - nowMs;
    const waitMs = Math.min(
      MAX_PROBE_INTERVAL_MS,
      timeoutMs * 2 ** this.#probeCount,
    );
    return this.#lastProbeMs + waitMs - nowMs;
  }

  #stallTimeoutMs(): number {
    const { stallTimeouts } = this.#services;
    return this.#hasReceivedToken
      ? stallTimeouts.timeoutMs(this.#endpoint.address)
      : FIRST_TOKEN_TIMEOUT_MS;
  }

  #end(result: RelayResult): void {
    if (this.#isEnded) return;
    this.dispose();
    this.#listener.onEnded(result);
  }
}

function totalDroppedFrames(sequencer: FrameSequencer): number {
  const { duplicate, otherGeneration, bufferFull, inconsistent } =
    sequencer.droppedCounts;
  return duplicate + otherGeneration + bufferFull + inconsistent;
}
