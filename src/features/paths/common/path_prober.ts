/** Finds out whether direct paths work, and when lost ones return. */

import { type Clock, PeriodicTask } from "../../../base/common/clock.ts";
import { onUnexpectedError } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { DirectPaths } from "./direct_paths.ts";

/** Period of the probes of a path that was lost just now. */
const MIN_PERIOD_MS = 250;
/** Period of the probes of a path that has been lost for long. */
const MAX_PERIOD_MS = 1_000;
const PERIOD_FACTOR = 1.5;

/** Tries one path. */
export interface PathTrial {
  /**
   * Opens a connection, which is kept for the next request.
   *
   * @returns Whether it could be opened.
   */
  openConnection(address: Address): Promise<boolean>;
  /**
   * Sends a request on a new connection.
   *
   * @returns Whether anything answered.
   */
  requestAnswer(address: Address): Promise<boolean>;
  /** @returns Whether the endpoint may be sent requests for probes now. */
  mayRequest(address: Address): boolean;
}

/** Dependencies of {@link PathProber}. */
export interface PathProberServices {
  readonly clock: Clock;
  readonly direct: DirectPaths;
  readonly trial: PathTrial;
}

interface ProbeState {
  nextMs: number;
  periodMs: number;
  /** The trial that is running or was the last one. */
  latest: { readonly startMs: number; readonly isUsable: Promise<boolean> };
  isRunning: boolean;
}

/** Probes the paths of one host. */
export class PathProber implements Disposable {
  readonly #services: PathProberServices;
  readonly #states = new Map<Address, ProbeState>();
  readonly #task: PeriodicTask;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the probes. */
  constructor(services: PathProberServices) {
    const { clock, direct } = services;
    this.#services = services;
    this.#task = this.#disposables.add(
      new PeriodicTask(clock, MIN_PERIOD_MS, () => this.#probeLost()),
    );
    this.#disposables.add(direct.onDidChange(({ address, loss }) => {
      if (loss === undefined) this.#states.delete(address);
      else this.#task.start();
    }));
  }

  /** Probes a path that is lost or in doubt, unless that was done lately. */
  probe(address: Address): void {
    const nowMs = this.#services.clock.monotonicMs();
    const state = this.#states.get(address);
    if (state && (state.isRunning || nowMs < state.nextMs)) return;
    const periodMs = state
      ? Math.min(MAX_PERIOD_MS, state.periodMs * PERIOD_FACTOR)
      : MIN_PERIOD_MS;
    void this.#start(address, periodMs);
  }

  /**
   * Checks a path on which a request got no response, although its connection
   * was open.
   *
   * @returns Whether the endpoint answers on a new connection.
   */
  checkSilent(address: Address): Promise<boolean> {
    const { clock, direct } = this.#services;
    if (direct.isLost(address)) return Promise.resolve(false);
    const latest = this.#states.get(address)?.latest;
    const isRecent = latest &&
      clock.monotonicMs() - latest.startMs < MIN_PERIOD_MS;
    return isRecent
      ? latest.isUsable
      : this.#start(address, MIN_PERIOD_MS, true);
  }

  /**
   * Tries a path that is lost again.
   *
   * @returns Whether it has returned.
   */
  recheck(address: Address): Promise<boolean> {
    const state = this.#states.get(address);
    return state?.isRunning
      ? state.latest.isUsable
      : this.#start(address, state?.periodMs ?? MIN_PERIOD_MS);
  }

  /** Stops all probes. */
  dispose(): void {
    this.#disposables.dispose();
  }

  /** @returns Whether paths are still lost. */
  #probeLost(): boolean {
    const { lostAddresses } = this.#services.direct;
    for (const address of lostAddresses) this.probe(address);
    return lostAddresses.length > 0;
  }

  /** @returns Whether the path can be used. */
  #start(
    address: Address,
    periodMs: number,
    needsAnswer = this.#services.direct.lossOf(address) === "silent",
  ): Promise<boolean> {
    const startMs = this.#services.clock.monotonicMs();
    const isUsable = this.#try(address, needsAnswer).catch(
      (thrown: unknown) => {
        onUnexpectedError(thrown);
        return false;
      },
    );
    const state: ProbeState = {
      nextMs: startMs + periodMs,
      periodMs,
      latest: { startMs, isUsable },
      isRunning: true,
    };
    this.#states.set(address, state);
    void isUsable.then(() => {
      state.isRunning = false;
    });
    return isUsable;
  }

  async #try(address: Address, needsAnswer: boolean): Promise<boolean> {
    const { direct, trial } = this.#services;
    if (!needsAnswer) return trial.openConnection(address);
    // It has answered lately, and wants no requests.
    if (!trial.mayRequest(address)) return !direct.isLost(address);
    const isAnswered = await trial.requestAnswer(address);
    if (isAnswered) direct.onUsable(address);
    else direct.onSilent(address);
    return isAnswered;
  }
}
