/**
 * Contract of the client for model engines: streamed generations, load reports,
 * cache events and fenced orders.
 */

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

/** Request for a generation in the form in which the engine receives it. */
export interface EngineRequest {
  readonly id: GenerationId;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Requests with a higher priority run first and are preempted last. */
  readonly priority: number;
}

/** Reason why an engine ended a generation. */
export type FinishReason = "stop" | "length" | "cancelled";

/** One frame of the stream of a generation. */
export type EngineFrame =
  | {
    readonly kind: "token";
    readonly generation: string;
    /** Zero-based position of the token in the generation. */
    readonly offset: number;
    readonly text: string;
  }
  | {
    readonly kind: "end";
    readonly generation: string;
    /** Number of tokens of the complete generation. */
    readonly offset: number;
    readonly finish: FinishReason;
  };

/**
 * Evidence that the engine did not execute a request: it could not be reached,
 * no process listens at its address (`down`), or the engine itself refused the
 * request or is draining (`leaving`).
 */
export type NotRunReason = "unreachable" | "down" | "refused" | "leaving";

/** How a connection that carried a stream ended. */
export type StreamClose =
  /** There is evidence that the engine did not execute the request. */
  | {
    readonly kind: "not-run";
    readonly reason: NotRunReason;
    readonly detail: string;
  }
  /** The engine holds no generation with this id, or no longer. */
  | { readonly kind: "unknown-generation"; readonly detail: string }
  /** The connection failed; the generation may still be running. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The engine closed the stream normally. */
  | { readonly kind: "closed" };

/** Receiver of the events of one streaming connection. */
export interface EngineStreamListener {
  /**
   * Called when the engine has accepted the request or found the generation.
   */
  onAccepted(): void;
  /**
   * Called for each batch of frames.
   *
   * @param frames - Frames that arrived together, in the order of arrival.
   */
  onFrames(frames: readonly EngineFrame[]): void;
  /**
   * Called at most once, as the last call.
   *
   * @param close - How the connection ended.
   */
  onClosed(close: StreamClose): void;
}

/** A connection that carries a stream. Disposing it aborts the connection. */
export interface EngineStream extends Disposable {
  /**
   * Stops reading, so that the frames of the engine are buffered in the
   * connection.
   */
  pause(): void;
  /** Resumes reading. */
  resume(): void;
}

/**
 * Load of an engine as reported by the engine itself. It lags behind the actual
 * load.
 */
export interface LoadReport {
  /** Age of the report when it was read, in milliseconds. */
  readonly ageMs: number;
  readonly running: number;
  readonly queued: number;
  /** Memory in use, in tokens. */
  readonly memoryUsedTokens: number;
  /** Total memory in tokens, if the engine reports it. */
  readonly memoryTotalTokens: number | undefined;
  /** Number of preemptions since the engine started. */
  readonly preemptions: number;
  /** Changes each time the engine restarts. */
  readonly incarnation: string;
  readonly isLeaving: boolean;
}

/** One change of the prefix cache of an engine. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  /**
   * Hashes of consecutive blocks of the prompt, beginning with the first block.
   */
  readonly blockHashes: readonly string[];
}

/**
 * Events after a requested sequence number. `isGapped` is set when some events
 * in between were dropped by the engine.
 */
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

/** Role of an engine within its service. */
export type EngineRole = "serve" | "standby";

/** An order with the fencing token that rejects earlier writers. */
export interface FencedOrder {
  readonly fence: number;
  readonly order: EngineOrder;
}

/**
 * What an engine has loaded, with the highest fencing token that it has seen.
 */
export interface EngineState {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: EngineRole;
  readonly highestFence: number;
}

/**
 * Reason why a request other than a stream failed. `not-done`: the engine did
 * not execute it. `stale-fence`: the fencing token was too low. `unknown`: it
 * may have been executed.
 */
export interface EngineFailure {
  readonly kind: "not-done" | "stale-fence" | "unknown";
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/** Result of cancelling a generation. */
export type CancelResult = "cancelled" | "ended" | "unknown-generation";

/** Client for model engines. */
export interface EngineClient extends Disposable {
  /** Starts a generation under the id in the request and streams it. */
  start(
    endpoint: Endpoint,
    request: EngineRequest,
    listener: EngineStreamListener,
  ): EngineStream;

  /**
   * Streams a running or retained generation again.
   *
   * @param endpoint - The endpoint that runs the generation.
   * @param id - The id of the generation.
   * @param fromOffset - The offset of the first requested token.
   * @param listener - The receiver of the stream.
   */
  resume(
    endpoint: Endpoint,
    id: GenerationId,
    fromOffset: number,
    listener: EngineStreamListener,
  ): EngineStream;

  /** Cancels a generation. Repeating the request has no further effect. */
  cancel(
    endpoint: Endpoint,
    id: GenerationId,
  ): AsyncEither<EngineFailure, CancelResult>;

  /** Reads the load report of an engine. */
  readLoad(endpoint: Endpoint): AsyncEither<EngineFailure, LoadReport>;

  /** Reads the cache events after a sequence number. */
  readCacheEvents(
    endpoint: Endpoint,
    afterSequence: number,
  ): AsyncEither<EngineFailure, CacheEventPage>;

  /** Sends an order to an engine. */
  order(
    endpoint: Endpoint,
    order: FencedOrder,
  ): AsyncEither<EngineFailure, EngineState>;

  /** Reads what an engine has loaded. */
  readState(endpoint: Endpoint): AsyncEither<EngineFailure, EngineState>;
}
