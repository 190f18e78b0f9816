/** Daemon, engine and stand-ins that the path benchmark measures. */

import { createHash } from "node:crypto";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { sleep } from "../../src/base/common/clock.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { TEAM_KEY_PREFIX } from "../../src/features/configuration/common/configuration.ts";
import { createAppServer } from "../../standins/app/app_server.ts";
import { CallCountingApp } from "../../standins/app/call_counting_app.ts";
import { KvStore } from "../../standins/store/kv_store.ts";
import { createStoreServer } from "../../standins/store/store_server.ts";
import { BenchChild } from "./bench_child.ts";
import { BENCH_API_KEY } from "./load_client.ts";

const CONFIGURATION_WAIT_MS = 1_500;
const MAX_TOKENS = 1_000_000;
/**
 * Number of endpoints at the address of one process, so that limits per endpoint
 * are not reached.
 */
const ENDPOINT_COUNT = 40;

/** Processes of a daemon and of the engine that it sends requests to. */
export interface PathProcesses {
  readonly engine: BenchChild;
  readonly daemon: BenchChild;
}

/** Deployment of one daemon and one engine, each in a process of its own. */
export class PathDeployment {
  readonly clock = new SystemClock();
  readonly #store = new KvStore(this.clock);
  readonly #servers: Server[] = [];
  readonly #children: BenchChild[] = [];

  /**
   * Starts the processes, and waits for the time in which the daemon loads its
   * configuration.
   *
   * @param stepMs - Step time of the engine in milliseconds.
   * @returns The processes.
   */
  async start(stepMs: number): Promise<PathProcesses> {
    const engine = await this.#startChild("engine_process", [
      String(stepMs),
    ]);
    const store = await this.#listen(
      createStoreServer(this.clock, this.#store),
    );
    const app = await this.#listen(
      createAppServer(new CallCountingApp(this.clock)),
    );
    this.#writeDocument(engine.address, app);
    const daemon = await this.#startChild("daemon_process", [store]);
    await sleep(this.clock, CONFIGURATION_WAIT_MS);
    return { engine, daemon };
  }

  /** Stops all processes and servers. */
  stop(): void {
    for (const child of this.#children) child.stop();
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  #writeDocument(engineAddress: string, appAddress: string): void {
    const apiKeyHash = createHash("sha256").update(BENCH_API_KEY).digest("hex");
    const endpoints = (address: string) =>
      Array.from({ length: ENDPOINT_COUNT }, (_value, index) => ({
        id: `e${index}`,
        address,
        zone: "bench-zone",
      }));
    const classes = ["normal"];
    const document = {
      workspaces: { all: { apiKeyHashes: [apiKeyHash] } },
      services: {
        engines: { kind: "engine", endpoints: endpoints(engineAddress) },
        app: { kind: "app", endpoints: endpoints(appAddress) },
      },
      classes: { normal: { priority: 1 } },
      routes: [
        {
          kind: "generation",
          model: "bench-model",
          service: "engines",
          classes,
          maxTokens: MAX_TOKENS,
        },
        { kind: "call", prefix: "/calls", service: "app", classes },
      ],
    };
    this.#store.put({
      key: `${TEAM_KEY_PREFIX}bench`,
      value: JSON.stringify(document),
      expectedRevision: 0,
    });
  }

  async #startChild(
    module: string,
    args: readonly string[],
  ): Promise<BenchChild> {
    const child = await BenchChild.start(
      new URL(`${module}.js`, import.meta.url),
      args,
    );
    this.#children.push(child);
    return child;
  }

  async #listen(server: Server): Promise<string> {
    this.#servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }
}
