/** What the callers of a scenario have received. */

import type { Either } from "../../src/base/common/result.ts";
import type { Token } from "../../src/features/generations/common/frame_sequencer.ts";
import type {
  GenerationListener,
  GenerationResult,
} from "../../src/features/generations/common/generation_service.ts";
import type { AppResponse } from "../../src/services/endpoints/common/app_client.ts";
import type { RequestFailure } from "../../src/services/outcomes/common/failure.ts";
import { tokenText } from "../../standins/engine/engine_options.ts";

/** A caller of a generation. */
export class GenerationRecord implements GenerationListener {
  readonly workspace: string;
  readonly tokens: Token[] = [];
  id = "";
  results: GenerationResult[] = [];
  /** Set when the host dies under the caller's connection. */
  isDisconnected = false;

  /** @param workspace - Name of the caller's workspace. */
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

  /** Outcome that the caller was told, or `none`. */
  get outcome(): string {
    const result = this.results.at(-1);
    if (!result) return "none";
    return result.kind === "completed" ? "completed" : result.failure.outcome;
  }

  /** Reason of the failure that the caller was told. */
  get reason(): string | undefined {
    const result = this.results.at(-1);
    return result?.kind === "failed" ? result.failure.reason : undefined;
  }

  /**
   * Checks what must always hold of an answer.
   *
   * @returns What is wrong, if anything.
   */
  findViolation(): string | undefined {
    const invalidIndex = this.tokens.findIndex(({ offset, text }, index) =>
      offset !== index || text !== tokenText(this.id, index)
    );
    if (invalidIndex >= 0) {
      return `token ${invalidIndex} is not the next one of its generation`;
    }
    if (this.results.length > 1) return "the answer ended more than once";
    return undefined;
  }
}

/** A caller of a plain call. */
export class CallRecord {
  result: Either<RequestFailure, AppResponse> | undefined;

  /** Outcome that the caller was told, or `none`. */
  get outcome(): string {
    return this.result?.caseOf<string>({
      Left: (failure) => failure.outcome,
      Right: () => "completed",
    }) ?? "none";
  }

  /** Reason of the failure that the caller was told. */
  get reason(): string | undefined {
    return this.result?.caseOf<string | undefined>({
      Left: (failure) => failure.reason,
      Right: () => undefined,
    });
  }

  /** HTTP status of the service's answer. */
  get status(): number | undefined {
    return this.result?.caseOf<number | undefined>({
      Left: () => undefined,
      Right: (response) => response.status,
    });
  }
}
