/**
 * Deployment of a soak on loopback: a store and endpoints in this process, and
 * daemons as child processes. Proxies inject faults between them.
 */

import { mkdir, rm } from "node:fs/promises";
import { setTimeout as wait } from "node:timers/promises";
import { SystemClock } from "../src/base/node/system_clock.ts";
import type { Address } from "../src/base/common/ids.ts";
import { MetadataStoreServer } from "../platform/standins/metadata_store_server.ts";
import { ReplicaServer } from "../platform/standins/replica_server.ts";
import {
  CONFIGURATION_KEY,
  ENDPOINT_PREFIX,
} from "../platform/store_documents.ts";
import { DaemonProcess } from "./daemon_process.ts";
import { FaultProxy } from "./fault_proxy.ts";
import type { InvariantChecker } from "./invariant_checker.ts";

/** Time in milliseconds within which a revoked API key must be refused. */
export const MAX_REVOCATION_MS = 5_000;
/** Events of a complete draft stream, which lasts about half a second. */
export const DRAFT_EVENT_COUNT = 50;
/** Workspace by API key; the last key is revoked and restored repeatedly. */
export const WORKSPACE_BY_KEY: ReadonlyMap<string, string> = new Map([
  ["key-a", "workspace-a"],
  ["key-b", "workspace-b"],
  ["key-c", "workspace-b"],
]);

const ZONES = ["zone-a", "zone-b"];
/** Killed processes exit within a few milliseconds. */
const EXIT_POLL_INTERVAL_MS = 20;
const PORTS_PER_DAEMON = 10;
/**
 * Concurrent soaks must differ in the thousands of their first port, which select
 * their loopback addresses.
 */
const PORTS_PER_SOAK = 1_000;

/** An endpoint and the proxy in front of it. */
export interface SoakEndpoint {
  readonly service: "app" | "llm";
  readonly name: string;
  replica: ReplicaServer;
  proxy: FaultProxy;
  /** Address of the proxy. */
  address: Address;
  /** Wall-clock start time of the replica in milliseconds since the epoch. */
  startedMs: number;
}

/** Options of a soak deployment. */
export interface SoakDeploymentOptions {
  readonly programPath: string;
  readonly folder: string;
  readonly daemonCount: number;
  /** First port of the daemons. */
  readonly firstPort: number;
  readonly invariants: InvariantChecker;
}

/** Starts, changes and stops the store, endpoints and daemons of a soak. */
export class SoakDeployment {
  readonly #options: SoakDeploymentOptions;
  readonly #firstPort: number;
  readonly storeServer = new MetadataStoreServer(new SystemClock());
  readonly endpoints: SoakEndpoint[] = [];
  readonly daemons: DaemonProcess[] = [];
  readonly storeProxies: FaultProxy[] = [];
  #configurationVersion = 0;
  #endpointCount = 0;
  revokedKeys: readonly string[] = [];

  /** @param options - Size, paths and first port of the deployment. */
  constructor(options: SoakDeploymentOptions) {
    this.#options = options;
    this.#firstPort = options.firstPort;
  }

  /** Starts all components; daemons may become ready later. */
  async start(): Promise<void> {
    const { folder, daemonCount, programPath } = this.#options;
    await rm(folder, { recursive: true, force: true });
    await mkdir(folder, { recursive: true });
    const storeAddress = await this.storeServer.listen();
    this.writeConfiguration();
    for (const service of ["app", "app", "llm", "llm", "llm"] as const) {
      await this.addEndpoint(service);
    }
    const seeds = [0, 1, 2].filter((index) => index < daemonCount)
      .map((index) =>
        `${this.#getIp(index)}:${this.#getPort(index) + 2}` as Address
      );
    for (let index = 0; index < daemonCount; index++) {
      const proxy = new FaultProxy(storeAddress);
      this.storeProxies.push(proxy);
      const daemon = new DaemonProcess(
        {
          name: `host-${index}`,
          ip: this.#getIp(index),
          zone: ZONES[index % ZONES.length]!,
          port: this.#getPort(index),
          storeAddress: await proxy.listen(),
          seeds,
        },
        programPath,
        folder,
      );
      daemon.writeSettings(MAX_REVOCATION_MS);
      daemon.start();
      this.daemons.push(daemon);
    }
  }

