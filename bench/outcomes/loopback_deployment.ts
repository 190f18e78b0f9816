/**
 * Deployment of daemons and stand-ins on loopback ports, whose processes can be
 * stopped and restarted.
 */

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
import { TEAM_KEY_PREFIX } from "../../src/features/configuration/common/configuration.ts";
import { daemonSettingsSchema } from "../../src/services/settings/common/daemon_settings.ts";
import { createAppServer } from "../../standins/app/app_server.ts";
import { CallCountingApp } from "../../standins/app/call_counting_app.ts";
import { SimulatedEngine } from "../../standins/engine/simulated_engine.ts";
import { createEngineServer } from "../../standins/engine/engine_server.ts";
import { KvStore } from "../../standins/store/kv_store.ts";
import { createStoreServer } from "../../standins/store/store_server.ts";

/** API key of the benchmark's workspace. */
export const BENCH_API_KEY = "bench-key-of-the-only-workspace";

const ZONE = "lalitpur-hall";
const ENGINE_COUNT = 4;
const APP_COUNT = 2;
const HOST_COUNT = 3;
const ENGINE_STEP_MS = 4;
const ENDED_RETENTION_MS = 2_000;
const RESUME_WINDOW_MS = 2_000;
/** Time within which retained generations and resume windows expire. */
const LAST_TIMER_DELAY_MS = 2_500;
const READY_POLL_MS = 10;

/** Server of a stand-in on a port that can be closed and reopened. */
class LoopbackServer {
  address = asId<Address>("");
  readonly #createServer: () => Server;
  #server: Server | undefined;

  constructor(createServer: () => Server) {
    this.#createServer = createServer;
  }

  /** Opens the port; the first call chooses it, later calls reuse it. */
  async open(): Promise<void> {
    const server = this.#createServer();
    this.#server = server;
    const port = Number(this.address.split(":")[1] ?? 0);
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve)
    );
    const address = server.address() as AddressInfo;
    this.address = asId<Address>(`127.0.0.1:${address.port}`);
  }

  /** Closes all connections and the port. */
  async close(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    server?.closeAllConnections();
    await new Promise((resolve) => server ? server.close(resolve) : resolve(0));
  }
}

/** Stand-in with the server that exposes it. */
interface LoopbackStandIn<T> {
  readonly model: T;
  readonly server: LoopbackServer;
}

/** Deployment of the outcomes benchmark. */
export class LoopbackDeployment {
  readonly clock = new SystemClock();
  readonly store = new KvStore(this.clock);
  readonly engines: LoopbackStandIn<SimulatedEngine>[] = [];
  readonly apps: LoopbackStandIn<CallCountingApp>[] = [];
  /** Daemons that the load balancer sends requests to. */
  readonly daemons: Daemon[] = [];
  readonly #storeServer = new LoopbackServer(
    () => createStoreServer(this.clock, this.store),
  );
  readonly #restarting = new Set<LoopbackStandIn<unknown>>();
  readonly #engineStepMs: number;
  #startedDaemonCount = 0;

  /**
   * @param options - Overrides of the default deployment: the step time of the
   *   engines in milliseconds.
   */
  constructor(options: { readonly engineStepMs?: number } = {}) {
    this.#engineStepMs = options.engineStepMs ?? ENGINE_STEP_MS;
  }

  /** Starts all servers and daemons, and waits until the daemons are ready. */
  async start(): Promise<void> {
    await this.#storeServer.open();
    for (let count = 0; count < ENGINE_COUNT; count++) {
      const model = new SimulatedEngine(this.clock, {
        baseStepMs: this.#engineStepMs,
        keepEndedMs: ENDED_RETENTION_MS,
      });
      const server = new LoopbackServer(() => createEngineServer(model));
      await server.open();
      this.engines.push({ model, server });
    }
    for (let count = 0; count < APP_COUNT; count++) {
      const model = new CallCountingApp(this.clock);
      const server = new LoopbackServer(() => createAppServer(model));
      await server.open();
      this.apps.push({ model, server });
    }
    this.#writeDocument();
    for (let count = 0; count < HOST_COUNT; count++) await this.startDaemon();
  }

  /** Starts another daemon, and adds it to the load balancer once it is ready. */
  async startDaemon(): Promise<void> {
    const settings = daemonSettingsSchema.parse({
      host: asId<HostId>(`host-${this.#startedDaemonCount++}`),
      zone: asId<ZoneName>(ZONE),
      listen: {
        callers: "127.0.0.1:0",
        peers: "127.0.0.1:0",
        operators: "127.0.0.1:0",
      },
      store: { addresses: [this.#storeServer.address] },
      limits: { resumeWindowMs: RESUME_WINDOW_MS },
      secrets: {
        signingKeys: [{ id: "k1", source: { env: "UNUSED" } }],
        peer: { env: "UNUSED" },
        operator: { env: "UNUSED" },
      },
    });
    const daemon = await Daemon.start(settings, {
      signingKeys: [{ id: "k1", secret: "bench-signing-secret-0123" }],
      peerSecret: "peer secret of the bench",
      operatorKey: "bench-operator-key-0123456789",
    });
    while (!daemon.isReady) await sleep(this.clock, READY_POLL_MS);
    this.daemons.push(daemon);
  }

  /**
   * Crashes a stand-in and restarts it. Does nothing while it is being restarted.
   *
   * @param standIn - Stand-in to crash.
   * @param downtimeMs - Time in milliseconds until the restart.
   */
  async crashAndRestart(
    standIn:
      | LoopbackStandIn<SimulatedEngine>
      | LoopbackStandIn<CallCountingApp>,
    downtimeMs: number,
  ): Promise<void> {
    if (this.#restarting.has(standIn)) return;
    this.#restarting.add(standIn);
    if (standIn.model instanceof SimulatedEngine) standIn.model.crash();
    await standIn.server.close();
    await sleep(this.clock, downtimeMs);
    if (standIn.model instanceof SimulatedEngine) standIn.model.restart();
    await standIn.server.open();
    this.#restarting.delete(standIn);
  }

  /** Stops all processes and servers, and waits until no timer is pending. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.abort()));
    const servers = [...this.engines, ...this.apps].map(({ server }) => server);
    await Promise.all(
      [...servers, this.#storeServer].map((server) => server.close()),
    );
    await sleep(this.clock, LAST_TIMER_DELAY_MS);
  }

  #writeDocument(): void {
    const toEndpoints = (
      kind: string,
      standIns: readonly LoopbackStandIn<unknown>[],
    ) =>
      standIns.map(({ server: { address } }, index) => ({
        id: `${kind}-${index}`,
        address,
        zone: ZONE,
      }));
    const document = {
      workspaces: { office: { apiKeyHashes: [hashApiKey(BENCH_API_KEY)] } },
      services: {
        llm: { kind: "engine", endpoints: toEndpoints("engine", this.engines) },
        app: { kind: "app", endpoints: toEndpoints("app", this.apps) },
      },
      classes: { normal: { priority: 3, maxWaitMs: 10_000 } },
      routes: [
        { kind: "generation", model: "m", service: "llm", classes: ["normal"] },
        { kind: "call", prefix: "/app", service: "app", classes: ["normal"] },
      ],
    };
    this.store.put({
      key: `${TEAM_KEY_PREFIX}team`,
      value: JSON.stringify(document),
      expectedRevision: 0,
    });
  }
}
