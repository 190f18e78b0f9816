/**
 * Deployment of a soak on loopback: a store and endpoints in this process, and
 * daemons as child processes. Proxies inject faults between them.
 */

import { mkdir, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { StepError } from "../src/base/common/errors.ts";
import { listenAt } from "../src/services/http/node/listen.ts";
import { SystemClock } from "../src/base/node/system_clock.ts";
import type { Address } from "../src/base/common/ids.ts";
import { MetadataStoreServer } from "../platform/standins/metadata_store_server.ts";
import { MemoryNetwork, RunMemory } from "../platform/standins/run_memory.ts";
import { ReplicaServer } from "../platform/standins/replica_server.ts";
import {
  CONFIGURATION_KEY,
  ENDPOINT_PREFIX,
  EVACUATION_PREFIX,
} from "../platform/store_documents.ts";
import { DaemonProcess } from "./daemon_process.ts";
import { createConfiguration } from "./soak_configuration.ts";
import { HOST_KEY_PREFIX } from "../src/services/hosts/common/host_entry.ts";
import type { SourceCut } from "../standins/network/fault_proxy.ts";
import { HostPartition } from "../standins/network/host_partition.ts";
import type { StoreCopy } from "../standins/mirror/fake_revisioned_store.ts";
import { SeedServer } from "./seed_server.ts";
import { type EndpointPlace, EndpointPlaces } from "./endpoint_places.ts";
import { EndpointObserver } from "./endpoint_observer.ts";
import type { CopiedAnswers } from "./copied_answers.ts";
import type { InvariantChecker } from "./invariant_checker.ts";
import type { SoakService } from "./retry_rules.ts";
import { leftEntryMsOf } from "./reused_addresses.ts";

/** Time in milliseconds within which a revoked API key must be refused. */
export const MAX_REVOCATION_MS = 5_000;
/** Workspace by API key; the last key is revoked and restored repeatedly. */
export const WORKSPACE_BY_KEY: ReadonlyMap<string, string> = new Map([
  ["key-a", "workspace-a"],
  ["key-b", "workspace-b"],
  ["key-c", "workspace-b"],
]);

/** Services of the first endpoints. */
const SERVICES = ["app", "app", "llm", "llm", "llm", "llm", "solo"] as const;
const ZONES = ["zone-a", "zone-b"];
/** Killed processes exit within a few milliseconds. */
const EXIT_POLL_INTERVAL_MS = 20;
const PORTS_PER_DAEMON = 10;
const SEED_COUNT = 3;
/**
 * Concurrent soaks must differ in the thousands of their first port, which select
 * their loopback addresses.
 */
const PORTS_PER_SOAK = 1_000;

/** Time in milliseconds until a crashed endpoint is replaced. */
const CRASH_RETURN_MS = 400;
/** Time in milliseconds after which the address of an endpoint is used again. */
const ADDRESS_REUSE_MS = 2_000;

/** What an endpoint keeps when its process starts again. */
interface EndpointIdentity {
  readonly service: SoakService;
  readonly name: string;
  /** Software version that it announces. */
  readonly version: string;
  readonly zone: string;
}

/** An endpoint and the proxy in front of it. */
export interface SoakEndpoint extends EndpointIdentity, EndpointPlace {
  replica: ReplicaServer;
  /** Identifies the current process of the endpoint. */
  process: string;
  /** Wall-clock start time of the replica in milliseconds since the epoch. */
  startedMs: number;
}

/** Options of a soak deployment. */
export interface SoakDeploymentOptions {
  readonly programPath: string;
  /** Path of the program of every second daemon; the same by default. */
  readonly otherProgramPath?: string;
  readonly folder: string;
  readonly daemonCount: number;
  /** First port of the daemons. */
  readonly firstPort: number;
  /** Seed of the shapes of answers. */
  readonly seed: number;
  /** Software versions of the first endpoints, in turn. */
  readonly versions: readonly string[];
  /** Whether some endpoints promise that they have not run what they have. */
  readonly hasUnprovenAnswers: boolean;
  /** Whether some answers have heads that no caller may get. */
  readonly hasOddAnswers: boolean;
  /** Lets endpoints send answers too many, if they do. */
  readonly copiedAnswers: CopiedAnswers | undefined;
  /** Whether some crashed endpoints return at their addresses under other ids. */
  readonly reusesAddresses: boolean;
  readonly invariants: InvariantChecker;
}

/** Starts, changes and stops the store, endpoints and daemons of a soak. */
export class SoakDeployment {
  readonly #options: SoakDeploymentOptions;
  readonly #firstPort: number;
  readonly storeServer = new MetadataStoreServer(new SystemClock());
  readonly endpoints: SoakEndpoint[] = [];
  readonly daemons: DaemonProcess[] = [];
  /** The links of each daemon to its peers and the store. */
  readonly partitions: HostPartition[] = [];
  readonly #seeds: SeedServer[] = [];
  readonly #observer: EndpointObserver;
  readonly #memories = new MemoryNetwork();
  /** Daemons that are cut off, at which callers take up more streams. */
  isolatedDaemons: readonly DaemonProcess[] = [];
  readonly #places = new EndpointPlaces(this.daemons);
  /** Software version of replacements, if the version they replace has left. */
  replacementVersion: string | undefined;
  #configurationVersion = 0;
  #configurationText = "";
  /** Current entries of the endpoints, by their names. */
  readonly #entries = new Map<string, string>();
  /** Number of evacuations that have not ended, by zone. */
  readonly #evacuations = new Map<string, number>();
  #isStopped = false;
  #endpointCount = 0;
  #startCount = 0;
  revokedKeys: readonly string[] = [];
  /** Routes of the next configuration that no caller uses. */
  extraRouteCount = 0;

  /** @param options - Size, paths and first port of the deployment. */
  constructor(options: SoakDeploymentOptions) {
    this.#options = options;
    this.#firstPort = options.firstPort;
    this.#observer = new EndpointObserver({
      ...options,
      daemons: this.daemons,
      storeFailedMsOf: (daemon) => this.storeFailedMsOf(daemon),
      onCrash: (name) => void this.#replaceCrashed(name),
    });
  }

  /** Number of endpoints that returned at their addresses under other ids. */
  get reusedAddressCount(): number {
    return this.#places.reusedCount;
  }

  /** Starts all components; daemons may become ready later. */
  async start(): Promise<void> {
    const { folder, daemonCount, programPath, versions } = this.#options;
    const programPaths = [
      programPath,
      this.#options.otherProgramPath ?? programPath,
    ];
    await this.#assertPortsAreFree();
    await rm(folder, { recursive: true, force: true });
    await mkdir(folder, { recursive: true });
    const storeAddress = await this.storeServer.listen();
    this.writeConfiguration();
    for (const [index, service] of SERVICES.entries()) {
      await this.addEndpoint(service, versions[index % versions.length]!);
    }
    const seeds = await this.#startSeeds();
    for (let index = 0; index < daemonCount; index++) {
      const name = `host-${index}`;
      const ip = this.#getIp(index);
      const port = this.#getPort(index);
      const partition = await HostPartition.create(
        ip,
        this.#getPeersAddress(index),
        storeAddress,
      );
      this.partitions.push(partition);
      const { peersAddress } = partition;
      this.storeServer.addresses.set(`${HOST_KEY_PREFIX}${name}`, peersAddress);
      const daemon = new DaemonProcess(
        {
          name,
          ip,
          zone: ZONES[index % ZONES.length]!,
          port,
          storeAddress: partition.storeAddress,
          seeds: seeds.filter((_, seed) => seed !== index),
        },
        programPaths[index % programPaths.length]!,
        folder,
      );
      daemon.writeSettings(MAX_REVOCATION_MS);
      daemon.start();
      this.daemons.push(daemon);
    }
  }

  /**
   * Restores a copy of the store, after which the operator and the endpoints
   * write their entries again.
   */
  restoreStore(copy: StoreCopy): void {
    const { store } = this.storeServer;
    store.restore(copy);
    // The entries of endpoints that have left are there for a moment.
    this.#options.invariants.endpointRules.forgetRemovals();
    for (const key of store.keys()) {
      const name = key.slice(ENDPOINT_PREFIX.length);
      const isGone = key.startsWith(ENDPOINT_PREFIX) &&
        !this.#entries.has(name);
      const zone = key.slice(EVACUATION_PREFIX.length);
      const hasReturned = key.startsWith(EVACUATION_PREFIX) &&
        !this.#evacuations.has(zone);
      if (isGone || hasReturned) store.remove(key);
    }
    for (const zone of this.#evacuations.keys()) {
      store.put(`${EVACUATION_PREFIX}${zone}`, "1");
    }
    for (const [name, text] of this.#entries) {
      store.put(`${ENDPOINT_PREFIX}${name}`, text);
    }
    store.put(CONFIGURATION_KEY, this.#configurationText);
  }

  /** Stops all components. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const daemon of this.daemons) {
      daemon.resume();
      daemon.kill();
    }
    while (this.daemons.some(({ isRunning }) => isRunning)) {
      await wait(EXIT_POLL_INTERVAL_MS);
    }
    for (const { replica, proxy } of this.endpoints) {
      proxy.close();
      replica.dispose();
    }
    for (const partition of this.partitions) partition.dispose();
    for (const seed of this.#seeds) seed.dispose();
    this.storeServer.dispose();
  }

  /**
   * Evacuates a zone. Evacuations of a zone that overlap extend the first one.
   */
  evacuate(zone: string): void {
    const count = this.#evacuations.get(zone) ?? 0;
    this.#evacuations.set(zone, count + 1);
    this.storeServer.store.put(`${EVACUATION_PREFIX}${zone}`, "1");
    const { evacuationRules } = this.#options.invariants;
    if (count === 0) evacuationRules.begin(zone, Date.now());
  }

  /** Ends one evacuation of a zone, and removes the entry with the last one. */
  endEvacuation(zone: string): void {
    const count = this.#evacuations.get(zone) ?? 0;
    if (count > 1) this.#evacuations.set(zone, count - 1);
    if (count !== 1) return;
    this.#evacuations.delete(zone);
    this.storeServer.store.remove(`${EVACUATION_PREFIX}${zone}`);
    this.#options.invariants.evacuationRules.end(zone, Date.now());
  }

  /**
   * Starts an endpoint of a software version and adds it to the store.
   *
   * @param service - Service of the endpoint.
   * @param version - Software version that it announces.
   * @param zone - Its zone; by default the zones alternate.
   * @param earlier - An endpoint that has ended, whose address it takes.
   */
  async addEndpoint(
    service: SoakService,
    version: string,
    zone?: string,
    earlier?: EndpointPlace,
  ): Promise<void> {
    const count = ++this.#endpointCount;
    const name = `${service}-${count}`;
    // In pairs (a, b, b, a), as versions alternate one by one at the start.
    const ownZone = zone ?? ZONES[(count >> 1) % ZONES.length]!;
    const identity = { service, name, version, zone: ownZone };
    const started = await this.#startReplica(identity, earlier);
    const endpoint = { ...identity, ...started };
    this.endpoints.push(endpoint);
    this.#writeEndpointEntry(endpoint, "ready");
  }

  /** Adds an endpoint in the place of one that leaves. */
  addReplacement(
    { service, version, zone }: SoakEndpoint,
    earlier?: EndpointPlace,
  ): Promise<void> {
    const newVersion = service === "llm" ? this.replacementVersion : undefined;
    return this.addEndpoint(service, newVersion ?? version, zone, earlier);
  }

  /**
   * Drains an endpoint and stops it afterwards.
   *
   * @param endpoint - Endpoint to drain.
   * @param drainMs - Time in milliseconds until it is removed and stopped.
   */
  drainEndpoint(endpoint: SoakEndpoint, drainMs: number): void {
    this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
    this.#writeEndpointEntry(endpoint, "draining");
    setTimeout(() => {
      this.#removeEndpointEntry(endpoint.name);
      this.#endProcess(endpoint);
    }, drainMs);
  }

  /**
   * Announces in all ways that an endpoint leaves at short notice, and ends it.
   *
   * @param endpoint - Endpoint that ends.
   * @param noticeMs - Time in milliseconds until its process ends.
   */
  endAtShortNotice(endpoint: SoakEndpoint, noticeMs: number): void {
    endpoint.replica.isLeaving = true;
    endpoint.replica.leavesAtMs = Date.now() + noticeMs;
    this.drainEndpoint(endpoint, noticeMs);
  }

  /**
   * Removes the entry of an endpoint that never says that it leaves.
   *
   * @param endpoint - Endpoint that leaves.
   * @param servesMs - Time in milliseconds for which it serves on.
   */
  withdrawEndpoint(endpoint: SoakEndpoint, servesMs: number): void {
    this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
    this.#removeEndpointEntry(endpoint.name);
    setTimeout(() => this.#endProcess(endpoint), servesMs);
  }

  /** Ends an endpoint without notice, and its entry at once. */
  removeEndpoint(endpoint: SoakEndpoint): void {
    this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
    this.#removeEndpointEntry(endpoint.name);
    this.#endProcess(endpoint);
  }

  /** Stops an endpoint without notice and starts it again under its name. */
  async restartEndpoint(endpoint: SoakEndpoint): Promise<void> {
    this.#endProcess(endpoint);
    Object.assign(endpoint, await this.#startReplica(endpoint));
    this.#writeEndpointEntry(endpoint, "ready");
  }

  /**
   * Ends an endpoint without notice. It returns at its address under another id.
   *
   * @param endpoint - Endpoint that ends.
   * @param leftMs - Time in milliseconds for which its entry remains.
   */
  async returnUnderOtherId(
    endpoint: SoakEndpoint,
    leftMs: number,
  ): Promise<void> {
    const { name, process, proxy, replica } = endpoint;
    this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
    this.#options.invariants.answerRules.recordProcessEnd(process);
    replica.dispose();
    proxy.endConnections();
    setTimeout(() => this.#removeEndpointEntry(name), leftMs);
    await wait(ADDRESS_REUSE_MS);
    if (this.#isStopped) proxy.close();
    else await this.addReplacement(endpoint, endpoint);
  }

  /** Cuts a daemon from all endpoints, or ends its cut. */
  cutFromEndpoints(daemon: DaemonProcess, cut: SourceCut | undefined): void {
    this.#places.cut(daemon, cut, this.endpoints);
  }

  /** Writes the next configuration version, without the revoked API keys. */
  writeConfiguration(): void {
    this.#configurationVersion++;
    const keys = [...WORKSPACE_BY_KEY].filter(([key]) =>
      !this.revokedKeys.includes(key)
    );
    const names = new Set(WORKSPACE_BY_KEY.values());
    const tenants = [...names].map((name) => ({
      name,
      "api-keys": keys.filter(([, owner]) => owner === name).map(([key]) =>
        key
      ),
    }));
    const text = JSON.stringify(
      createConfiguration(
        this.#configurationVersion,
        tenants,
        this.extraRouteCount,
      ),
    );
    this.#configurationText = text;
    this.storeServer.store.put(CONFIGURATION_KEY, text);
  }

  /** Links to addresses that the daemons state themselves cannot be cut. */
  #startSeeds(): Promise<Address[]> {
    const count = Math.min(SEED_COUNT, this.#options.daemonCount);
    return Promise.all(Array.from({ length: count }, (_, index) => {
      const seed = new SeedServer(
        this.#getPeersAddress(index),
        (host) => this.storeServer.addresses.get(`${HOST_KEY_PREFIX}${host}`),
      );
      this.#seeds.push(seed);
      return seed.listen();
    }));
  }

  /** Two soaks that share ports would serve each other's callers. */
  async #assertPortsAreFree(): Promise<void> {
    for (let index = 0; index < this.#options.daemonCount; index++) {
      const address = `${this.#getIp(index)}:${this.#getPort(index)}`;
      const server = createServer();
      await listenAt(server, address as Address).catch((cause: unknown) => {
        throw new StepError(
          "the address is in use; choose a --port in another thousand",
          { step: "soak.start", peer: address },
          cause,
        );
      });
      await new Promise((resolve) => server.close(resolve));
    }
  }

  /**
   * @returns Latest wall-clock time at which a daemon could not read the store,
   * in milliseconds.
   */
  storeFailedMsOf(daemon: DaemonProcess): number {
    const partition = this.partitions[this.daemons.indexOf(daemon)];
    return Math.max(
      partition?.storeProxy.disturbedMs ?? 0,
      this.storeServer.failedMsOf(daemon.options.ip),
    );
  }

  #getPeersAddress(index: number): Address {
    return `${this.#getIp(index)}:${this.#getPort(index) + 2}` as Address;
  }

  #getPort(index: number): number {
    return this.#firstPort + index * PORTS_PER_DAEMON;
  }

  /** Each daemon has its own loopback address, as each host has its own IP. */
  #getIp(index: number): string {
    return `127.0.${Math.floor(this.#firstPort / PORTS_PER_SOAK)}.${index + 1}`;
  }

  async #startReplica(
    { name, service, version, zone }: EndpointIdentity,
    earlier?: EndpointPlace,
  ): Promise<Omit<SoakEndpoint, keyof EndpointIdentity>> {
    const process = `${name}@${++this.#startCount}`;
    const replica = new ReplicaServer(name);
    const place = await this.#places.listen(replica, earlier);
    const { address, proxy } = place;
    this.#observer.observe({
      replica,
      proxy,
      process,
      service,
      version,
      zone,
    });
    if (service !== "app") {
      replica.memory = new RunMemory(address, this.#memories);
    }
    return { ...place, replica, process, startedMs: Date.now() };
  }

  /** Ends the process of an endpoint without notice. */
  #endProcess({ process, proxy, replica }: SoakEndpoint): void {
    this.#options.invariants.answerRules.recordProcessEnd(process);
    proxy.close();
    replica.dispose();
  }

  /** Replaces an endpoint that a request has crashed by one of a new name. */
  async #replaceCrashed(name: string): Promise<void> {
    const index = this.endpoints.findIndex((endpoint) =>
      endpoint.name === name
    );
    if (index < 0) return;
    const { reusesAddresses, seed } = this.#options;
    const leftMs = reusesAddresses ? leftEntryMsOf(seed, name) : undefined;
    if (leftMs !== undefined) {
      await this.returnUnderOtherId(this.endpoints[index]!, leftMs);
      return;
    }
    const [crashed] = this.endpoints.splice(index, 1);
    crashed!.proxy.close();
    await wait(CRASH_RETURN_MS);
    if (this.#isStopped) return;
    this.#removeEndpointEntry(name);
    await this.addReplacement(crashed!);
  }

  #writeEndpointEntry(
    endpoint: SoakEndpoint,
    state: "ready" | "draining",
  ): void {
    const { service, name, version, zone, address, startedMs } = endpoint;
    const entry = {
      service,
      address,
      zone,
      version,
      "slots": 8,
      state,
      "cold-left-ms": 0,
      "born": startedMs,
    };
    this.#entries.set(name, JSON.stringify(entry));
    const key = `${ENDPOINT_PREFIX}${name}`;
    this.storeServer.store.put(key, JSON.stringify(entry));
  }

  #removeEndpointEntry(name: string): void {
    this.#entries.delete(name);
    this.storeServer.store.remove(`${ENDPOINT_PREFIX}${name}`);
  }
}
