/** Generations and calls whose ends are recorded. */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import type { Eventually } from "../../../base/common/result.ts";
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

/** What the daemon needs of the calls. */
export type CallRunner = Pick<CallService, "run" | "activeCount">;

type DecisionRecorder = (decision: Decision) => void;

/** Passes generations on and records how they end. */
export class RecordingGenerationService implements GenerationService {
  readonly #inner: GenerationService;
  readonly #log: DecisionLog;

  /**
   * @param inner - The service that runs them.
   * @param log - Receives the decisions.
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
  ): Eventually<RequestFailure, CancelResult> {
    return this.#inner.cancel(workspace, id);
  }
}

/** Passes calls on and records how they end. */
export class RecordingCallRunner implements CallRunner {
  readonly #inner: CallRunner;
  readonly #log: DecisionLog;

  /**
   * @param inner - The service that runs them.
   * @param log - Receives the decisions.
   */
  constructor(inner: CallRunner, log: DecisionLog) {
    this.#inner = inner;
    this.#log = log;
  }

  /** Number of calls that have not ended. */
  get activeCount(): number {
    return this.#inner.activeCount;
  }

  /** {@inheritDoc CallService.run} */
  async run(call: CallRequest): Eventually<RequestFailure, AppResponse> {
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
    detail: `finished by ${end.finish}`,
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
