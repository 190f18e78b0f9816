/**
 * Injects the random faults of a soak. All choices come from one seeded source;
 * faults start one after the other and overlap in time.
 */

import { setTimeout as wait } from "node:timers/promises";
import type { SeededRandom } from "../src/base/common/random.ts";
import { ENDPOINT_PREFIX } from "../platform/store_documents.ts";
import type { StoreFault } from "../platform/standins/metadata_store_server.ts";
import type { ProxyFault, SourceCut } from "../standins/network/fault_proxy.ts";
import { HostIsolation } from "./host_isolation.ts";
import type { InvariantChecker } from "./invariant_checker.ts";
import { drawOddEntry } from "./odd_entries.ts";
import { ProcessFaults } from "./process_faults.ts";
import { drawLeftMs } from "./reused_addresses.ts";
import { Releases } from "./releases.ts";
import { Silences } from "./silences.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

const MAX_FAULT_DURATION_MS = 3_000;
const MAX_FAULT_GAP_MS = 700;
/** Time in milliseconds from an endpoint's draining entry to its end. */
const DRAIN_MS = 2_000;
/** Bounds of the notice of endpoints that leave at short notice. */
const MIN_NOTICE_MS = 300;
const MAX_NOTICE_MS = 1_700;
/** Long enough that a limit binds. */
const MIN_LIMIT_MS = 5_000;
/** Limit of a single endpoint, in requests a second. */
const WIDE_LIMIT = 20;
/** Routes of 150 bytes each; the largest configuration has 600 KB. */
const MAX_EXTRA_ROUTES = 4_000;
const MAX_CONFIGURATIONS = 4;
const CONFIGURATION_GAP_MS = 150;
/** Bounds of the time until the entry of an evacuated zone is removed. */
const MIN_EVACUATION_MS = 1_000;
const MAX_EVACUATION_MS = 5_000;
/** Number of endpoints of each service that draining must leave. */
const MIN_ENDPOINTS_PER_SERVICE = 2;

/** Names of the faults. */
export const FAULT_NAMES = [
  "store",
  "store-link",
  "endpoint-link",
  "signal",
  "replace",
  "revoke",
  "restore",
  "leave",
  "turn-away",
  "reject",
  "limit",
  "kill-all",
  "big-config",
  "release",
  "isolate",
  "spot",
  "remove",
  "cut-host",
  "evacuate",
  "two-ids",
  "silence",
  "odd-entries",
  "output",
  "ports",
  "early-signals",
  "settings",
  // From the start to the end.
  "crashing-requests",
  "uploads",
  "unproven-answers",
  "copied-answers",
  "odd-status",
] as const;

/** Name of a fault. */
export type FaultName = (typeof FAULT_NAMES)[number];

/**
 * @param names - Faults that a soak chooses from.
 * @returns The software versions of the first endpoints. Two of them serve side
 * by side unless releases bring others.
 */
export function firstVersions(names: readonly FaultName[]): readonly string[] {
  const hasReleases = names.includes("release") || names.includes("isolate");
  return hasReleases ? ["v1"] : ["v1", "v2"];
}

type FaultAction = (deployment: SoakDeployment, random: SeededRandom) => string;

/** Injects faults into a deployment until it is stopped. */
export class FaultInjector {
  readonly #deployment: SoakDeployment;
  readonly #random: SeededRandom;
  readonly #invariants: InvariantChecker;
  readonly #log: (line: string) => void;
  readonly #names: readonly FaultName[];
  readonly #releases: Releases;
  readonly #isolation: HostIsolation;
  readonly #silences: Silences;
  readonly #processFaults: ProcessFaults;
  /** Resolve when the evacuations have ended, which may outlast other faults. */
  readonly #pendingEvacuations = new Set<Promise<void>>();
  #isStopping = false;

