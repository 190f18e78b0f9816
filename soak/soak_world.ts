/** Store, endpoints and daemons of a soak, all on loopback. */

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
import type { Promises } from "./promises.ts";

/** Time within which a revoked key has to be refused. */
export const REVOCATION_MS = 5_000;
/** Events of a whole draft, and so its length of about half a second. */
export const DRAFT_EVENTS = 50;
/** Keys and their workspaces; the last one is taken away and given back. */
export const KEYS: ReadonlyMap<string, string> = new Map([
  ["key-a", "workspace-a"],
  ["key-b", "workspace-b"],
  ["key-c", "workspace-b"],
]);

const ZONES = ["zone-a", "zone-b"];
/** Killed processes are gone after a few ms. */
const EXIT_CHECK_MS = 20;
const PORTS_PER_DAEMON = 10;
/** Soaks that run beside each other differ in the thousands of their ports. */
const PORTS_PER_BLOCK = 1_000;

/** An endpoint behind its proxy. */
export interface SoakEndpoint {
  readonly service: "app" | "llm";
  readonly name: string;
  replica: ReplicaServer;
  proxy: FaultProxy;
  /** Address of the proxy. */
  address: Address;
  /** Wall-clock start of the replica. */
  bornMs: number;
}

/** What a soak is made from. */
export interface SoakWorldOptions {
  readonly program: string;
  readonly folder: string;
  readonly daemonCount: number;
  /** First port of the daemons. */
  readonly firstPort: number;
  readonly promises: Promises;
}

/** Everything that a soak disturbs. */
export class SoakWorld {
  readonly #options: SoakWorldOptions;
  readonly #ports: number;
  readonly storeServer = new MetadataStoreServer(new SystemClock());
  readonly endpoints: SoakEndpoint[] = [];
  readonly daemons: DaemonProcess[] = [];
  readonly storeProxies: FaultProxy[] = [];
  #version = 0;
  #born = 0;
  revokedKeys: readonly string[] = [];

  /** @param options - What the soak is made from. */
  constructor(options: SoakWorldOptions) {
    this.#options = options;
    this.#ports = options.firstPort;
  }

  /** Starts everything; the daemons become ready by themselves. */
  async start(): Promise<void> {
    const { folder, daemonCount, program } = this.#options;
    await rm(folder, { recursive: true, force: true });
    await mkdir(folder, { recursive: true });
    const storeAddress = await this.storeServer.listen();
    this.writeConfiguration();
    for (const service of ["app", "app", "llm", "llm", "llm"] as const) {
      await this.addEndpoint(service);
    }
    const seeds = [0, 1, 2].filter((index) => index < daemonCount)
      .map((index) =>
        `${this.#ipOf(index)}:${this.#portOf(index) + 2}` as Address
      );
    for (let index = 0; index < daemonCount; index++) {
      const proxy = new FaultProxy(storeAddress);
      this.storeProxies.push(proxy);
      const daemon = new DaemonProcess(
        {
          name: `host-${index}`,
          ip: this.#ipOf(index),
          zone: ZONES[index % ZONES.length]!,
          port: this.#portOf(index),
          storeAddress: await proxy.listen(),
          seeds,
        },
        program,
        folder,
      );
      daemon.writeSettings(REVOCATION_MS);
      daemon.start();
      this.daemons.push(daemon);
    }
  }

  /** Stops everything that the soak has started. */
  async stop(): Promise<void> {
    for (const daemon of this.daemons) {
      daemon.resume();
      daemon.kill();
    }
    while (this.daemons.some(({ isAlive }) => isAlive)) {
      await wait(EXIT_CHECK_MS);
    }
    for (const { replica, proxy } of this.endpoints) {
      proxy.close();
      replica.dispose();
    }
    for (const proxy of this.storeProxies) proxy.close();
    this.storeServer.dispose();
  }

  /** Adds an endpoint and announces it. */
  async addEndpoint(service: "app" | "llm"): Promise<void> {
    const name = `${service}-${++this.#born}`;
    const endpoint = { service, name, ...await this.#startReplica(name) };
    this.endpoints.push(endpoint);
    this.#announce(endpoint, "ready");
  }

  /** An endpoint says that it leaves, goes on for a while, and ends. */
  retireEndpoint(endpoint: SoakEndpoint, lingerMs: number): void {
    this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
    this.#announce(endpoint, "draining");
    setTimeout(() => {
      this.storeServer.store.remove(`${ENDPOINT_PREFIX}${endpoint.name}`);
      endpoint.proxy.close();
      endpoint.replica.dispose();
    }, lingerMs);
  }

  /** An endpoint dies without a word and starts again under its id. */
  async crashEndpoint(endpoint: SoakEndpoint): Promise<void> {
    endpoint.proxy.close();
    endpoint.replica.dispose();
    Object.assign(endpoint, await this.#startReplica(endpoint.name));
    this.#announce(endpoint, "ready");
  }

  /** Writes the next version, without the keys that are revoked now. */
  writeConfiguration(): void {
    this.#version++;
    const keys = [...KEYS].filter(([key]) => !this.revokedKeys.includes(key));
    const names = new Set(KEYS.values());
    const tenants = [...names].map((name) => ({
      name,
      "api-keys": keys.filter(([, of]) => of === name).map(([key]) => key),
    }));
    const text = JSON.stringify(configurationOf(this.#version, tenants));
    this.storeServer.store.put(CONFIGURATION_KEY, text);
  }

  #portOf(index: number): number {
    return this.#ports + index * PORTS_PER_DAEMON;
  }

  /** Each daemon has a loopback address of its own, as a host would. */
  #ipOf(index: number): string {
    return `127.0.${Math.floor(this.#ports / PORTS_PER_BLOCK)}.${index + 1}`;
  }

  async #startReplica(
    name: string,
  ): Promise<Omit<SoakEndpoint, "service" | "name">> {
    const { promises } = this.#options;
    const replica = new ReplicaServer(name);
    replica.eventCount = DRAFT_EVENTS;
    replica.onRun = ({ id, headers, body }) =>
      promises.noteRun({
        id,
        endpoint: name,
        atMs: Date.now(),
        isContinuation: headers["kv-from"] !== undefined,
        body,
        workspace: headers["x-tenant"]?.toString(),
      });
    const proxy = new FaultProxy(await replica.listen());
    const address = await proxy.listen();
    return { replica, proxy, address, bornMs: Date.now() };
  }

  #announce(endpoint: SoakEndpoint, state: "ready" | "draining"): void {
    const { service, name, address, bornMs } = endpoint;
    const entry = {
      service,
      address,
      "zone": ZONES[0],
      "slots": 8,
      state,
      "cold-left-ms": 0,
      "born": bornMs,
    };
    const key = `${ENDPOINT_PREFIX}${name}`;
    this.storeServer.store.put(key, JSON.stringify(entry));
  }
}

function configurationOf(version: number, tenants: unknown): unknown {
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
