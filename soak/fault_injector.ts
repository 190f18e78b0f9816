/** Faults of the soak, drawn from one seed; they come in series and overlap. */

import { setTimeout as wait } from "node:timers/promises";
import type { SeededRandom } from "../src/base/common/random.ts";
import type { StoreFault } from "../platform/standins/metadata_store_server.ts";
import type { ProxyFault } from "./fault_proxy.ts";
import type { InvariantChecker } from "./invariant_checker.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

const MAX_FAULT_DURATION_MS = 3_000;
const MAX_FAULT_GAP_MS = 700;
/** Engines and app services that always stay. */
const MIN_ENDPOINTS_PER_SERVICE = 2;

type FaultAction = (deployment: SoakDeployment, random: SeededRandom) => string;

/** Disturbs a deployment until it is told to stop. */
export class FaultInjector {
  readonly #deployment: SoakDeployment;
  readonly #random: SeededRandom;
  readonly #invariants: InvariantChecker;
  readonly #log: (line: string) => void;
  #isStopping = false;

  /**
   * @param deployment - What is disturbed.
   * @param random - Chooses faults, places and times.
   * @param invariants - Hears of revoked keys.
   * @param log - Takes a line for each fault.
   */
  constructor(
    deployment: SoakDeployment,
    random: SeededRandom,
    invariants: InvariantChecker,
    log: (line: string) => void,
  ) {
    this.#deployment = deployment;
    this.#random = random;
    this.#invariants = invariants;
    this.#log = log;
  }

  /** Runs until stopped, then takes every fault away. */
  async run(): Promise<void> {
    const faultActions: readonly FaultAction[] = [
      (deployment) => this.#injectStoreFault(deployment),
      (deployment) => this.#injectStoreConnectionFault(deployment),
      (deployment) => this.#injectEndpointConnectionFault(deployment),
      (deployment) => this.#signalDaemon(deployment),
      (deployment) => this.#signalDaemon(deployment),
      (deployment) => this.#replaceEndpoint(deployment),
      (deployment) => this.#replaceEndpoint(deployment),
      (deployment) => this.#toggleRevokedKey(deployment),
    ];
    while (!this.#isStopping) {
      const faultAction = this.#pick(faultActions);
      this.#log(faultAction(this.#deployment, this.#random));
      await wait(this.#random.float() * MAX_FAULT_GAP_MS);
      for (const daemon of this.#deployment.daemons) daemon.start();
    }
    await this.#awaitRecovery();
  }

  /** Ends the series. */
  stop(): void {
    this.#isStopping = true;
  }

  async #awaitRecovery(): Promise<void> {
    await wait(MAX_FAULT_DURATION_MS);
    for (const daemon of this.#deployment.daemons) {
      daemon.resume();
      daemon.start();
    }
  }

  #injectStoreFault(deployment: SoakDeployment): string {
    const server = deployment.storeServer;
    const kind = this.#pick(
      ["silent", "busy", "reset", "lapse", "compact"] as const,
    );
    const setFault = (fault: StoreFault): void => {
      server.fault = fault;
    };
    if (kind === "compact") server.store.compact();
    else if (kind === "lapse") server.store.expireAllLeases();
    else this.#applyTemporarily(() => setFault(kind), () => setFault("none"));
    return `store ${kind}`;
  }

  #injectStoreConnectionFault(deployment: SoakDeployment): string {
    const index = Math.floor(
      this.#random.float() * deployment.storeProxies.length,
    );
    return `store path ${index} ${
      this.#injectProxyFault(deployment.storeProxies[index]!)
    }`;
  }

  #injectEndpointConnectionFault(deployment: SoakDeployment): string {
    const { name, proxy } = this.#pick(deployment.endpoints);
    return `path to ${name} ${this.#injectProxyFault(proxy)}`;
  }

  #injectProxyFault(
    proxy: { setFault(fault: ProxyFault): void; resetConnections(): void },
  ): string {
    const fault = this.#pick<ProxyFault | { kind: "cut" }>([
      { kind: "delay", delayMs: 150 },
      { kind: "silence", isOneWay: false },
      { kind: "silence", isOneWay: true },
      { kind: "reset" },
      { kind: "cut" },
    ]);
    const set = (next: ProxyFault): void => proxy.setFault(next);
    if (fault.kind === "cut") proxy.resetConnections();
    else this.#applyTemporarily(() => set(fault), () => set({ kind: "none" }));
    return JSON.stringify(fault);
  }

  #signalDaemon(deployment: SoakDeployment): string {
    const daemon = this.#pick(deployment.daemons);
    const signal = this.#pick(["term", "kill", "pause", "reload"] as const);
    switch (signal) {
      case "term":
        daemon.terminate();
        break;
      case "kill":
        daemon.kill();
        break;
      case "pause":
        this.#applyTemporarily(() => daemon.pause(), () => daemon.resume());
        break;
      case "reload":
        daemon.reloadSettings();
    }
    return `${signal} ${daemon.options.name}`;
  }

  #replaceEndpoint(deployment: SoakDeployment): string {
    const endpoint = this.#pick(deployment.endpoints);
    const { service, name } = endpoint;
    const change = this.#pick(["retire", "crash"] as const);
    const endpointsOfService = deployment.endpoints.filter((other) =>
      other.service === service
    );
    if (
      change === "crash" ||
      endpointsOfService.length <= MIN_ENDPOINTS_PER_SERVICE
    ) {
      void deployment.restartEndpoint(endpoint);
      return `crash ${name}`;
    }
    deployment.drainEndpoint(endpoint, 1_500 + this.#random.float() * 1_000);
    void deployment.addEndpoint(service);
    return `retire ${name}`;
  }

  #toggleRevokedKey(deployment: SoakDeployment): string {
    const key = "key-c";
    const isRevoked = deployment.revokedKeys.includes(key);
    deployment.revokedKeys = isRevoked ? [] : [key];
    deployment.writeConfiguration();
    if (isRevoked) this.#invariants.recordRestoration(key);
    else this.#invariants.recordRevocation(key, Date.now());
    return isRevoked ? `give ${key} back` : `take ${key} away`;
  }

  #applyTemporarily(apply: () => void, revert: () => void): void {
    apply();
    setTimeout(revert, this.#random.float() * MAX_FAULT_DURATION_MS);
  }

  #pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.#random.float() * choices.length)]!;
  }
}
