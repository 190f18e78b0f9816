/** Contract with a model engine. */

import type {
  Address,
  EndpointId,
  GenerationId,
} from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { AsyncEither } from "../../../base/common/result.ts";

/** One replica of a service. */
export interface Endpoint {
  readonly id: EndpointId;
  readonly address: Address;
}

/** A generation as the engine is asked for it. */
export interface EngineRequest {
  readonly id: GenerationId;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Higher runs first and is preempted last. */
  readonly priority: number;
}

/** Why an engine ended a generation. */
export type FinishReason = "stop" | "length" | "cancelled";

/** One frame of a generation's stream. */
export type EngineFrame =
  | {
    readonly kind: "token";
    readonly generation: string;
    /** Position of the token in the generation, from 0. */
    readonly offset: number;
    readonly text: string;
  }
  | {
    readonly kind: "end";
    readonly generation: string;
    /** Number of tokens of the whole generation. */
    readonly offset: number;
    readonly finish: FinishReason;
  };

/**
 * How it is known that the engine did not run a request: it could not be
 * reached, no process listens there (`down`), or the engine itself says so.
 */
export type NotRunReason = "unreachable" | "down" | "refused" | "leaving";

/** How a connection that carried a stream ended. */
export type StreamClose =
  /** Evidence that the engine did not run the request. */
  | {
    readonly kind: "not-run";
    readonly reason: NotRunReason;
    readonly detail: string;
  }
  /** The engine does not know this generation (any more). */
  | { readonly kind: "unknown-generation"; readonly detail: string }
  /** The connection broke; the generation may go on. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The engine closed the stream in order. */
  | { readonly kind: "closed" };

/** Receiver of one connection's stream. */
export interface EngineStreamListener {
  /** The engine took the request or found the generation. */
  onAccepted(): void;
  /** @param frames - Frames that arrived together, in order of arrival. */
  onFrames(frames: readonly EngineFrame[]): void;
  /** @param close - Called at most once; nothing follows. */
  onClosed(close: StreamClose): void;
}

/** One connection that carries a stream; disposing it drops the connection. */
export interface EngineStream extends Disposable {
  /** Stops reading, so that the engine's frames wait in the connection. */
  pause(): void;
  /** Reads on. */
  resume(): void;
}

/** What an engine says of its load; it lags behind. */
export interface LoadReport {
  /** Age of the figures at the moment of the answer, in milliseconds. */
  readonly ageMs: number;
  readonly running: number;
  readonly queued: number;
  /** Memory in use, in tokens. */
  readonly memoryUsedTokens: number;
  /** Whole memory in tokens, when the engine says it. */
  readonly memoryTotalTokens: number | undefined;
  /** Preemptions since the engine started. */
  readonly preemptions: number;
  /** Changes when the engine restarts. */
  readonly incarnation: string;
  readonly isLeaving: boolean;
}

/** One change of an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  /** Hashes of the prompt's blocks, from the first one on. */
  readonly blockHashes: readonly string[];
}

/** Events after a sequence number; `isGapped` when some have been dropped. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[];
  readonly lastSequence: number;
  readonly isGapped: boolean;
}

/** An order that changes what an engine serves. */
export type EngineOrder =
  | {
    readonly kind: "load-model";
    readonly model: string;
    readonly version: string;
  }
  | { readonly kind: "load-adapter"; readonly adapter: string }
  | { readonly kind: "unload-adapter"; readonly adapter: string }
  | { readonly kind: "set-role"; readonly role: EngineRole };

/** What an engine does within its service. */
export type EngineRole = "serve" | "standby";

/** An order with the number that fences earlier writers. */
export interface FencedOrder {
  readonly fence: number;
  readonly order: EngineOrder;
}

/** What an engine has loaded. */
export interface EngineState {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: EngineRole;
  readonly highestFence: number;
}

/** Why a call of an engine, other than a stream, failed. */
export interface EngineFailure {
  readonly kind: "not-done" | "stale-fence" | "unknown";
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/** What became of a cancelled generation. */
export type CancelResult = "cancelled" | "ended" | "unknown-generation";

/** Client of model engines. */
export interface EngineClient extends Disposable {
  /** Starts a generation under our id and streams it. */
  start(
    endpoint: Endpoint,
    request: EngineRequest,
    listener: EngineStreamListener,
  ): EngineStream;

  /**
   * Streams a running or kept generation again.
   *
   * @param endpoint - The endpoint that runs it.
   * @param id - The generation.
   * @param fromOffset - First token that is wanted.
   * @param listener - Receiver of the stream.
   */
  resume(
    endpoint: Endpoint,
    id: GenerationId,
    fromOffset: number,
    listener: EngineStreamListener,
  ): EngineStream;

  /** Ends a generation; repeating it is harmless. */
  cancel(
    endpoint: Endpoint,
    id: GenerationId,
  ): AsyncEither<EngineFailure, CancelResult>;

  /** Reads the load report. */
  readLoad(endpoint: Endpoint): AsyncEither<EngineFailure, LoadReport>;

  /** Reads the cache events after a sequence number. */
  readCacheEvents(
    endpoint: Endpoint,
    afterSequence: number,
  ): AsyncEither<EngineFailure, CacheEventPage>;

  /** Gives an order. */
  order(
    endpoint: Endpoint,
    order: FencedOrder,
  ): AsyncEither<EngineFailure, EngineState>;

  /** Reads what is loaded. */
  readState(endpoint: Endpoint): AsyncEither<EngineFailure, EngineState>;
}
