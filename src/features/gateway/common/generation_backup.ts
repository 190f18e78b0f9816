/** The copy of a generation's memory that another engine keeps as it grows. */

import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { CopyClaim, LoadBoard } from "./load_board.ts";

/** Age of a run from which its backup holds the prompt; it is sent several times a second. */
const SETTLE_MS = 700;

/** Where a backup is, and whether it can be used. */
export class GenerationBackup {
  #endpoint: RegisteredEndpoint | undefined;
  #claim: CopyClaim | undefined;

  /** The engine that keeps the copy. */
  get endpoint(): RegisteredEndpoint | undefined {
    return this.#endpoint;
  }

  /**
   * Replaces the backup.
   *
   * @param endpoint - The engine that is to keep the copy, if any.
   * @param board - Counts the memory of the copy.
   * @param tokens - Size of the copy.
   */
  keepAt(
    endpoint: RegisteredEndpoint | undefined,
    board: LoadBoard,
    tokens: number,
  ): void {
    this.drop();
    if (!endpoint) return;
    this.#endpoint = endpoint;
    this.#claim = board.claimCopy(endpoint.id, tokens);
  }

  /** @param tokens - Size of the copy by now. */
  resize(tokens: number): void {
    this.#claim?.resize(tokens);
  }

  /**
   * @param runningMs - Time since the first event of the run.
   * @returns The engine from whose copy the generation can go on now.
   */
  usableAfter(runningMs: number): RegisteredEndpoint | undefined {
    const isSettled = runningMs >= SETTLE_MS;
    return isSettled && this.#endpoint?.isUsable ? this.#endpoint : undefined;
  }

  /** There is no backup any more. */
  drop(): void {
    this.#claim?.dispose();
    this.#claim = undefined;
    this.#endpoint = undefined;
  }
}
