/**
 * Faults of what a daemon process gets from its machine: outputs, ports, signals
 * and the settings file.
 */

import { setTimeout as wait } from "node:timers/promises";
import type { SeededRandom } from "../src/base/common/random.ts";
import { type DaemonProcess, PORT_NAMES } from "./daemon_process.ts";
import { HeldPort } from "./held_port.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

const MIN_OUTPUT_MS = 300;
const MAX_OUTPUT_MS = 3_000;
const MIN_HELD_MS = 100;
const MAX_HELD_MS = 2_000;
const MAX_PORT_WAIT_MS = 2_000;
const MIN_BROKEN_SETTINGS_MS = 50;
const MAX_BROKEN_SETTINGS_MS = 1_000;
const LOAD_POLL_INTERVAL_MS = 10;
const MAX_LOAD_WAIT_MS = 4_000;
/** Time in milliseconds after the load in which signals strike a start. */
const MAX_SIGNAL_DELAY_MS = 400;
const MAX_SIGNALS = 20;
const MAX_SIGNAL_GAP_MS = 60;

/** Time in milliseconds for which a daemon serves between two outputs. */
const MIN_LIFE_MS = 3_000;

/** What happens to an output. */
const RUNNING_OUTPUT_FAULTS = ["lost", "stalled"] as const;
const OUTPUT_FAULTS = [
  ...RUNNING_OUTPUT_FAULTS,
  "socket-lost-at-start",
  "pipe-lost",
  "pipe-lost-at-start",
  "pipe-lost-and-read-again",
  "full-device",
] as const;
type OutputFault = (typeof OUTPUT_FAULTS)[number];

const EARLY_SIGNALS = ["SIGHUP", "SIGTERM", "SIGUSR2", "SIGQUIT"] as const;
type EarlySignal = (typeof EARLY_SIGNALS)[number];

const SETTINGS_FAULTS = [
  "missing",
  "empty",
  "half",
  "replaced",
  "replaced-and-reloaded",
] as const;
type SettingsFault = (typeof SETTINGS_FAULTS)[number];

/** Injects faults into the processes of daemons. */
export class ProcessFaults {
  readonly #deployment: SoakDeployment;
  readonly #random: SeededRandom;
  readonly #pending = new Set<Promise<void>>();

  /**
   * @param deployment - Deployment whose daemons are disturbed.
   * @param random - Source of the choice of daemon, fault and duration.
   */
  constructor(deployment: SoakDeployment, random: SeededRandom) {
    this.#deployment = deployment;
    this.#random = random;
  }

  /** @returns Once all faults have ended. */
  async ended(): Promise<void> {
    // Some begin others.
    while (this.#pending.size > 0) await Promise.all(this.#pending);
  }

  /**
   * Takes the reader of an output away, lets it stand still, or lets a daemon
   * start with an output that is full or that nobody reads.
   *
   * @returns What happens from now on.
   */
  disturbOutput(): string {
    const daemon = this.#random.pick(this.#deployment.daemons);
    const isYoung = Date.now() - daemon.startedMs < MIN_LIFE_MS;
    const fault = this.#random.pick<OutputFault>(
      isYoung ? RUNNING_OUTPUT_FAULTS : OUTPUT_FAULTS,
    );
    const durationMs = this.#random.int(MIN_OUTPUT_MS, MAX_OUTPUT_MS);
    this.#run(this.#disturbOutputOf(daemon, fault, durationMs));
    return `output of ${daemon.options.name} ${fault}, ${durationMs} ms`;
  }

