/** A daemon of the soak: the built program in a process of its own. */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Address } from "../src/base/common/ids.ts";

/** Where a daemon listens and what it is told. */
export interface DaemonPlace {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly port: number;
  readonly storeAddress: Address;
  readonly seeds: readonly Address[];
}

/** Time between the request to stop and the kill, as the settings say. */
export const GRACE_MS = 6_000;

/** Starts, stops, pauses and kills one daemon; it ends no other process. */
export class DaemonProcess {
  readonly place: DaemonPlace;
  readonly #program: string;
  readonly #settingsPath: string;
  readonly #logPath: string;
  #child: ChildProcess | undefined;
  #isPaused = false;
  #stoppingSinceMs: number | undefined;
  #starts = 0;

  /**
   * @param place - Where it listens.
   * @param program - Path of the built program.
   * @param folder - Where settings and logs go.
   */
  constructor(place: DaemonPlace, program: string, folder: string) {
    this.place = place;
    this.#program = program;
    this.#settingsPath = join(folder, `${place.name}.json`);
    this.#logPath = join(folder, `${place.name}.log`);
  }

  /** Address for callers. */
  get callersAddress(): Address {
    return `${this.place.ip}:${this.place.port}` as Address;
  }

  /** Whether the process runs and was not asked to stop. */
  get isServing(): boolean {
    return this.#child !== undefined && !this.#isPaused &&
      this.#stoppingSinceMs === undefined;
  }

  /** Whether there is a process. */
  get isAlive(): boolean {
    return this.#child !== undefined;
  }

  /** Number of starts so far. */
  get starts(): number {
    return this.#starts;
  }

  /** Writes the settings file. */
  writeSettings(revocationMs: number): void {
    const { name, ip, zone, port, storeAddress, seeds } = this.place;
    const settings = {
      "node-name": name,
      ip,
      zone,
      "listen": {
        front: `${ip}:${port}`,
        ready: `${ip}:${port + 1}`,
        control: `${ip}:${port + 2}`,
      },
      seeds,
      "limits": { "memory-mb": 200 },
      "bounds": {
        "config-apply-ms": 2_000,
        "revoke-ms": revocationMs,
        "strict-revoke": true,
        "grace-s": GRACE_MS / 1_000,
        "retry-ratio": 0.2,
        "retry-extra": 50,
        "retry-window-s": 10,
      },
      "provider": { address: storeAddress },
    };
    writeFileSync(this.#settingsPath, JSON.stringify(settings));
  }

  /** Starts the process, unless there is one. */
  start(): void {
    if (this.#child) return;
    this.#starts++;
    const child = spawn(process.execPath, [this.#program], {
      env: {
        PATH: process.env["PATH"],
        RAGWORTSADDLE_SETTINGS: this.#settingsPath,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.#logPath, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.on("exit", () => {
      this.#child = undefined;
      this.#isPaused = false;
      this.#stoppingSinceMs = undefined;
      log.end();
    });
    this.#child = child;
  }

  /** Asks it to stop, and kills it after its grace, as the platform does. */
  terminate(): void {
    const child = this.#child;
    if (!child || this.#stoppingSinceMs !== undefined) return;
    this.#stoppingSinceMs = Date.now();
    child.kill("SIGTERM");
    setTimeout(() => {
      if (this.#child === child) child.kill("SIGKILL");
    }, GRACE_MS).unref();
  }

  /** Kills it. */
  kill(): void {
    this.#child?.kill("SIGKILL");
  }

  /** Stops its processor time. */
  pause(): void {
    if (!this.#child) return;
    this.#isPaused = true;
    this.#child.kill("SIGSTOP");
  }

  /** Lets it run on. */
  resume(): void {
    this.#isPaused = false;
    this.#child?.kill("SIGCONT");
  }

  /** Tells it that its settings have changed. */
  reload(): void {
    this.#child?.kill("SIGHUP");
  }
}
