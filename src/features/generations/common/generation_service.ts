/** Contract of generations: start, resume and cancel for a caller. */

import type {
  GenerationId,
  RequestId,
  ServiceId,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type {
  CancelResult,
  FinishReason,
} from "../../../services/endpoints/common/engine_client.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type { Token } from "./frame_sequencer.ts";

/** A generation as its caller asked for it. */
export interface GenerationRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly className: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly sizeBytes: number;
  readonly maxWaitMs: number | undefined;
  /**
   * `stream`: tokens are passed on as they come. `whole`: the answer is
   * delivered only when it is complete, and may be restarted until then.
   */
  readonly delivery: "stream" | "whole";
}

/** How a generation ended for its caller. */
export type GenerationResult =
  | {
    readonly kind: "completed";
    readonly finish: FinishReason;
    readonly tokenCount: number;
  }
  | {
    readonly kind: "failed";
    readonly failure: RequestFailure;
    readonly deliveredTokens: number;
  };

/** The caller's side of a generation. */
export interface GenerationListener {
  /**
   * The generation has been accepted. With `delivery: whole` it may be called
   * again, for a restart.
   */
  onStarted(id: GenerationId): void;
  /**
   * @param tokens - Tokens in order, each once.
   * @returns `false` when the caller is slow; call `resumeReading` later.
   */
  onTokens(tokens: readonly Token[]): boolean;
  /** Called exactly once, unless the caller went away first. */
  onEnded(result: GenerationResult): void;
}

/** A running generation. */
export interface GenerationHandle {
  /** The caller takes tokens again. */
  resumeReading(): void;
  /** The caller went away; it may resume within the resume window. */
  onCallerDisconnected(): void;
}

/** Where a caller wants to go on. */
export interface ResumeRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  /** The id as the caller sent it. */
  readonly id: string;
  /** First token that the caller has not got. */
  readonly fromOffset: number;
}

/** Generations of this daemon. */
export interface GenerationService {
  /** Number of generations that are being passed on. */
  readonly activeCount: number;

  /** Starts a generation. */
  start(
    request: GenerationRequest,
    caller: GenerationListener,
  ): GenerationHandle;

  /** Goes on with a generation that any daemon started. */
  resume(request: ResumeRequest, caller: GenerationListener): GenerationHandle;

  /**
   * Cancels a generation that any daemon started.
   *
   * @param workspace - Must be the one that started it.
   * @param id - The id as the caller sent it.
   */
  cancel(
    workspace: WorkspaceId,
    id: string,
  ): AsyncEither<RequestFailure, CancelResult>;
}
