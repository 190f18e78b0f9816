/** Control operations of engines, in addition to answering requests. */

import type {
  Address,
  EndpointId,
  RequestId,
} from "../../../../base/common/ids.ts";
import type { NamedBrittleness } from "../../../brittle/common/brittle_table.ts";
import type { NamedLimit } from "../limits/limit_table.ts";
import type { AsyncEither } from "../../../../base/common/result.ts";

/** Report of an engine; its values lag by some hundred milliseconds. */
export interface EngineReport {
  readonly isDraining: boolean;
  /** Time until the engine shuts down in milliseconds, if it is known. */
  readonly shutdownInMs: number | undefined;
  /** Wall-clock start time of the process, if the engine reports it. */
  readonly bornMs: number | undefined;
  readonly limit?: NamedLimit;
  readonly brittleness?: NamedBrittleness;
}

/** Whether anything answers at the address of an endpoint. */
export type Liveness =
  | {
    readonly kind: "answered";
    /** Wall-clock start time of the process, if it is reported. */
    readonly bornMs: number | undefined;
    /**
     * Whether it is the process that was asked for; absent if the answer does
     * not tell.
     */
    readonly isExpected?: boolean;
    /** Whether the process is leaving; absent if it does not say. */
    readonly isDraining?: boolean;
    /** Time until it shuts down in milliseconds, if it is known. */
    readonly shutdownInMs?: number | undefined;
  }
  | { readonly kind: "no-answer"; readonly detail: string };

/** A copy of a generation's KV state on another engine. */
export interface GenerationCopy {
  /** Name of the copy on both engines. */
  readonly name: string;
}

/** Reason why a copy was not made. */
export interface CopyFailure {
  readonly kind: "no-such-run" | "busy" | "no-room" | "unreachable";
  readonly message: string;
  /** State that the source keeps of a run that it has stopped. */
  readonly keptCopy?: GenerationCopy;
}

/** Sends control requests to engines. Every request has a timeout. */
export interface EngineControl {
  readReport(address: Address): AsyncEither<string, EngineReport>;
  /** Any answer counts, also a refusal and that of another service's endpoint. */
  checkLiveness(address: Address): Promise<Liveness>;
  /**
   * Asks whether one process answers at an address, in a way in which another
   * one would say that it is not the one that is asked for.
   *
   * @param address - The address.
   * @param endpoint - Id of the process.
   * @param healthPath - Path of the health checks of its service.
   */
  identify(
    address: Address,
    endpoint: EndpointId,
    healthPath: string,
  ): Promise<Liveness>;
  /**
   * Copies the KV state of a generation to another engine.
   *
   * @param source - Address of the engine that runs the generation.
   * @param target - Address of the engine that receives the copy.
   * @param request - Id of the generation.
   * @param endsRun - Whether the generation ends at the source; otherwise it
   * continues there.
   */
  copyRun(
    source: Address,
    target: Address,
    request: RequestId,
    endsRun: boolean,
  ): AsyncEither<CopyFailure, GenerationCopy>;
  /** Frees a copy that will not be used. */
  freeCopy(source: Address, name: string): Promise<void>;
  /** @returns The reference by which a target engine finds a copy. */
  copyReference(source: Address, name: string): string;
}
