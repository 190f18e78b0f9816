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
export type MoveEnd =
  /** The run may stop; it can go on at `endpoint` from the copy. */
  | {
    readonly kind: "copied";
    readonly endpoint: RegisteredEndpoint;
    readonly copy: string;
    readonly tookMs: number;
  }
  /** There is no copy. */
  | {
    readonly kind: "not-copied";
    readonly reason: string;
    /** Whether engines were there, but full. */
    readonly isRoomLacking: boolean;
  };

/** A generation that wants to move. */
export interface MovableRun {
  readonly requestId: RequestId;
  readonly source: RegisteredEndpoint;
  /** @returns Where there is room for it now. */
  chooseTarget(
    excluded: ReadonlySet<EndpointId>,
  ): RegisteredEndpoint | undefined;
  /** Whether the move is still wanted; the run may have ended meanwhile. */
  isWanted(): boolean;
}

/** Targets that are tried in one round. */
const MAX_TARGETS = 3;
/** Pause between rounds: on a full fleet some generation ends each 40 ms. */
const ROUND_PAUSE_MS = 120;
/** Engines give notice of 1.5 to 2.1 s; later rounds would find none. */
const MOVE_PATIENCE_MS = 2_500;

/** Copies runs. */
export class RunMover {
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
  async move(run: MovableRun): Promise<MoveEnd> {
    const startMs = this.#clock.monotonicMs();
    for (;;) {
      const end = await this.#tryTargets(run, startMs);
      const tookMs = this.#clock.monotonicMs() - startMs;
      const isFinal = end.kind === "copied" || !end.isRoomLacking ||
        tookMs > MOVE_PATIENCE_MS;
      if (isFinal) return end;
      await sleep(this.#clock, ROUND_PAUSE_MS);
    }
  }

  async #tryTargets(run: MovableRun, startMs: number): Promise<MoveEnd> {
    const excluded = new Set<EndpointId>([run.source.id]);
    const source = run.source.announcement.address;
    let reason = "no engine has room";
    for (let count = 0; count < MAX_TARGETS; count++) {
      if (!run.isWanted()) return notCopied("no longer wanted");
      const endpoint = run.chooseTarget(excluded);
      if (!endpoint) break;
      excluded.add(endpoint.id);
      const { address } = endpoint.announcement;
      const copied = await this.#control.copyRun(
        source,
        address,
        run.requestId,
      );
      const copy = rightOf(copied);
      if (!copy) {
        const failure = leftOf(copied)!;
        reason = `${failure.kind}: ${failure.message}`;
        if (failure.kind === "no-room") continue;
        return notCopied(reason);
      }
      if (!run.isWanted()) {
        await this.#control.freeCopy(source, copy.name);
        return notCopied("no longer wanted");
      }
      return {
        kind: "copied",
        endpoint,
        copy: this.#control.copyReference(source, copy.name),
        tookMs: Math.round(this.#clock.monotonicMs() - startMs),
      };
    }
    return { kind: "not-copied", reason, isRoomLacking: true };
  }
}

function notCopied(reason: string): MoveEnd {
  return { kind: "not-copied", reason, isRoomLacking: false };
}
