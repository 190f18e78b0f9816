/** Contract of what engines do beside answering requests. */

import type { Address, RequestId } from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";

/** What an engine says of itself; its figures lag by some hundred ms. */
export interface EngineReport {
  readonly isDraining: boolean;
  /** Time until it goes, if it knows. */
  readonly shutdownInMs: number | undefined;
  /** Start of its process, if it says so. */
  readonly bornMs: number | undefined;
}

/** A copy of a generation's memory at another engine. */
export interface GenerationCopy {
  /** Name under which both engines know the copy. */
  readonly name: string;
}

/** Why a copy was not made. */
export interface CopyFailure {
  readonly kind: "no-such-run" | "busy" | "no-room" | "unreachable";
  readonly message: string;
}

/** Asks engines. Every call ends by itself after its time-out. */
export interface EngineControl {
  readReport(address: Address): AsyncEither<string, EngineReport>;
  /**
   * Copies the memory of a generation to another engine while it runs on.
   *
   * @param source - Where it runs.
   * @param target - Where the copy goes.
   * @param request - The generation.
   */
  copyRun(
    source: Address,
    target: Address,
    request: RequestId,
  ): AsyncEither<CopyFailure, GenerationCopy>;
  /** Frees a copy that will not be used. */
  freeCopy(source: Address, name: string): Promise<void>;
  /** @returns Text by which a target finds a copy. */
  copyReference(source: Address, name: string): string;
}