  /** Stops all components. */
  async stop(): Promise<void> {
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
    for (const proxy of this.storeProxies) proxy.close();
    this.storeServer.dispose();
  }

  /** Starts an endpoint and adds it to the store. */
  async addEndpoint(service: "app" | "llm"): Promise<void> {
    const name = `${service}-${++this.#endpointCount}`;
    const endpoint = { service, name, ...await this.#startReplica(name) };
    this.endpoints.push(endpoint);
    this.#writeEndpointEntry(endpoint, "ready");
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
      this.storeServer.store.remove(`${ENDPOINT_PREFIX}${endpoint.name}`);
      endpoint.proxy.close();
      endpoint.replica.dispose();
    }, drainMs);
  }

  /** Stops an endpoint without notice and starts it again under its name. */
  async restartEndpoint(endpoint: SoakEndpoint): Promise<void> {
    endpoint.proxy.close();
    endpoint.replica.dispose();
    Object.assign(endpoint, await this.#startReplica(endpoint.name));
    this.#writeEndpointEntry(endpoint, "ready");
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
      createConfiguration(this.#configurationVersion, tenants),
    );
    this.storeServer.store.put(CONFIGURATION_KEY, text);
  }

  #getPort(index: number): number {
    return this.#firstPort + index * PORTS_PER_DAEMON;
  }

  /** Each daemon has its own loopback address, as each host has its own IP. */
  #getIp(index: number): string {
    return `127.0.${Math.floor(this.#firstPort / PORTS_PER_SOAK)}.${index + 1}`;
  }

  async #startReplica(
    name: string,
  ): Promise<Omit<SoakEndpoint, "service" | "name">> {
    const { invariants } = this.#options;
    const replica = new ReplicaServer(name);
    replica.eventCount = DRAFT_EVENT_COUNT;
    replica.onRun = ({ id, headers, body }) =>
      invariants.recordRun({
        id,
        endpoint: name,
        atMs: Date.now(),
        isContinuation: headers["kv-from"] !== undefined,
        body,
        workspace: headers["x-tenant"]?.toString(),
      });
    const proxy = new FaultProxy(await replica.listen());
    const address = await proxy.listen();
    return { replica, proxy, address, startedMs: Date.now() };
  }

  #writeEndpointEntry(
    endpoint: SoakEndpoint,
    state: "ready" | "draining",
  ): void {
    const { service, name, address, startedMs } = endpoint;
    const entry = {
      service,
      address,
      "zone": ZONES[0],
      "slots": 8,
      state,
      "cold-left-ms": 0,
      "born": startedMs,
    };
    const key = `${ENDPOINT_PREFIX}${name}`;
    this.storeServer.store.put(key, JSON.stringify(entry));
  }
}

function createConfiguration(version: number, tenants: unknown): unknown {
  const route = {
    "host": "app.example",
    "timeout-ms": 4_000,
    "slo-ms": 300,
    "priority": 1,
    "max-attempts": 2,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "book",
        prefix: "/book/",
        kind: "non_idempotent",
        service: "app",
      },
      {
        ...route,
        name: "read",
        prefix: "/read/",
        kind: "idempotent",
        service: "app",
      },
      {
        ...route,
        "name": "draft",
        "prefix": "/stream/",
        "kind": "stream",
        "service": "llm",
        "timeout-ms": 15_000,
        "max-attempts": 1,
      },
    ],
    services: [
      { "name": "app", "max-conns": 100 },
      {
        "name": "llm",
        "max-conns": 100,
        "engine": {
          "slots": 8,
          "kv-cap-tokens": 30_000,
          "stride": 4,
          "moves": true,
          "backups": true,
        },
      },
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 100_000,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
    tenants,
  };
}