  /**
   * Restarts a daemon while another process holds one of its ports.
   *
   * @returns What happens from now on.
   */
  holdPort(): string {
    const daemon = this.#random.pick(this.#deployment.daemons);
    const port = this.#random.pick(PORT_NAMES);
    const heldMs = this.#random.int(MIN_HELD_MS, MAX_HELD_MS);
    this.#run(daemon.restart(async () => {
      const address = daemon.addressOf(port);
      const held = await HeldPort.take(address, MAX_PORT_WAIT_MS);
      if (!held) throw new Error(`${address} is in use by another process`);
      this.#later(heldMs, () => {
        held.dispose();
        daemon.recordDisturbance();
      });
    }));
    return `${daemon.options.name} starts again, its ${port} port is held for ${heldMs} ms`;
  }

  /**
   * Restarts a daemon, to which signals are sent as soon as it is loaded.
   *
   * @returns What happens from now on.
   */
  signalEarly(): string {
    const daemon = this.#random.pick(this.#deployment.daemons);
    const signal = this.#random.pick(EARLY_SIGNALS);
    const delayMs = this.#random.int(0, MAX_SIGNAL_DELAY_MS);
    const count = this.#random.int(1, MAX_SIGNALS);
    const gapMs = this.#random.int(1, MAX_SIGNAL_GAP_MS);
    this.#run(this.#signalStart(daemon, signal, { count, delayMs, gapMs }));
    return `${signal} to ${daemon.options.name}, ${delayMs} ms after it has loaded (${count} every ${gapMs} ms, if it is to go on)`;
  }

  /**
   * Breaks a settings file for some time, at a restart or while it is in use.
   *
   * @returns What happens from now on.
   */
  disturbSettings(): string {
    const daemon = this.#random.pick(this.#deployment.daemons);
    const fault = this.#random.pick(SETTINGS_FAULTS);
    const brokenMs = this.#random.int(
      MIN_BROKEN_SETTINGS_MS,
      MAX_BROKEN_SETTINGS_MS,
    );
    const share = this.#random.float();
    this.#run(this.#disturbSettingsOf(daemon, fault, brokenMs, share));
    return `settings of ${daemon.options.name} ${fault}, ${brokenMs} ms`;
  }

  async #disturbOutputOf(
    daemon: DaemonProcess,
    fault: OutputFault,
    durationMs: number,
  ): Promise<void> {
    switch (fault) {
      case "lost":
        daemon.output?.loseReader();
        return;
      case "socket-lost-at-start":
        await daemon.restart();
        daemon.output?.loseReader();
        return;
      case "pipe-lost-at-start":
        daemon.nextOutput = "named-pipe";
        await daemon.restart();
        daemon.output?.loseReader();
        return;
      case "pipe-lost":
      case "pipe-lost-and-read-again": {
        daemon.nextOutput = "named-pipe";
        await daemon.restart();
        const { output } = daemon;
        await wait(durationMs);
        output?.loseReader();
        if (fault === "pipe-lost") return;
        await wait(durationMs);
        if (daemon.output === output) output?.readAgain();
        return;
      }
      case "stalled": {
        const { output } = daemon;
        output?.stall();
        await wait(durationMs);
        output?.resume();
        return;
      }
      case "full-device":
        daemon.nextOutput = "full-device";
        await daemon.restart();
    }
  }

  async #signalStart(
    daemon: DaemonProcess,
    signal: EarlySignal,
    { count, delayMs, gapMs }: {
      readonly count: number;
      readonly delayMs: number;
      readonly gapMs: number;
    },
  ): Promise<void> {
    await daemon.restart();
    const { startCount } = daemon;
    const endMs = Date.now() + MAX_LOAD_WAIT_MS;
    while (!daemon.isLoaded && Date.now() < endMs) {
      await wait(LOAD_POLL_INTERVAL_MS);
    }
    await wait(delayMs);
    switch (signal) {
      case "SIGTERM":
      case "SIGQUIT":
        if (daemon.startCount === startCount && daemon.isLoaded) {
          daemon.terminate(signal);
        }
        return;
      case "SIGHUP":
      case "SIGUSR2":
        for (let sent = 0; sent < count; sent++) {
          if (daemon.startCount !== startCount || !daemon.isLoaded) return;
          daemon.signal(signal);
          await wait(gapMs);
        }
    }
  }

  async #disturbSettingsOf(
    daemon: DaemonProcess,
    fault: SettingsFault,
    brokenMs: number,
    share: number,
  ): Promise<void> {
    switch (fault) {
      case "missing":
      case "empty":
      case "half":
        await daemon.restart(async () => {
          if (fault === "missing") daemon.removeSettings();
          else daemon.writeSettingsPart(fault === "empty" ? 0 : share);
          this.#later(brokenMs, () => {
            daemon.writeSettingsPart(1);
            daemon.recordDisturbance();
          });
        });
        return;
      case "replaced":
      case "replaced-and-reloaded":
        daemon.writeSettingsPart(share);
        if (fault === "replaced-and-reloaded") daemon.reloadSettings();
        await wait(brokenMs);
        daemon.writeSettingsPart(1);
        if (fault === "replaced-and-reloaded") daemon.reloadSettings();
    }
  }

  #later(delayMs: number, act: () => void): void {
    this.#run(wait(delayMs).then(act));
  }

  #run(fault: Promise<void>): void {
    this.#pending.add(fault);
    void fault.finally(() => this.#pending.delete(fault));
  }
}
