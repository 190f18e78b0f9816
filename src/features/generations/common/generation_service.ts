/** Interfaces for starting, resuming and cancelling generations. */

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

/** Parameters of a generation requested by a caller. */
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
   * `stream`: tokens are delivered as they arrive. `whole`: all tokens are
   * delivered once the generation is complete; until then it may be restarted.
   */
  readonly delivery: "stream" | "whole";
}

/** Final result of a generation as reported to its caller. */
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

/** Receives the events of a generation on behalf of its caller. */
export interface GenerationListener {
  /**
   * Called with the id of the generation before any tokens, once the id is
   * final.
   */
  onStarted(id: GenerationId): void;
  /**
   * Called with tokens in order; each token is delivered once.
   *
   * @param tokens - Tokens that follow those delivered before.
   * @returns `false` to pause delivery until `resumeReading` is called.
   */
  onTokens(tokens: readonly Token[]): boolean;
  /** Called exactly once, unless the caller disconnects first. */
  onEnded(result: GenerationResult): void;
}

/** Controls a running generation. */
export interface GenerationHandle {
  /** Resumes token delivery after the listener paused it. */
  resumeReading(): void;
  /**
   * Detaches the caller, which may resume the generation within the resume
   * window.
   */
  onCallerDisconnected(): void;
}

/** Request to resume a generation at a token offset. */
export interface ResumeRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  /** Generation id as sent by the caller. */
  readonly id: string;
  /** Offset of the first token that the caller has not received. */
  readonly fromOffset: number;
}

/** Starts, resumes and cancels generations for the callers of this daemon. */
export interface GenerationService {
  /** Number of generations that this daemon is relaying. */
  readonly activeCount: number;

  /** Starts a generation. */
  start(
    request: GenerationRequest,
    listener: GenerationListener,
  ): GenerationHandle;

  /** Resumes a generation started by any daemon. */
  resume(
    request: ResumeRequest,
    listener: GenerationListener,
  ): GenerationHandle;

  /**
   * Cancels a generation started by any daemon.
   *
   * @param workspace - Workspace of the caller. A generation that another
   * workspace started is reported as not found.
   * @param id - Generation id as sent by the caller.
   */
  cancel(
    workspace: WorkspaceId,
    id: string,
  ): AsyncEither<RequestFailure, CancelResult>;
}
