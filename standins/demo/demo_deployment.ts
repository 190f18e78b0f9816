/** A small deployment on loopback: stand-ins and daemons in one process. */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { sleep } from "../../src/base/common/clock.ts";
import {
  type Address,
  asId,
  type HostId,
  type ZoneName,
} from "../../src/base/common/ids.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { hashApiKey } from "../../src/daemon/node/caller_authentication.ts";
import { Daemon } from "../../src/daemon/node/daemon.ts";
import { daemonSettingsSchema } from "../../src/services/settings/common/daemon_settings.ts";
import { createAppServer } from "../app/app_server.ts";
import { CallCountingApp } from "../app/call_counting_app.ts";
import { SimulatedEngine } from "../engine/simulated_engine.ts";
import { createEngineServer } from "../engine/engine_server.ts";
import { KvStore } from "../store/kv_store.ts";
import { createStoreServer } from "../store/store_server.ts";
import { ProcessClock } from "../world/process_clock.ts";

/** API key of the demo's workspace. */
export const DEMO_API_KEY = "demo-key-of-the-franchise-office";
/** Key of the demo's operator ports. */
export const DEMO_OPERATOR_KEY = "demo-operator-key-0123456789";

const ZONES = ["lalitpur-hall", "baneshwor-hall"] as const;
const HOSTS = [
  { host: "lalitpur-1", zone: ZONES[0] },
  { host: "lalitpur-2", zone: ZONES[0] },
  { host: "baneshwor-1", zone: ZONES[1] },
] as const;
const READY_POLL_INTERVAL_MS = 20;
const READY_TIMEOUT_MS = 10_000;

/** One stand-in engine with its port. */
export interface DemoEngine {
  readonly id: string;
  readonly zone: string;
  readonly model: SimulatedEngine;
  readonly address: Address;
}

/** The running deployment. */
export class DemoDeployment {
  readonly clock = new SystemClock();
  readonly store = new KvStore(this.clock);
  readonly app = new CallCountingApp(this.clock);
  readonly engines: DemoEngine[] = [];
  readonly daemons: Daemon[] = [];
  storeAddress = asId<Address>("");
  appAddress = asId<Address>("");
  readonly #engineClock = new ProcessClock(this.clock);
  readonly #servers: Server[] = [];
  readonly #drainMs: number | undefined;

  /** @param drainMs - Limit of a drain, when it is not the usual one. */
  constructor(drainMs?: number) {
    this.#drainMs = drainMs;
  }

  /** Starts the stand-ins, then the daemons. */
  async start(): Promise<void> {
    this.storeAddress = await this.#listen(
      createStoreServer(this.clock, this.store),
    );
    this.appAddress = await this.#listen(createAppServer(this.app));
    for (const zone of ZONES) {
      for (const number of [1, 2]) {
        await this.#startEngine(`${zone}-${number}`, zone);
      }
    }
    for (const { host, zone } of HOSTS) await this.#startDaemon(host, zone);
  }

  /** The team's document as YAML. */
  teamDocument(): string {
    const endpoints = this.engines.map(({ id, address, zone }) =>
      `      - { id: ${id}, address: "${address}", zone: ${zone} }`
    );
    return [
      "workspaces:",
      "  franchise-office:",
      `    apiKeyHashes: [${hashApiKey(DEMO_API_KEY)}]`,
      "services:",
      "  timetable-llm:",
      "    kind: engine",
      "    favour: token-latency",
      "    endpoints:",
      ...endpoints,
      "  booking-app:",
      "    kind: app",
      "    endpoints:",
      `      - { id: app-1, address: "${this.appAddress}", zone: ${ZONES[0]} }`,
      "classes:",
      "  timetable: { priority: 3 }",
      "  lookup: { priority: 7, maxWaitMs: 5000 }",
      "routes:",
      "  - { kind: generation, model: timetable-1, service: timetable-llm, classes: [timetable, lookup] }",
      "  - { kind: call, prefix: /bookings, service: booking-app, classes: [lookup] }",
      "",
    ].join("\n");
  }

  /** Waits until every daemon has the configuration. */
  async waitUntilReady(): Promise<boolean> {
    const deadlineMs = this.clock.monotonicMs() + READY_TIMEOUT_MS;
    while (!this.daemons.every((daemon) => daemon.isReady)) {
      if (this.clock.monotonicMs() > deadlineMs) return false;
      await sleep(this.clock, READY_POLL_INTERVAL_MS);
    }
    return true;
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.abort()));
    this.#engineClock.kill();
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  async #startEngine(id: string, zone: string): Promise<void> {
    const model = new SimulatedEngine(this.#engineClock, { baseStepMs: 8 });
    const address = await this.#listen(createEngineServer(model));
    this.engines.push({ id, zone, model, address });
  }

  async #startDaemon(host: string, zone: string): Promise<void> {
    const settings = daemonSettingsSchema.parse({
      host: asId<HostId>(host),
      zone: asId<ZoneName>(zone),
      listen: {
        callers: "127.0.0.1:0",
        peers: "127.0.0.1:0",
        operators: "127.0.0.1:0",
      },
      store: { addresses: [this.storeAddress] },
      limits: this.#drainMs === undefined ? {} : { drainMs: this.#drainMs },
      peers: this.daemons.map((daemon, index) => ({
        ...HOSTS[index]!,
        address: daemon.peerAddress,
      })),
      secrets: {
        signingKeys: [{ id: "k1", source: { env: "UNUSED" } }],
        peer: { env: "UNUSED" },
        operator: { env: "UNUSED" },
      },
    });
    this.daemons.push(
      await Daemon.start(settings, {
        signingKeys: [{ id: "k1", secret: "demo-signing-secret-0123" }],
        peerSecret: "demo-peer-secret-0123456789",
        operatorKey: DEMO_OPERATOR_KEY,
      }),
    );
  }

  async #listen(server: Server): Promise<Address> {
    this.#servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    return asId<Address>(`127.0.0.1:${port}`);
  }
}
