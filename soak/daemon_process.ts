/** Runs one daemon of a soak: the built program as a child process. */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import { RETRY_SETTINGS } from "./retry_rules.ts";
import type { Address } from "../src/base/common/ids.ts";

/** Identity, addresses and seeds of a daemon. */
export interface DaemonOptions {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly port: number;
  readonly storeAddress: Address;
  readonly seeds: readonly Address[];
}

/**
 * Time in milliseconds between SIGTERM and SIGKILL; also set as `grace-s` in the
 * settings of the daemon.
 */
export const SHUTDOWN_GRACE_MS = 6_000;

/** Interval at which endpoints write their entries, as the daemons know it. */
const ANNOUNCEMENT_INTERVAL_MS = 1_200;

/** Offset of the port at which peers ask to pass requests on. */
const RELAY_PORT_OFFSET = 3;

const PEER_SECRET = "soak";

/** Starts, pauses, stops and kills one daemon and no other process. */
export class DaemonProcess {
  readonly options: DaemonOptions;
  readonly #programPath: string;
  readonly #settingsPath: string;
  readonly #logPath: string;
  #child: ChildProcess | undefined;
  #isPaused = false;
  #stopRequestedMs: number | undefined;
  #startCount = 0;
  #disturbedMs = 0;
  #isSeparated = false;
  #rejoinedMs = 0;
  readonly #ownEnds: string[] = [];

  /**
   * @param options - Identity, addresses and seeds of the daemon.
   * @param programPath - Path of the built daemon program.
   * @param folder - Path of the folder for its settings and log file.
   */
  constructor(options: DaemonOptions, programPath: string, folder: string) {
    this.options = options;
    this.#programPath = programPath;
    this.#settingsPath = join(folder, `${options.name}.json`);
    this.#logPath = join(folder, `${options.name}.log`);
  }

  /** Address on which the daemon accepts requests of callers. */
  get callerAddress(): Address {
    return `${this.options.ip}:${this.options.port}` as Address;
  }

  /** Whether the process runs, is not paused and was not asked to stop. */
  get isServing(): boolean {
    return this.#child !== undefined && !this.#isPaused &&
      this.#stopRequestedMs === undefined;
  }

  /** Whether the process exists, even if it is paused or stopping. */
  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /**
   * Wall-clock time of the latest start, signal or suspension, in milliseconds.
   */
  get disturbedMs(): number {
    return this.#isPaused ? Date.now() : this.#disturbedMs;
  }

  /**
   * Wall-clock time of the latest disturbance, or of the latest time at which
   * the daemon could not reach all of its peers, in milliseconds.
   */
  get separatedMs(): number {
    const rejoinedMs = this.#isSeparated ? Date.now() : this.#rejoinedMs;
    return Math.max(this.disturbedMs, rejoinedMs);
  }

  /** Sets whether the network keeps the daemon from reaching its peers. */
  set isSeparated(isSeparated: boolean) {
    this.#isSeparated = isSeparated;
    this.#rejoinedMs = Date.now();
  }

  /** Records that its open links to its peers have fallen silent. */
  recordSilentLinks(): void {
    this.#rejoinedMs = Date.now();
  }

  /** Ends of the process that no signal asked for. */
  get ownEnds(): readonly string[] {
    return this.#ownEnds;
  }

  /** Number of times that the process was started. */
  get startCount(): number {
    return this.#startCount;
  }

  /**
   * Writes the settings file.
   *
   * @param maxRevocationMs - Time in milliseconds within which the daemon must
   * refuse a revoked API key.
   */
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
      // The first port takes the requests of peers.
      "port-range": [port + RELAY_PORT_OFFSET],
      seeds,
      "limits": { "memory-mb": 200 },
      "heartbeat-ms": ANNOUNCEMENT_INTERVAL_MS,
      "bounds": {
        "config-apply-ms": 2_000,
        "revoke-ms": maxRevocationMs,
        "strict-revoke": true,
        "grace-s": SHUTDOWN_GRACE_MS / 1_000,
        ...RETRY_SETTINGS,
      },
      "provider": { address: storeAddress },
    };
    writeFileSync(this.#settingsPath, JSON.stringify(settings));
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.#child) return;
    this.#startCount++;
    this.#disturbedMs = Date.now();
    const { name } = this.options;
    const child = spawn(process.execPath, [this.#programPath], {
      env: {
        PATH: process.env["PATH"],
        RAGWORTSADDLE_SETTINGS: this.#settingsPath,
        // Each daemon reaches the store through a proxy of its own.
        RAGWORTSADDLE_PEER_SECRET: PEER_SECRET,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.#logPath, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.on("exit", (code, signal) => {
      const wasAsked = this.#stopRequestedMs !== undefined;
      if (signal === null && (code !== 0 || !wasAsked)) {
        this.#ownEnds.push(`${name} ended by itself with code ${code}`);
      }
      this.#child = undefined;
      this.#isPaused = false;
      this.#stopRequestedMs = undefined;
      log.end();
    });
    this.#child = child;
  }

  /**
   * Sends SIGTERM, and SIGKILL after the grace period, as the platform does on a
   * planned stop.
   */
  terminate(): void {
    const child = this.#child;
    if (!child || this.#stopRequestedMs !== undefined) return;
    this.#stopRequestedMs = Date.now();
    this.#disturbedMs = Date.now();
    child.kill("SIGTERM");
    setTimeout(() => {
      if (this.#child === child) child.kill("SIGKILL");
    }, SHUTDOWN_GRACE_MS).unref();
  }

  /** @returns Whether the daemon says that it can serve. */
  async isReady(): Promise<boolean> {
    const { ip, port } = this.options;
    try {
      const response = await fetch(`http://${ip}:${port + 1}/`);
      await response.body?.cancel();
      return response.ok;
    } catch {
      return false;
    }
  }

  /** Sends SIGKILL. */
  kill(): void {
    this.#child?.kill("SIGKILL");
  }

  /** Suspends the process with SIGSTOP. */
  pause(): void {
    if (!this.#child) return;
    this.#isPaused = true;
    this.#child.kill("SIGSTOP");
  }

  /** Continues a suspended process with SIGCONT. */
  resume(): void {
    if (this.#isPaused) this.#disturbedMs = Date.now();
    this.#isPaused = false;
    this.#child?.kill("SIGCONT");
  }

  /** Makes the daemon reload its settings file (SIGHUP). */
  reloadSettings(): void {
    this.#child?.kill("SIGHUP");
  }
}
