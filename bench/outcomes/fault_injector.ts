/** Injects faults into a deployment at a fixed rate. */

import { assertNever } from "../../src/base/common/errors.ts";
import type { Disposable } from "../../src/base/common/lifecycle.ts";
import { runPeriodically, sleep } from "../../src/base/common/clock.ts";
import type { SeededRandom } from "../../src/base/common/random.ts";
import type { Daemon } from "../../src/daemon/node/daemon.ts";
import type { LoopbackDeployment } from "./loopback_deployment.ts";

/** Kinds of faults in the order of injection, which is repeated. */
const FAULT_SEQUENCE = [
  "engine-crash",
  "silent-link",
  "lost-store-answer",
  "app-crash",
  "silent-link",
  "paused-lease-holder",
  "host-crash",
  "silent-link",
  "lost-store-answer",
  "host-drain",
] as const;

type FaultKind = typeof FAULT_SEQUENCE[number];

const FAULT_PERIOD_MS = 200;
const ENGINE_DOWNTIME_MS = 300;
const APP_DOWNTIME_MS = 100;
/** Delay until the load balancer sends no more requests to a draining host. */
const BALANCER_DELAY_MS = 200;

/** Injects one fault after another until it is disposed. */
export class FaultInjector implements Disposable {
  readonly counts = new Map<FaultKind, number>();
  /**
   * Monotonic times in milliseconds at which the connections of generations were
   * stalled, by the identifier of the generation.
   */
  readonly stalledAtMs = new Map<string, number>();
  readonly #deployment: LoopbackDeployment;
  readonly #random: SeededRandom;
  readonly #timer: Disposable;
  readonly #pendingRecoveries = new Set<Promise<void>>();
  #injectedCount = 0;

  /**
   * @param deployment - Deployment to inject faults into.
   * @param random - Chooses the processes that fail.
   */
  constructor(deployment: LoopbackDeployment, random: SeededRandom) {
    this.#deployment = deployment;
    this.#random = random;
    this.#timer = runPeriodically(
      deployment.clock,
      FAULT_PERIOD_MS,
      () => this.#injectNext(),
    );
  }

  /** Stops the injection of faults. */
  dispose(): void {
    this.#timer.dispose();
  }

  /** Waits until all stopped processes have been restarted or replaced. */
  async waitForRecovery(): Promise<void> {
    await Promise.all(this.#pendingRecoveries);
  }

  #trackRecovery(work: Promise<void>): void {
    this.#pendingRecoveries.add(work);
    void work.finally(() => this.#pendingRecoveries.delete(work));
  }

  async #drainDaemon(daemon: Daemon): Promise<void> {
    await sleep(this.#deployment.clock, BALANCER_DELAY_MS);
    await daemon.drainAndStop();
  }

  #injectNext(): void {
    const kind = FAULT_SEQUENCE[this.#injectedCount++ % FAULT_SEQUENCE.length]!;
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    this.#inject(kind);
  }

  #inject(kind: FaultKind): void {
    const { engines, apps, store } = this.#deployment;
    switch (kind) {
      case "engine-crash":
        this.#trackRecovery(
          this.#deployment.crashAndRestart(
            this.#random.pick(engines),
            ENGINE_DOWNTIME_MS,
          ),
        );
        return;
      case "app-crash":
        this.#trackRecovery(
          this.#deployment.crashAndRestart(
            this.#random.pick(apps),
            APP_DOWNTIME_MS,
          ),
        );
        return;
      case "silent-link":
        this.#stallConnections();
        return;
      case "lost-store-answer":
        store.faults.loseWriteAnswers++;
        return;
      case "paused-lease-holder":
        store.expireAllLeases();
        return;
      case "host-crash":
        this.#trackRecovery(this.#replaceDaemon((daemon) => daemon.abort()));
        return;
      case "host-drain":
        this.#trackRecovery(
          this.#replaceDaemon((daemon) => this.#drainDaemon(daemon)),
        );
        return;
      default:
        assertNever(kind);
    }
  }

  #stallConnections(): void {
    const { engines, clock } = this.#deployment;
    const { model } = this.#random.pick(engines);
    const nowMs = clock.monotonicMs();
    for (const id of model.generationIds) this.stalledAtMs.set(id, nowMs);
    model.stallOpenConnections();
  }

  /**
   * Stops a daemon after removing it from the load balancer, and starts another
   * one.
   */
  async #replaceDaemon(
    stop: (daemon: Daemon) => Promise<void>,
  ): Promise<void> {
    const { daemons } = this.#deployment;
    if (daemons.length < 2) return;
    const [daemon] = daemons.splice(
      this.#random.int(0, daemons.length - 1),
      1,
    );
    await Promise.all([stop(daemon!), this.#deployment.startDaemon()]);
  }
}
