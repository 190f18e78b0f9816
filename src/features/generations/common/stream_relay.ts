/**
 * Follows one generation at its engine over as many connections as it takes,
 * and passes each token on once.
 */

import { assertNever } from "../../../base/common/errors.ts";
import type { GenerationId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NO_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type {
  Endpoint,
  EngineFrame,
  EngineStream,
  EngineStreamListener,
  FinishReason,
  StreamClose,
} from "../../../platform/endpoints/common/engine_client.ts";
import { FrameSequencer, type Token } from "./frame_sequencer.ts";
import type { RelayServices } from "./relay_services.ts";

/** How following a generation ended. */
export type RelayEnd =
  | { readonly kind: "finished"; readonly finish: FinishReason }
  /** The engine did not run it. */
  | { readonly kind: "not-run"; readonly detail: string }
  /** The engine is gone or does not know the generation any more. */
  | { readonly kind: "lost"; readonly detail: string };

/** Receiver of a relay. */
export interface RelayListener {
  /** The engine has taken the generation. */
  onAccepted(): void;
  /** @returns `false` to stop reading until `resumeReading`. */
  onTokens(tokens: readonly Token[]): boolean;
  /** Called at most once; nothing follows. */
  onEnded(end: RelayEnd): void;
}

/** How a relay opens its first connection. */
export type RelayOpening = (listener: EngineStreamListener) => EngineStream;

const MAX_RECONNECTS = 4;
const FIRST_RECONNECT_DELAY_MS = 50;
const SILENCE_LIMIT_MS = 5_000;

/** One generation, followed to its end. */
export class StreamRelay implements Disposable {
  readonly #services: RelayServices;
  readonly #endpoint: Endpoint;
  readonly #id: GenerationId;
  readonly #listener: RelayListener;
  readonly #sequencer: FrameSequencer;
  #stream: EngineStream | undefined;
  #connection = 0;
  #failedConnects = 0;
  #isPaused = false;
  #isEnded = false;
  #isAccepted = false;
  #timer: Disposable = NO_DISPOSABLE;
  #lastFrameMs = 0;

  /**
   * @param services - Services of the feature.
   * @param endpoint - Where the generation runs.
   * @param id - The generation.
   * @param fromOffset - First token that is wanted.
   * @param listener - Receiver.
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
  }

  /** Offset of the next token to deliver. */
  get nextOffset(): number {
    return this.#sequencer.nextOffset;
  }

  /** Opens the first connection with a new generation's request. */
  open(opening: RelayOpening): void {
    this.#connect(opening);
  }

  /** Opens the first connection to a generation that runs already. */
  openResumed(): void {
    this.#reconnect();
  }

  /** The caller takes tokens again. */
  resumeReading(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#lastFrameMs = this.#services.clock.monotonicMs();
    this.#stream?.resume();
  }

  /** Drops the connection; nothing follows. */
  dispose(): void {
    this.#isEnded = true;
    this.#timer.dispose();
    this.#stream?.dispose();
  }

  #connect(opening: RelayOpening): void {
    this.#timer.dispose();
    this.#stream?.dispose();
    const connection = ++this.#connection;
    const isCurrent = (): boolean =>
      !this.#isEnded && connection === this.#connection;
    this.#lastFrameMs = this.#services.clock.monotonicMs();
    this.#stream = opening({
      onAccepted: () => isCurrent() && this.#onAccepted(),
      onFrames: (frames) => isCurrent() && this.#onFrames(frames),
      onClosed: (close) => isCurrent() && this.#onClosed(close),
    });
    if (isCurrent()) this.#watchSilence(SILENCE_LIMIT_MS);
  }

  #reconnect(): void {
    this.#connect((listener) =>
      this.#services.engines.resume(
        this.#endpoint,
        this.#id,
        this.#sequencer.nextOffset,
        listener,
      )
    );
  }

  #onAccepted(): void {
    if (this.#isAccepted) return;
    this.#isAccepted = true;
    this.#listener.onAccepted();
  }

  #onFrames(frames: readonly EngineFrame[]): void {
    this.#lastFrameMs = this.#services.clock.monotonicMs();
    const before = countDropped(this.#sequencer);
    const tokens = this.#sequencer.accept(frames);
    const dropped = countDropped(this.#sequencer) - before;
    if (dropped > 0) this.#services.metrics.count("frames_dropped", dropped);
    if (tokens.length > 0) this.#passOn(tokens);
    const finish = this.#sequencer.finish;
    if (finish) this.#end({ kind: "finished", finish });
  }

  #passOn(tokens: readonly Token[]): void {
    this.#failedConnects = 0;
    if (this.#listener.onTokens(tokens) || this.#isEnded) return;
    this.#isPaused = true;
    this.#stream?.pause();
  }

  #onClosed(close: StreamClose): void {
    switch (close.kind) {
      case "not-run":
        if (this.#isAccepted || this.#connection > 1) {
          this.#retryConnection(close.detail);
        } else this.#end({ kind: "not-run", detail: close.detail });
        return;
      case "unknown-generation":
        this.#end({ kind: "lost", detail: close.detail });
        return;
      case "lost":
        this.#retryConnection(close.detail);
        return;
      case "closed":
        this.#retryConnection("the engine closed before the end");
        return;
      default:
        assertNever(close);
    }
  }

  #retryConnection(detail: string): void {
    this.#failedConnects++;
    if (this.#failedConnects > MAX_RECONNECTS) {
      this.#end({ kind: "lost", detail });
      return;
    }
    this.#services.metrics.count("streams_resumed");
    const delayMs = FIRST_RECONNECT_DELAY_MS * 2 ** (this.#failedConnects - 1);
    this.#timer.dispose();
    this.#timer = this.#services.clock.setTimer(
      delayMs,
      () => this.#reconnect(),
    );
  }

  /** A connection without frames is taken for dead and replaced. */
  #watchSilence(delayMs: number): void {
    const { clock } = this.#services;
    this.#timer = clock.setTimer(delayMs, () => {
      const silentMs = clock.monotonicMs() - this.#lastFrameMs;
      if (this.#isPaused) this.#watchSilence(SILENCE_LIMIT_MS);
      else if (silentMs < SILENCE_LIMIT_MS) {
        this.#watchSilence(SILENCE_LIMIT_MS - silentMs);
      } else this.#retryConnection("the connection is silent");
    });
  }

  #end(end: RelayEnd): void {
    if (this.#isEnded) return;
    this.dispose();
    this.#listener.onEnded(end);
  }
}

function countDropped(sequencer: FrameSequencer): number {
  const { duplicate, foreign, beyondBuffer } = sequencer.dropped;
  return duplicate + foreign + beyondBuffer;
}
