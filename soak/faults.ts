/** Faults of the soak, drawn from one seed; they come in series and overlap. */

import { setTimeout as wait } from "node:timers/promises";
import type { SeededRandom } from "../src/base/common/random.ts";
import type { StoreFault } from "../platform/standins/metadata_store_server.ts";
import type { ProxyFault } from "./fault_proxy.ts";
import type { Promises } from "./promises.ts";
import type { SoakWorld } from "./soak_world.ts";

const MAX_FAULT_MS = 3_000;
const MAX_PAUSE_MS = 700;
/** Engines and app services that always stay. */
const MIN_ENDPOINTS = 2;

type Fault = (world: SoakWorld, random: SeededRandom) => string;

/** Disturbs a world until it is told to stop. */
export class Faults {
  readonly #world: SoakWorld;
  readonly #random: SeededRandom;
  readonly #promises: Promises;
  readonly #log: (line: string) => void;
  #isStopping = false;

  /**
   * @param world - What is disturbed.
   * @param random - Chooses faults, places and times.
   * @param promises - Hears of revoked keys.
   * @param log - Takes a line for each fault.
   */
  constructor(
    world: SoakWorld,
    random: SeededRandom,
    promises: Promises,
    log: (line: string) => void,
  ) {
    this.#world = world;
    this.#random = random;
    this.#promises = promises;
    this.#log = log;
  }

  /** Runs until stopped, then takes every fault away. */
  async run(): Promise<void> {
    const faults: readonly Fault[] = [
      (world) => this.#disturbStore(world),
      (world) => this.#disturbStorePath(world),
      (world) => this.#disturbEndpoint(world),
      (world) => this.#signalDaemon(world),
      (world) => this.#signalDaemon(world),
      (world) => this.#changeEndpoints(world),
      (world) => this.#changeEndpoints(world),
      (world) => this.#changeConfiguration(world),
    ];
    while (!this.#isStopping) {
      const fault = this.#pick(faults);
      this.#log(fault(this.#world, this.#random));
      await wait(this.#random.float() * MAX_PAUSE_MS);
      for (const daemon of this.#world.daemons) daemon.start();
    }
    await this.#calm();
  }

  /** Ends the series. */
  stop(): void {
    this.#isStopping = true;
  }

  async #calm(): Promise<void> {
    await wait(MAX_FAULT_MS);
    for (const daemon of this.#world.daemons) {
      daemon.resume();
      daemon.start();
    }
  }

  #disturbStore(world: SoakWorld): string {
    const server = world.storeServer;
    const kind = this.#pick(
      ["silent", "busy", "reset", "lapse", "compact"] as const,
    );
    const setFault = (fault: StoreFault): void => {
      server.fault = fault;
    };
    if (kind === "compact") server.store.compact();
    else if (kind === "lapse") server.store.expireAllLeases();
    else this.#during(() => setFault(kind), () => setFault("none"));
    return `store ${kind}`;
  }

  #disturbStorePath(world: SoakWorld): string {
    const index = Math.floor(this.#random.float() * world.storeProxies.length);
    return `store path ${index} ${
      this.#disturbProxy(world.storeProxies[index]!)
    }`;
  }

  #disturbEndpoint(world: SoakWorld): string {
    const { name, proxy } = this.#pick(world.endpoints);
    return `path to ${name} ${this.#disturbProxy(proxy)}`;
  }

  #disturbProxy(
    proxy: { setFault(fault: ProxyFault): void; resetAll(): void },
  ): string {
    const fault = this.#pick<ProxyFault | { kind: "cut" }>([
      { kind: "delay", delayMs: 150 },
      { kind: "silence", isOneWay: false },
      { kind: "silence", isOneWay: true },
      { kind: "reset" },
      { kind: "cut" },
    ]);
    const setFault = (next: ProxyFault): void => proxy.setFault(next);
    if (fault.kind === "cut") proxy.resetAll();
    else this.#during(() => setFault(fault), () => setFault({ kind: "none" }));
    return JSON.stringify(fault);
  }

  #signalDaemon(world: SoakWorld): string {
    const daemon = this.#pick(world.daemons);
    const signal = this.#pick(["term", "kill", "pause", "reload"] as const);
    switch (signal) {
      case "term":
        daemon.terminate();
        break;
      case "kill":
        daemon.kill();
        break;
      case "pause":
        this.#during(() => daemon.pause(), () => daemon.resume());
        break;
      case "reload":
        daemon.reload();
    }
    return `${signal} ${daemon.place.name}`;
  }

  #changeEndpoints(world: SoakWorld): string {
    const endpoint = this.#pick(world.endpoints);
    const { service, name } = endpoint;
    const change = this.#pick(["retire", "crash"] as const);
    const left = world.endpoints.filter((other) => other.service === service);
    if (change === "crash" || left.length <= MIN_ENDPOINTS) {
      void world.crashEndpoint(endpoint);
      return `crash ${name}`;
    }
    world.retireEndpoint(endpoint, 1_500 + this.#random.float() * 1_000);
    void world.addEndpoint(service);
    return `retire ${name}`;
  }

  #changeConfiguration(world: SoakWorld): string {
    const key = "key-c";
    const isRevoked = world.revokedKeys.includes(key);
    world.revokedKeys = isRevoked ? [] : [key];
    world.writeConfiguration();
    if (isRevoked) this.#promises.noteRestored(key);
    else this.#promises.noteRevoked(key, Date.now());
    return isRevoked ? `give ${key} back` : `take ${key} away`;
  }

  #during(begin: () => void, end: () => void): void {
    begin();
    setTimeout(end, this.#random.float() * MAX_FAULT_MS);
  }

  #pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.#random.float() * choices.length)]!;
  }
}
