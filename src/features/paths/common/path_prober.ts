/** Finds out whether direct paths work, and when lost ones return. */

import { type Clock, PeriodicTask } from "../../../base/common/clock.ts";
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
    const { clock, direct } = this.#services;
    const nowMs = clock.monotonicMs();
    const state = this.#states.get(address) ??
      { nextMs: nowMs, periodMs: MIN_PERIOD_MS, isRunning: false };
    this.#states.set(address, state);
    if (state.isRunning || nowMs < state.nextMs) return;
    state.nextMs = nowMs + state.periodMs;
    state.periodMs = Math.min(MAX_PERIOD_MS, state.periodMs * PERIOD_FACTOR);
    void this.#run(address, state, direct.lossOf(address) === "silent");
  }

  /**
   * Checks a path on which a request got no response, although its connection
   * was open.
   */
  checkSilent(address: Address): void {
    const { clock, direct } = this.#services;
    if (direct.isLost(address)) return;
    const nowMs = clock.monotonicMs();
    const state = this.#states.get(address) ??
      { nextMs: nowMs, periodMs: MIN_PERIOD_MS, isRunning: false };
    this.#states.set(address, state);
    if (state.isRunning || nowMs < state.nextMs) return;
    state.nextMs = nowMs + MIN_PERIOD_MS;
    void this.#run(address, state, true);
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

  async #run(
    address: Address,
    state: ProbeState,
    needsAnswer: boolean,
  ): Promise<void> {
    const { direct, trial } = this.#services;
    if (needsAnswer && !trial.mayRequest(address)) return;
    state.isRunning = true;
    if (needsAnswer) {
      const isAnswered = await trial.requestAnswer(address);
      if (isAnswered) direct.onUsable(address);
      else direct.onSilent(address);
    } else await trial.openConnection(address);
    state.isRunning = false;
  }
}
