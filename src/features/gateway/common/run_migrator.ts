/**
 * Copies running generations away from engines that leave. A run goes on while
 * its memory is copied; the few tokens that it makes meanwhile are read anew at
 * the target, which takes less time than a second copy would wait for the link.
 */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import type { EndpointId, RequestId } from "../../../base/common/ids.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import type { EngineControl } from "./engine_control.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";

/** How a move ended. */
export type MigrationResult =
  /** The run may stop; it can go on at `endpoint` from the copy. */
  | {
    readonly kind: "copied";
    readonly endpoint: RegisteredEndpoint;
    readonly copyRef: string;
    readonly durationMs: number;
  }
  /** There is no copy. */
  | {
    readonly kind: "not-copied";
    readonly reason: string;
    /** Whether engines were there, but full. */
    readonly areTargetsFull: boolean;
  };

/** A generation that wants to move. */
export interface MigratableRun {
  readonly requestId: RequestId;
  readonly source: RegisteredEndpoint;
  /** @returns Where there is room for it now. */
  chooseTarget(
    excluded: ReadonlySet<EndpointId>,
  ): RegisteredEndpoint | undefined;
  /** Whether the move is still wanted; the run may have ended meanwhile. */
  isRequired(): boolean;
}

/** Targets that are tried in one round. */
const MAX_TARGETS_PER_PASS = 3;
/** Pause between rounds: on a full fleet some generation ends each 40 ms. */
const PASS_INTERVAL_MS = 120;
/** Engines give notice of 1.5 to 2.1 s; later rounds would find none. */
const MIGRATION_TIMEOUT_MS = 2_500;

/** Copies runs. */
export class RunMigrator {
  readonly #clock: Clock;
  readonly #control: EngineControl;

  /**
   * @param clock - Measures moves.
   * @param control - Copies runs.
   */
  constructor(clock: Clock, control: EngineControl) {
    this.#clock = clock;
    this.#control = control;
  }

  /** @returns How the move ended. */
  async migrate(run: MigratableRun): Promise<MigrationResult> {
    const startMs = this.#clock.monotonicMs();
    for (;;) {
      const result = await this.#tryTargets(run, startMs);
      const elapsedMs = this.#clock.monotonicMs() - startMs;
      const isFinal = result.kind === "copied" || !result.areTargetsFull ||
        elapsedMs > MIGRATION_TIMEOUT_MS;
      if (isFinal) return result;
      await sleep(this.#clock, PASS_INTERVAL_MS);
    }
  }

  async #tryTargets(
    run: MigratableRun,
    startMs: number,
  ): Promise<MigrationResult> {
    const excluded = new Set<EndpointId>([run.source.id]);
    const source = run.source.announcement.address;
    let reason = "no engine has room";
    for (let count = 0; count < MAX_TARGETS_PER_PASS; count++) {
      if (!run.isRequired()) return notCopied("no longer wanted");
      const endpoint = run.chooseTarget(excluded);
      if (!endpoint) break;
      excluded.add(endpoint.id);
      const { address } = endpoint.announcement;
      const result = await this.#control.copyRun(
        source,
        address,
        run.requestId,
      );
      const copy = rightOf(result);
      if (!copy) {
        const failure = leftOf(result)!;
        reason = `${failure.kind}: ${failure.message}`;
        if (failure.kind === "no-room") continue;
        return notCopied(reason);
      }
      if (!run.isRequired()) {
        await this.#control.freeCopy(source, copy.name);
        return notCopied("no longer wanted");
      }
      return {
        kind: "copied",
        endpoint,
        copyRef: this.#control.copyReference(source, copy.name),
        durationMs: Math.round(this.#clock.monotonicMs() - startMs),
      };
    }
    return { kind: "not-copied", reason, areTargetsFull: true };
  }
}

function notCopied(reason: string): MigrationResult {
  return { kind: "not-copied", reason, areTargetsFull: false };
}
