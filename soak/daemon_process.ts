/** A daemon of the soak: the built program in a process of its own. */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Address } from "../src/base/common/ids.ts";

/** Where a daemon listens and what it is told. */
export interface DaemonOptions {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly port: number;
  readonly storeAddress: Address;
  readonly seeds: readonly Address[];
}

/** Time between the request to stop and the kill, as the settings say. */
export const SHUTDOWN_GRACE_MS = 6_000;

/** Starts, stops, pauses and kills one daemon; it ends no other process. */
export class DaemonProcess {
  readonly options: DaemonOptions;
  readonly #programPath: string;
  readonly #settingsPath: string;
  readonly #logPath: string;
  #child: ChildProcess | undefined;
  #isPaused = false;
  #stopRequestedMs: number | undefined;
  #startCount = 0;

  /**
   * @param options - Where it listens.
   * @param programPath - Path of the built program.
   * @param folder - Where settings and logs go.
   */
  constructor(options: DaemonOptions, programPath: string, folder: string) {
    this.options = options;
    this.#programPath = programPath;
    this.#settingsPath = join(folder, `${options.name}.json`);
    this.#logPath = join(folder, `${options.name}.log`);
  }

  /** Address for callers. */
  get callerAddress(): Address {
    return `${this.options.ip}:${this.options.port}` as Address;
  }

  /** Whether the process runs and was not asked to stop. */
  get isServing(): boolean {
    return this.#child !== undefined && !this.#isPaused &&
      this.#stopRequestedMs === undefined;
  }

  /** Whether there is a process. */
  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /** Number of starts so far. */
  get startCount(): number {
    return this.#startCount;
  }

  /** Writes the settings file. */
  writeSettings(maxRevocationMs: number): void {
    const { name, ip, zone, port, storeAddress, seeds } = this.options;
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
        "revoke-ms": maxRevocationMs,
        "strict-revoke": true,
        "grace-s": SHUTDOWN_GRACE_MS / 1_000,
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
    this.#startCount++;
    const child = spawn(process.execPath, [this.#programPath], {
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
      this.#stopRequestedMs = undefined;
      log.end();
    });
    this.#child = child;
  }

  /** Asks it to stop, and kills it after its grace, as the platform does. */
  terminate(): void {
    const child = this.#child;
    if (!child || this.#stopRequestedMs !== undefined) return;
    this.#stopRequestedMs = Date.now();
    child.kill("SIGTERM");
    setTimeout(() => {
      if (this.#child === child) child.kill("SIGKILL");
    }, SHUTDOWN_GRACE_MS).unref();
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
  reloadSettings(): void {
    this.#child?.kill("SIGHUP");
  }
}