  /**
   * @param deployment - Deployment that receives the faults.
   * @param random - Source of the choice of fault, target and duration.
   * @param invariants - Checker that records revoked and restored API keys.
   * @param log - Callback that receives one line per fault.
   * @param names - Faults to choose from.
   */
  constructor(
    deployment: SoakDeployment,
    random: SeededRandom,
    invariants: InvariantChecker,
    log: (line: string) => void,
    names: readonly FaultName[] = FAULT_NAMES,
  ) {
    this.#deployment = deployment;
    this.#random = random;
    this.#invariants = invariants;
    this.#log = log;
    this.#names = names;
    this.#releases = new Releases(deployment, random, firstVersions(names));
    this.#silences = new Silences(deployment, random, invariants);
    this.#processFaults = new ProcessFaults(deployment, random);
    this.#isolation = new HostIsolation(
      deployment,
      random,
      this.#releases,
      log,
    );
  }

  /** Injects faults until stopped, then waits until all faults have ended. */
  async run(): Promise<void> {
    const faultActions = this.#faultActions();
    while (!this.#isStopping) {
      // Some faults last from the start to the end.
      const faultAction = faultActions.length > 0
        ? this.#pick(faultActions)
        : () => "no fault";
      // Requests may have crashed all endpoints within a moment.
      const hasEndpoints = this.#deployment.endpoints.length > 0;
      this.#log(
        hasEndpoints
          ? faultAction(this.#deployment, this.#random)
          : "no endpoint is left for a moment",
      );
      await wait(this.#random.float() * MAX_FAULT_GAP_MS);
      for (const daemon of this.#deployment.daemons) daemon.start();
    }
    await this.#awaitRecovery();
  }

  /** Returns the actions to choose from; frequent ones are listed twice. */
  #faultActions(): readonly FaultAction[] {
    const named: readonly (readonly [FaultName, FaultAction])[] = [
      ["store", (deployment) => this.#injectStoreFault(deployment)],
      [
        "store-link",
        (deployment) => this.#injectStoreConnectionFault(deployment),
      ],
      [
        "endpoint-link",
        (deployment) => this.#injectEndpointConnectionFault(deployment),
      ],
      ["signal", (deployment) => this.#signalDaemon(deployment)],
      ["signal", (deployment) => this.#signalDaemon(deployment)],
      ["replace", (deployment) => this.#replaceEndpoint(deployment)],
      ["replace", (deployment) => this.#replaceEndpoint(deployment)],
      ["revoke", (deployment) => this.#toggleRevokedKey(deployment)],
      ["restore", (deployment) => this.#restoreStore(deployment)],
      ["leave", (deployment) => this.#announceLeaving(deployment)],
      ["turn-away", (deployment) => this.#turnAway(deployment)],
      ["reject", (deployment) => this.#rejectMost(deployment)],
      ["limit", (deployment) => this.#nameLimit(deployment)],
      ["limit", (deployment) => this.#nameLimit(deployment)],
      ["kill-all", (deployment) => this.#killAll(deployment)],
      [
        "big-config",
        (deployment) => this.#writeLargeConfigurations(deployment),
      ],
      ["release", () => this.#releases.beginUnlessQuiet()],
      ["release", () => this.#releases.beginUnlessQuiet()],
      ["isolate", () => this.#isolation.begin()],
      ["isolate", () => this.#isolation.begin()],
      ["spot", (deployment) => this.#endAtShortNotice(deployment)],
      ["spot", (deployment) => this.#endAtShortNotice(deployment)],
      ["remove", (deployment) => this.#removeEndpoint(deployment)],
      ["cut-host", (deployment) => this.#cutHost(deployment)],
      ["cut-host", (deployment) => this.#cutHost(deployment)],
      ["evacuate", (deployment) => this.#evacuateZone(deployment)],
      ["two-ids", (deployment) => this.#returnUnderOtherId(deployment)],
      ["two-ids", (deployment) => this.#returnUnderOtherId(deployment)],
      ["silence", () => this.#silences.begin()],
      ["silence", () => this.#silences.begin()],
      ["odd-entries", (deployment) => this.#writeOddEntry(deployment)],
      ["output", () => this.#processFaults.disturbOutput()],
      ["output", () => this.#processFaults.disturbOutput()],
      ["ports", () => this.#processFaults.holdPort()],
      ["early-signals", () => this.#processFaults.signalEarly()],
      ["settings", () => this.#processFaults.disturbSettings()],
    ];
    return named.filter(([name]) => this.#names.includes(name))
      .map(([, action]) => action);
  }

  /** Stops injecting faults. */
  stop(): void {
    this.#isStopping = true;
  }

  async #awaitRecovery(): Promise<void> {
    await wait(MAX_FAULT_DURATION_MS);
    await Promise.all(this.#pendingEvacuations);
    await this.#processFaults.ended();
    this.#isolation.end();
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
      this.#random.float() * deployment.partitions.length,
    );
    return `store connection ${index} ${
      this.#injectProxyFault(deployment.partitions[index]!.storeProxy)
    }`;
  }

  #injectEndpointConnectionFault(deployment: SoakDeployment): string {
    const { name, proxy } = this.#pick(deployment.endpoints);
    return `connection to ${name} ${this.#injectProxyFault(proxy)}`;
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

  /** Cuts a daemon from all endpoints, which its peers still reach. */
  #cutHost(deployment: SoakDeployment): string {
    const daemon = this.#pick(deployment.daemons);
    const cut = this.#pick<SourceCut>(["silent", "reset", "refuse-new"]);
    this.#applyTemporarily(
      () => deployment.cutFromEndpoints(daemon, cut),
      () => deployment.cutFromEndpoints(daemon, undefined),
    );
    return `cut ${daemon.options.name} from all endpoints (${cut})`;
  }

  /** Only zones that are evacuated again before they return test the bound. */
  #evacuateZone(deployment: SoakDeployment): string {
    const { zone } = this.#pick(deployment.endpoints);
    const evacuatedMs = MIN_EVACUATION_MS +
      this.#random.float() * (MAX_EVACUATION_MS - MIN_EVACUATION_MS);
    deployment.evacuate(zone);
    this.#pendingEvacuations.add(
      wait(evacuatedMs).then(() => deployment.endEvacuation(zone)),
    );
    return `evacuate ${zone} for ${Math.round(evacuatedMs)} ms`;
  }

  #killAll(deployment: SoakDeployment): string {
    for (const daemon of deployment.daemons) daemon.kill();
    return "kill all";
  }

  #replaceEndpoint(deployment: SoakDeployment): string {
    const endpoint = this.#pick(deployment.endpoints);
    const { service, name } = endpoint;
    const change = this.#pick(["drain", "crash"] as const);
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
    void deployment.addReplacement(endpoint);
    return `drain ${name}`;
  }

  /** An endpoint announces that it leaves, and ends soon. */
  #endAtShortNotice(deployment: SoakDeployment): string {
    const endpoint = this.#pick(deployment.endpoints);
    const noticeMs = MIN_NOTICE_MS +
      this.#random.float() * (MAX_NOTICE_MS - MIN_NOTICE_MS);
    void deployment.addReplacement(endpoint);
    deployment.endAtShortNotice(endpoint, noticeMs);
    return `${endpoint.name} ends in ${Math.round(noticeMs)} ms`;
  }

  /** An endpoint ends without notice, and another takes its place. */
  #removeEndpoint(deployment: SoakDeployment): string {
    const endpoint = this.#pick(deployment.endpoints);
    void deployment.addReplacement(endpoint);
    deployment.removeEndpoint(endpoint);
    return `remove ${endpoint.name}`;
  }

  /** An endpoint ends and returns under another id, while its entry remains. */
  #returnUnderOtherId(deployment: SoakDeployment): string {
    const { endpoints } = deployment;
    const solo = endpoints.filter(({ service }) => service === "solo");
    const endpoint = this.#pick([...solo, this.#pick(endpoints)]);
    const leftMs = drawLeftMs(this.#random);
    void deployment.returnUnderOtherId(endpoint, leftMs);
    return `${endpoint.name} returns under another id, its entry remains for ${leftMs} ms`;
  }

  /** Another writer leaves an entry beside those of the endpoints. */
  #writeOddEntry(
    { endpoints, storeServer: { store } }: SoakDeployment,
  ): string {
    const { service, zone } = this.#pick(endpoints);
    const { id, text } = drawOddEntry(this.#random, service, zone);
    const key = `${ENDPOINT_PREFIX}${id}`;
    this.#applyTemporarily(() => store.put(key, text), () => store.remove(key));
    return `entry ${JSON.stringify(id)}: ${text}`;
  }

  /** Restores a copy of the store that is some time old by then. */
  #restoreStore(deployment: SoakDeployment): string {
    const copy = deployment.storeServer.store.copy();
    const ageMs = this.#random.float() * MAX_FAULT_DURATION_MS;
    setTimeout(() => deployment.restoreStore(copy), ageMs);
    return `store restore after ${Math.round(ageMs)} ms`;
  }

  /** An endpoint says in its answers that it leaves, and drains later. */
  #announceLeaving(deployment: SoakDeployment): string {
    const endpoint = this.#pick(deployment.endpoints);
    const { name, replica, service } = endpoint;
    const endpointsOfService = deployment.endpoints.filter((other) =>
      other.service === service
    );
    if (endpointsOfService.length <= MIN_ENDPOINTS_PER_SERVICE) {
      return "no endpoint leaves";
    }
    replica.isLeaving = true;
    void deployment.addReplacement(endpoint);
    setTimeout(() => {
      const isPresent = deployment.endpoints.includes(endpoint);
      if (isPresent) deployment.drainEndpoint(endpoint, DRAIN_MS);
    }, this.#random.float() * MAX_FAULT_DURATION_MS);
    return `leaving ${name}`;
  }

  /** An endpoint turns requests away and states for how long. */
  #turnAway(deployment: SoakDeployment): string {
    const { name, replica } = this.#pick(deployment.endpoints);
    const seconds = 0.5 + this.#random.float() * 2;
    replica.retryAfter = seconds.toFixed(2);
    setTimeout(() => {
      replica.retryAfter = undefined;
    }, seconds * 1_000);
    return `${name} turns away for ${seconds.toFixed(2)} s`;
  }

  /** The endpoints of a service turn most requests away for a time. */
  #rejectMost(deployment: SoakDeployment): string {
    const service = this.#pick(["app", "llm"] as const);
    const replicas = deployment.endpoints.filter((endpoint) =>
      endpoint.service === service
    ).map(({ replica }) => replica);
    this.#applyTemporarily(
      () => replicas.forEach((replica) => replica.rejectedOfFive = 4),
      () => replicas.forEach((replica) => replica.rejectedOfFive = 0),
    );
    return `${service} rejects most requests`;
  }

  /** An endpoint names a limit in its answers for a time. */
  #nameLimit(deployment: SoakDeployment): string {
    const { name, process, replica, service } = this.#pick(
      deployment.endpoints,
    );
    if (replica.namedLimit !== undefined) return "no limit is named";
    const narrowLimit = 1 + this.#random.float() * 4;
    const perS = service === "solo" ? WIDE_LIMIT : narrowLimit;
    const { limitRules } = this.#invariants;
    replica.namedLimit = perS.toFixed(1);
    limitRules.begin(process, Number(replica.namedLimit), Date.now());
    setTimeout(() => {
      replica.namedLimit = undefined;
      limitRules.end(process, Date.now());
    }, MIN_LIMIT_MS + this.#random.float() * MAX_FAULT_DURATION_MS);
    return `${name} names a limit of ${replica.namedLimit}`;
  }

  #toggleRevokedKey(deployment: SoakDeployment): string {
    const key = "key-c";
    const isRevoked = deployment.revokedKeys.includes(key);
    deployment.revokedKeys = isRevoked ? [] : [key];
    deployment.writeConfiguration();
    if (isRevoked) this.#invariants.recordRestoration(key);
    else this.#invariants.recordRevocation(key, Date.now());
    return isRevoked ? `restore ${key}` : `revoke ${key}`;
  }

  /** Writes configurations in series, some larger than a frame between hosts. */
  #writeLargeConfigurations(deployment: SoakDeployment): string {
    const count = 1 + Math.floor(this.#random.float() * MAX_CONFIGURATIONS);
    const routeCounts = Array.from(
      { length: count },
      () => Math.floor(this.#random.float() * MAX_EXTRA_ROUTES),
    );
    routeCounts.forEach((routeCount, index) =>
      setTimeout(() => {
        deployment.extraRouteCount = routeCount;
        deployment.writeConfiguration();
      }, index * CONFIGURATION_GAP_MS)
    );
    return `configurations of ${routeCounts.join()} more routes`;
  }

  #applyTemporarily(apply: () => void, revert: () => void): void {
    apply();
    setTimeout(revert, this.#random.float() * MAX_FAULT_DURATION_MS);
  }

  #pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.#random.float() * choices.length)]!;
  }
}
