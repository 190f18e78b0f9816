/**
 * Moves running generations away from engines that leave. Copies of one engine
 * share its link, so they are made one after the other: each generation is
 * copied while it runs, then stopped for the short rest, and only then the next.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { EndpointId, RequestId } from "../../../base/common/ids.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import type { EngineControl } from "./engine_control.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";

/** How a move ended. */
export type MoveEnd =
  /** The run has stopped; it goes on at `endpoint` from the copy. */
  | {
    readonly kind: "moved";
    readonly endpoint: RegisteredEndpoint;
    readonly copy: string;
    readonly tookMs: number;
  }
  /** The run was not touched. */
  | { readonly kind: "not-moved"; readonly reason: string };

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
  /** The run is about to stop; the end of its stream is no failure. */
  onStopping(): void;
}

/** Leave to use the link of a leaving engine, shared with the other daemons. */
export interface MoveTurns {
  /** @returns Called when the turn is over; the wait is bounded. */
  take(source: EndpointId): Promise<() => void>;
}

const MAX_TARGETS = 2;

/** Moves runs in turn. */
export class RunMover {
  readonly #clock: Clock;
  readonly #control: EngineControl;
  readonly #turns: MoveTurns;
  readonly #chains = new Map<EndpointId, Promise<unknown>>();

  /**
   * @param clock - Measures moves.
   * @param control - Copies runs.
   * @param turns - Order over all daemons.
   */
  constructor(clock: Clock, control: EngineControl, turns: MoveTurns) {
    this.#clock = clock;
    this.#control = control;
    this.#turns = turns;
  }

  /** @returns How the move ended, once its turn has come. */
  move(run: MovableRun): Promise<MoveEnd> {
    const { id } = run.source;
    const previous = this.#chains.get(id) ?? Promise.resolve();
    const moved = previous.then(() => this.#moveInTurn(run));
    this.#chains.set(id, moved);
    void moved.then(() => {
      if (this.#chains.get(id) === moved) this.#chains.delete(id);
    });
    return moved;
  }

  async #moveInTurn(run: MovableRun): Promise<MoveEnd> {
    if (!run.isWanted()) return notMoved("no longer wanted");
    const endTurn = await this.#turns.take(run.source.id);
    try {
      return await this.#copyAndStop(run);
    } finally {
      endTurn();
    }
  }

  async #copyAndStop(run: MovableRun): Promise<MoveEnd> {
    const startMs = this.#clock.monotonicMs();
    const excluded = new Set<EndpointId>([run.source.id]);
    let reason = "no engine has room";
    for (let count = 0; count < MAX_TARGETS; count++) {
      if (!run.isWanted()) return notMoved("no longer wanted");
      const target = run.chooseTarget(excluded);
      if (!target) return notMoved(reason);
      excluded.add(target.id);
      const source = run.source.announcement.address;
      const { address } = target.announcement;
      const copied = await this.#control.copyRun(
        source,
        address,
        run.requestId,
        false,
      );
      const failure = leftOf(copied);
      if (failure) {
        reason = `${failure.kind}: ${failure.message}`;
        if (failure.kind === "no-room") continue;
        return notMoved(reason);
      }
      const first = rightOf(copied)!;
      if (!run.isWanted()) {
        await this.#control.freeCopy(source, first.name);
        return notMoved("no longer wanted");
      }
      run.onStopping();
      const stopped = await this.#control.copyRun(
        source,
        address,
        run.requestId,
        true,
      );
      const tookMs = Math.round(this.#clock.monotonicMs() - startMs);
      const stopFailure = leftOf(stopped);
      const { name, endpoint } = stopFailure
        ? { name: stopFailure.name ?? first.name, endpoint: run.source }
        : { name: rightOf(stopped)!.name, endpoint: target };
      if (stopFailure?.kind === "no-such-run") {
        return notMoved("the run ended meanwhile");
      }
      const copy = this.#control.copyReference(source, name);
      return { kind: "moved", endpoint, copy, tookMs };
    }
    return notMoved(reason);
  }
}

function notMoved(reason: string): MoveEnd {
  return { kind: "not-moved", reason };
}
