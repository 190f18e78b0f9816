/**
 * Decorators of the generation and call services that record the progress and
 * the outcome of requests in the decision log.
 */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type { AppResponse } from "../../../services/endpoints/common/app_client.ts";
import type { CancelResult } from "../../../services/endpoints/common/engine_client.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import type {
  CallRequest,
  CallService,
} from "../../calls/common/call_service.ts";
import type {
  GenerationHandle,
  GenerationListener,
  GenerationRequest,
  GenerationResult,
  GenerationService,
  ResumeRequest,
} from "../../generations/common/generation_service.ts";
import type { Decision, DecisionLog } from "./decision_log.ts";

/** The part of {@link CallService} that the daemon uses. */
export type CallRunner = Pick<CallService, "run" | "activeCount">;

type DecisionRecorder = (decision: Decision) => void;

/** Forwards generations to another service and records their outcome. */
export class RecordingGenerationService implements GenerationService {
  readonly #inner: GenerationService;
  readonly #log: DecisionLog;

  /**
   * @param inner - The service that runs the requests.
   * @param log - Log that receives the decisions.
   */
  constructor(inner: GenerationService, log: DecisionLog) {
    this.#inner = inner;
    this.#log = log;
  }

  /** {@inheritDoc GenerationService.activeCount} */
  get activeCount(): number {
    return this.#inner.activeCount;
  }

  /** {@inheritDoc GenerationService.start} */
  start(
    request: GenerationRequest,
    caller: GenerationListener,
  ): GenerationHandle {
    const record: DecisionRecorder = (decision) =>
      this.#log.add(request.requestId, decision);
    return wrapHandle(
      this.#inner.start(request, wrapCaller(caller, record)),
      record,
    );
  }

  /** {@inheritDoc GenerationService.resume} */
  resume(request: ResumeRequest, caller: GenerationListener): GenerationHandle {
    const { requestId, id, fromOffset } = request;
    const record: DecisionRecorder = (decision) =>
      this.#log.add(requestId, decision);
    record({ kind: "resumed", generation: id, fromOffset });
    return wrapHandle(
      this.#inner.resume(request, wrapCaller(caller, record)),
      record,
    );
  }

  /** {@inheritDoc GenerationService.cancel} */
  cancel(
    workspace: WorkspaceId,
    id: string,
  ): AsyncEither<RequestFailure, CancelResult> {
    return this.#inner.cancel(workspace, id);
  }
}

/** Forwards calls to another service and records their outcome. */
export class RecordingCallRunner implements CallRunner {
  readonly #inner: CallRunner;
  readonly #log: DecisionLog;

  /**
   * @param inner - The service that runs the requests.
   * @param log - Log that receives the decisions.
   */
  constructor(inner: CallRunner, log: DecisionLog) {
    this.#inner = inner;
    this.#log = log;
  }

  /** Number of calls in progress. */
  get activeCount(): number {
    return this.#inner.activeCount;
  }

  /** {@inheritDoc CallService.run} */
  async run(call: CallRequest): AsyncEither<RequestFailure, AppResponse> {
    const result = await this.#inner.run(call);
    this.#log.add(
      call.requestId,
      result.caseOf<Decision>({
        Left: (failure) => toOutcome(failure, 0),
        Right: ({ status }) => ({
          kind: "ended",
          outcome: "completed",
          detail: `status ${status}`,
          deliveredTokens: 0,
        }),
      }),
    );
    return result;
  }
}

function wrapCaller(
  caller: GenerationListener,
  record: DecisionRecorder,
): GenerationListener {
  return {
    onStarted: (id) => {
      record({ kind: "started", generation: id });
      caller.onStarted(id);
    },
    onTokens: (tokens) => caller.onTokens(tokens),
    onEnded: (end) => {
      record(toEndedDecision(end));
      caller.onEnded(end);
    },
  };
}

function wrapHandle(
  handle: GenerationHandle,
  record: DecisionRecorder,
): GenerationHandle {
  return {
    resumeReading: () => handle.resumeReading(),
    onCallerDisconnected: () => {
      record({ kind: "caller-gone" });
      handle.onCallerDisconnected();
    },
  };
}

function toEndedDecision(end: GenerationResult): Decision {
  if (end.kind === "failed") return toOutcome(end.failure, end.deliveredTokens);
  return {
    kind: "ended",
    outcome: "completed",
    detail: `finish reason ${end.finish}`,
    deliveredTokens: end.tokenCount,
  };
}

function toOutcome(failure: RequestFailure, deliveredTokens: number): Decision {
  const { outcome, reason, detail, step, peer } = failure;
  const location = peer === "" ? step : `${step} (${peer})`;
  return {
    kind: "ended",
    outcome,
    detail: `${reason} at ${location}: ${detail}`,
    deliveredTokens,
  };
}
