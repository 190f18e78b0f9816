/** Generations and calls whose ends are recorded. */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import type { Eventually } from "../../../base/common/result.ts";
import type { AppResponse } from "../../../services/endpoints/common/app_client.ts";
import type { CancelResult } from "../../../services/endpoints/common/engine_client.ts";
import type { Failure } from "../../../services/outcomes/common/failure.ts";
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
export type Calls = Pick<CallService, "run" | "activeCount">;

type AddDecision = (decision: Decision) => void;

/** Passes generations on and records how they end. */
export class ExplainedGenerations implements GenerationService {
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
    const add: AddDecision = (decision) =>
      this.#log.add(request.requestId, decision);
    return explainHandle(
      this.#inner.start(request, explainCaller(caller, add)),
      add,
    );
  }

  /** {@inheritDoc GenerationService.resume} */
  resume(request: ResumeRequest, caller: GenerationListener): GenerationHandle {
    const { requestId, id, fromOffset } = request;
    const add: AddDecision = (decision) => this.#log.add(requestId, decision);
    add({ kind: "resumed", generation: id, fromOffset });
    return explainHandle(
      this.#inner.resume(request, explainCaller(caller, add)),
      add,
    );
  }

  /** {@inheritDoc GenerationService.cancel} */
  cancel(
    workspace: WorkspaceId,
    id: string,
  ): Eventually<Failure, CancelResult> {
    return this.#inner.cancel(workspace, id);
  }
}

/** Passes calls on and records how they end. */
export class ExplainedCalls implements Calls {
  readonly #inner: Calls;
  readonly #log: DecisionLog;

  /**
   * @param inner - The service that runs them.
   * @param log - Receives the decisions.
   */
  constructor(inner: Calls, log: DecisionLog) {
    this.#inner = inner;
    this.#log = log;
  }

  /** Number of calls that have not ended. */
  get activeCount(): number {
    return this.#inner.activeCount;
  }

  /** {@inheritDoc CallService.run} */
  async run(call: CallRequest): Eventually<Failure, AppResponse> {
    const result = await this.#inner.run(call);
    this.#log.add(
      call.requestId,
      result.caseOf<Decision>({
        Left: (failure) => endedBy(failure, 0),
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

function explainCaller(
  caller: GenerationListener,
  add: AddDecision,
): GenerationListener {
  return {
    onStarted: (id) => {
      add({ kind: "started", generation: id });
      caller.onStarted(id);
    },
    onTokens: (tokens) => caller.onTokens(tokens),
    onEnded: (end) => {
      add(toDecision(end));
      caller.onEnded(end);
    },
  };
}

function explainHandle(
  handle: GenerationHandle,
  add: AddDecision,
): GenerationHandle {
  return {
    resumeReading: () => handle.resumeReading(),
    onCallerDisconnected: () => {
      add({ kind: "caller-gone" });
      handle.onCallerDisconnected();
    },
  };
}

function toDecision(end: GenerationResult): Decision {
  if (end.kind === "failed") return endedBy(end.failure, end.deliveredTokens);
  return {
    kind: "ended",
    outcome: "completed",
    detail: `finished by ${end.finish}`,
    deliveredTokens: end.tokenCount,
  };
}

function endedBy(failure: Failure, deliveredTokens: number): Decision {
  const { outcome, reason, detail, step, peer } = failure;
  const place = peer === "" ? step : `${step} (${peer})`;
  return {
    kind: "ended",
    outcome,
    detail: `${reason} at ${place}: ${detail}`,
    deliveredTokens,
  };
}
