/**
 * Records of the responses that the callers of a scenario receive, and the
 * checks that every response must pass.
 */

import type { Either } from "../../src/base/common/result.ts";
import type { Token } from "../../src/features/generations/common/frame_sequencer.ts";
import type {
  GenerationListener,
  GenerationResult,
} from "../../src/features/generations/common/generation_service.ts";
import type { AppResponse } from "../../src/services/endpoints/common/app_client.ts";
import type { RequestFailure } from "../../src/services/outcomes/common/failure.ts";
import { tokenText } from "../../standins/engine/engine_options.ts";

/** Records the tokens and results that the caller of a generation receives. */
export class GenerationRecord implements GenerationListener {
  readonly workspace: string;
  readonly tokens: Token[] = [];
  id = "";
  results: GenerationResult[] = [];
  /**
   * Whether the caller has disconnected or its host has crashed. Nothing that
   * arrives afterwards is recorded.
   */
  isDisconnected = false;

  /** @param workspace - Name of the workspace of the caller. */
  constructor(workspace: string) {
    this.workspace = workspace;
  }

  /** {@inheritDoc GenerationListener.onStarted} */
  onStarted(id: string): void {
    this.id = id;
  }

  /** {@inheritDoc GenerationListener.onTokens} */
  onTokens(tokens: readonly Token[]): boolean {
    if (!this.isDisconnected) this.tokens.push(...tokens);
    return true;
  }

  /** {@inheritDoc GenerationListener.onEnded} */
  onEnded(result: GenerationResult): void {
    if (!this.isDisconnected) this.results.push(result);
  }

  /** Outcome that was reported to the caller, or `none` while there is none. */
  get outcome(): string {
    const result = this.results.at(-1);
    if (!result) return "none";
    return result.kind === "completed" ? "completed" : result.failure.outcome;
  }

  /** Reason of the failure that was reported to the caller. */
  get reason(): string | undefined {
    const result = this.results.at(-1);
    return result?.kind === "failed" ? result.failure.reason : undefined;
  }

  /**
   * Checks that the tokens are contiguous and belong to this generation, and
   * that the response ended at most once.
   *
   * @returns A description of the first violation, or undefined if there is
   * none.
   */
  findViolation(): string | undefined {
    const invalidIndex = this.tokens.findIndex(({ offset, text }, index) =>
      offset !== index || text !== tokenText(this.id, index)
    );
    if (invalidIndex >= 0) {
      return `token ${invalidIndex} is not the next token of the generation`;
    }
    if (this.results.length > 1) return "the response ended more than once";
    return undefined;
  }
}

/** Records the response that the caller of a plain call receives. */
export class CallRecord {
  result: Either<RequestFailure, AppResponse> | undefined;

  /** Outcome that was reported to the caller, or `none` while there is none. */
  get outcome(): string {
    return this.result?.caseOf<string>({
      Left: (failure) => failure.outcome,
      Right: () => "completed",
    }) ?? "none";
  }

  /** Reason of the failure that was reported to the caller. */
  get reason(): string | undefined {
    return this.result?.caseOf<string | undefined>({
      Left: (failure) => failure.reason,
      Right: () => undefined,
    });
  }

  /** HTTP status of the response of the app service. */
  get status(): number | undefined {
    return this.result?.caseOf<number | undefined>({
      Left: () => undefined,
      Right: (response) => response.status,
    });
  }
}
