/** Disturbs a deployment at a steady rate. */

import { assertNever } from "../../src/base/common/errors.ts";
import type { Disposable } from "../../src/base/common/lifecycle.ts";
import { runPeriodically, sleep } from "../../src/base/common/clock.ts";
import type { SeededRandom } from "../../src/base/common/random.ts";
import type { Daemon } from "../../src/daemon/node/daemon.ts";
import type { LoopbackDeployment } from "./loopback_deployment.ts";

/** Kinds of faults, as they come round. */
const FAULTS = [
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

type FaultKind = typeof FAULTS[number];

const FAULT_PERIOD_MS = 200;
const ENGINE_DOWN_MS = 300;
const APP_DOWN_MS = 100;
/** A planned stop begins when the balancer has stopped sending callers. */
const BALANCER_LAG_MS = 200;

/** Causes one fault after another until it is disposed. */
export class FaultInjector implements Disposable {
  readonly counts = new Map<FaultKind, number>();
  /** When the connections of a generation went silent, by its id. */
  readonly silencedMs = new Map<string, number>();
  readonly #deployment: LoopbackDeployment;
  readonly #random: SeededRandom;
  readonly #timer: Disposable;
  readonly #pending = new Set<Promise<void>>();
  #next = 0;

  /**
   * @param deployment - What is disturbed.
   * @param random - Chooses the victims.
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

  /** Stops the faults. */
  dispose(): void {
    this.#timer.dispose();
  }

  /** Waits until everything that was stopped runs again. */
  async settle(): Promise<void> {
    await Promise.all(this.#pending);
  }

  #track(work: Promise<void>): void {
    this.#pending.add(work);
    void work.finally(() => this.#pending.delete(work));
  }

  async #drain(daemon: Daemon): Promise<void> {
    await sleep(this.#deployment.clock, BALANCER_LAG_MS);
    await daemon.drainAndStop();
  }

  #injectNext(): void {
    const kind = FAULTS[this.#next++ % FAULTS.length]!;
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    this.#inject(kind);
  }

  #inject(kind: FaultKind): void {
    const { engines, apps, store } = this.#deployment;
    switch (kind) {
      case "engine-crash":
        this.#track(
          this.#deployment.crash(this.#random.pick(engines), ENGINE_DOWN_MS),
        );
        return;
      case "app-crash":
        this.#track(
          this.#deployment.crash(this.#random.pick(apps), APP_DOWN_MS),
        );
        return;
      case "silent-link":
        this.#silence();
        return;
      case "lost-store-answer":
        store.faults.loseWriteAnswers++;
        return;
      case "paused-lease-holder":
        store.expireAllLeases();
        return;
      case "host-crash":
        this.#track(this.#stopHost((daemon) => daemon.abort()));
        return;
      case "host-drain":
        this.#track(this.#stopHost((daemon) => this.#drain(daemon)));
        return;
      default:
        assertNever(kind);
    }
  }

  #silence(): void {
    const { engines, clock } = this.#deployment;
    const { model } = this.#random.pick(engines);
    const nowMs = clock.monotonicMs();
    for (const id of model.generationIds) this.silencedMs.set(id, nowMs);
    model.stallOpenConnections();
  }

  /** The balancer stops sending callers before the host stops. */
  async #stopHost(
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
