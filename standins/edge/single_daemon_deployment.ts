/**
 * Runs one daemon on the loopback interface with a fake store and an app service
 * that records its requests, for tests that send raw HTTP requests.
 */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { sleep } from "../../src/base/common/clock.ts";
import { type Address, asId } from "../../src/base/common/ids.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { hashApiKey } from "../../src/daemon/node/caller_authentication.ts";
import { Daemon } from "../../src/daemon/node/daemon.ts";
import { daemonSettingsSchema } from "../../src/services/settings/common/daemon_settings.ts";
import { KvStore } from "../store/kv_store.ts";
import { createStoreServer } from "../store/store_server.ts";
import { RecordingApp } from "./recording_app.ts";

/** API key of the only workspace. */
export const TEST_API_KEY = "edge-api-key-0123456789";
/** Key for the operator port. */
export const TEST_OPERATOR_KEY = "edge-operator-key-0123456789";

const READY_POLL_MS = 10;

/** Options that override the defaults of the deployment. */
export interface DeploymentOptions {
  readonly limits?: Readonly<Record<string, number>>;
  readonly tls?: unknown;
  readonly route?: Readonly<Record<string, unknown>>;
}

/** Deployment of one daemon, its store and one app service. */
export class SingleDaemonDeployment {
  readonly clock = new SystemClock();
  readonly store = new KvStore(this.clock);
  readonly app = new RecordingApp();
  readonly #storeServer: Server = createStoreServer(this.clock, this.store);
  #daemon: Daemon | undefined;

  /** Starts all components and waits until the daemon is ready. */
  async start(options: DeploymentOptions = {}): Promise<void> {
    const storeAddress = await this.startServices(options);
    const settings = daemonSettingsSchema.parse({
      host: "edge-1",
      zone: "edge",
      listen: {
        callers: "127.0.0.1:0",
        peers: "127.0.0.1:0",
        operators: "127.0.0.1:0",
      },
      store: { addresses: [storeAddress] },
      secrets: {
        signingKeys: [{ id: "k1", source: { env: "UNUSED" } }],
        peer: { env: "UNUSED" },
        operator: { env: "UNUSED" },
      },
      limits: options.limits ?? {},
      ...(options.tls ? { tls: options.tls } : {}),
    });
    this.#daemon = await Daemon.start(settings, {
      signingKeys: [{ id: "k1", secret: "edge-signing-secret-0123" }],
      peerSecret: "peer secret of the edge tests",
      operatorKey: TEST_OPERATOR_KEY,
    });
    while (!this.#daemon.isReady) await sleep(this.clock, READY_POLL_MS);
  }

  /**
   * Starts the store and the app service without a daemon.
   *
   * @returns The address of the store.
   */
  async startServices(options: DeploymentOptions = {}): Promise<Address> {
    const appAddress = await this.app.listen();
    const storeAddress = await this.#listenStore();
    this.#writeTeamDocument(appAddress, options);
    return storeAddress;
  }

  /** Address of the caller port. */
  get callerAddress(): Address {
    return this.#daemon!.callerAddress;
  }

  /** Address of the operator port. */
  get operatorAddress(): Address {
    return this.#daemon!.operatorAddress;
  }

  /** Stops all components. */
  async stop(): Promise<void> {
    await this.#daemon?.abort();
    this.app.close();
    this.#storeServer.closeAllConnections();
    this.#storeServer.close();
  }

  async #listenStore(): Promise<Address> {
    await new Promise<void>((resolve) =>
      this.#storeServer.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#storeServer.address() as AddressInfo;
    return asId<Address>(`127.0.0.1:${port}`);
  }

  #writeTeamDocument(address: Address, { route }: DeploymentOptions): void {
    const document = {
      workspaces: { office: { apiKeyHashes: [hashApiKey(TEST_API_KEY)] } },
      services: {
        app: { kind: "app", endpoints: [{ id: "a1", address, zone: "edge" }] },
      },
      classes: { lookup: { priority: 5, maxWaitMs: 1_000 } },
      routes: [{
        kind: "call",
        prefix: "/app",
        service: "app",
        classes: ["lookup"],
        timeoutMs: 1_000,
        ...route,
      }],
    };
    this.store.put({
      key: "config/teams/team",
      value: JSON.stringify(document),
      expectedRevision: 0,
    });
  }
}
