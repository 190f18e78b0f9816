/** Runs one daemon of a soak: the built program as a child process. */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { DaemonOutput, type OutputKind } from "./daemon_output.ts";
import { describeOwnEnd } from "./process_rules.ts";
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

/** Port of the metrics page, as in `platform/main.ts`. */
const METRICS_PORT = 9464;

const PEER_SECRET = "soak";
const EXIT_POLL_INTERVAL_MS = 5;
/** Time in milliseconds in which Node.js has begun to run the program. */
const MAX_LOAD_MS = 1_500;
/** A paused process accepts connections and answers nothing. */
const MAX_READINESS_MS = 2_000;

/** Ports that a daemon listens at. */
export const PORT_NAMES = [
  "callers",
  "readiness",
  "control",
  "relay",
  "metrics",
] as const;

/** Name of a port that a daemon listens at. */
export type PortName = (typeof PORT_NAMES)[number];

/** Signals that a daemon handles, or that it must survive. */
export type HandledSignal = "SIGHUP" | "SIGUSR2";

/** Signals that ask for a planned stop. */
export type StopSignal = "SIGTERM" | "SIGQUIT";

/** Starts, pauses, stops and kills one daemon and no other process. */
export class DaemonProcess {
  readonly options: DaemonOptions;
  readonly #programPath: string;
  readonly #settingsPath: string;
  readonly #logPath: string;
  readonly #pipePath: string;
  #settingsText = "";
  #child: ChildProcess | undefined;
  #output: DaemonOutput | undefined;
  /** Output of the next start alone. */
  #nextOutput: OutputKind = "socket";
  #isPreparing = false;
  #isKillRequested = false;
  /** Whether the stop was asked of a process that had loaded its program. */
  #wasLoadedAtStop = false;
  #startedMs = 0;
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
    this.#pipePath = join(folder, `${options.name}.pipe`);
  }

  /** Output of the process, if it runs. */
  get output(): DaemonOutput | undefined {
    return this.#output;
  }

  /** Wall-clock time of the latest start in milliseconds. */
  get startedMs(): number {
    return this.#startedMs;
  }

  /**
   * Whether the process has loaded its program, as its output or the time since
   * its start shows. A signal before that meets Node.js alone.
   */
  get isLoaded(): boolean {
    if (!this.#child) return false;
    return this.#output?.hasText === true ||
      Date.now() - this.disturbedMs > MAX_LOAD_MS;
  }

  /** @returns The address of one of the ports that the daemon listens at. */
  addressOf(port: PortName): Address {
    const { ip, port: first } = this.options;
    switch (port) {
      case "callers":
        return `${ip}:${first}` as Address;
      case "readiness":
        return `${ip}:${first + 1}` as Address;
      case "control":
        return `${ip}:${first + 2}` as Address;
      case "relay":
        return `${ip}:${first + RELAY_PORT_OFFSET}` as Address;
      case "metrics":
        return `${ip}:${METRICS_PORT}` as Address;
    }
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

  /** Records that what the daemon needs was missing or changed until now. */
  recordDisturbance(): void {
    this.#disturbedMs = Date.now();
  }

  /** One line per end of the process that nothing here asked for. */
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
    this.#settingsText = JSON.stringify(settings);
    this.writeSettingsPart(1);
  }

  /**
   * Writes the beginning of the settings file.
   *
   * @param share - Part of the whole text, from 0 to 1.
   */
  writeSettingsPart(share: number): void {
    const length = Math.floor(this.#settingsText.length * share);
    writeFileSync(this.#settingsPath, this.#settingsText.slice(0, length));
  }

  /** Removes the settings file. */
  removeSettings(): void {
    rmSync(this.#settingsPath, { force: true });
  }

  /** Starts the process unless it is running or about to be started. */
  start(): void {
    if (this.#child || this.#isPreparing) return;
    this.#startCount++;
    this.#startedMs = Date.now();
    this.#disturbedMs = this.#startedMs;
    this.#isKillRequested = false;
    const log = createWriteStream(this.#logPath, { flags: "a" });
    const output = new DaemonOutput(this.#nextOutput, this.#pipePath, log);
    this.#nextOutput = "socket";
    this.#output = output;
    const child = spawn(process.execPath, [this.#programPath], {
      env: {
        PATH: process.env["PATH"],
        RAGWORTSADDLE_SETTINGS: this.#settingsPath,
        // Each daemon reaches the store through a proxy of its own.
        RAGWORTSADDLE_PEER_SECRET: PEER_SECRET,
      },
      stdio: ["ignore", output.open(), "pipe"],
    });
    output.attach(child);
    child.stderr!.pipe(log, { end: false });
    child.on("exit", (code, signal) => {
      const ownEnd = describeOwnEnd(this.options.name, {
        code,
        signal,
        isKillRequested: this.#isKillRequested,
        isStopRequested: this.#stopRequestedMs !== undefined,
        wasLoadedAtStop: this.#wasLoadedAtStop,
      });
      if (ownEnd !== undefined) this.#ownEnds.push(ownEnd);
      this.#child = undefined;
      this.#isPaused = false;
      this.#stopRequestedMs = undefined;
      output.dispose();
    });
    // Once the outputs have been read to their ends.
    child.on("close", () => log.end());
    this.#child = child;
  }

  /** Sets where the process writes its output from its next start on. */
  set nextOutput(kind: OutputKind) {
    this.#nextOutput = kind;
  }

  /**
   * Kills the process, if it runs, and starts it again.
   *
   * @param prepare - What is done while it does not run.
   * @returns Once the process has been started.
   */
  async restart(prepare: () => Promise<void> = async () => {}): Promise<void> {
    if (this.#isPreparing) return;
    this.#isPreparing = true;
    this.kill();
    while (this.#child) await wait(EXIT_POLL_INTERVAL_MS);
    await prepare();
    this.#isPreparing = false;
    this.start();
  }

  /**
   * Sends SIGTERM, and SIGKILL after the grace period, as the platform does on a
   * planned stop.
   *
   * @param signal - Signal that asks for the stop.
   */
  terminate(signal: StopSignal = "SIGTERM"): void {
    const child = this.#child;
    if (!child || this.#stopRequestedMs !== undefined) return;
    this.#stopRequestedMs = Date.now();
    this.#disturbedMs = Date.now();
    this.#wasLoadedAtStop = this.isLoaded;
    child.kill(signal);
    setTimeout(() => {
      if (this.#child === child) this.kill();
    }, SHUTDOWN_GRACE_MS).unref();
  }

  /** @returns Whether the daemon says that it can serve. */
  async isReady(): Promise<boolean> {
    const { ip, port } = this.options;
    try {
      const response = await fetch(`http://${ip}:${port + 1}/`, {
        signal: AbortSignal.timeout(MAX_READINESS_MS),
      });
      await response.body?.cancel();
      return response.ok;
    } catch {
      return false;
    }
  }

  /** Sends SIGKILL. */
  kill(): void {
    this.#isKillRequested = this.#child !== undefined;
    this.#child?.kill("SIGKILL");
  }

  /** Sends a signal that must not end the process. */
  signal(signal: HandledSignal): void {
    this.#child?.kill(signal);
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

  /** Makes the daemon reload its settings file (SIGHUP) once it is loaded. */
  reloadSettings(): void {
    if (this.isLoaded) this.signal("SIGHUP");
  }
}
