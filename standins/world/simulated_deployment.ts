/** A whole deployment in one process on a manual clock. */

import { createHash } from "node:crypto";
import { ManualClock } from "../../src/base/common/clock.ts";
import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import {
  type Address,
  asId,
  type HostId,
  type ZoneName,
} from "../../src/base/common/ids.ts";
import { TEAM_KEY_PREFIX } from "../../src/features/configuration/common/configuration.ts";
import type { DesiredState } from "../../src/features/orders/common/rollout.ts";
import { CallCountingApp } from "../app/call_counting_app.ts";
import { SimulatedEngine } from "../engine/simulated_engine.ts";
import type { EngineOptions } from "../engine/engine_options.ts";
import { HostListModel } from "../hosts/host_list_model.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import { KvStore } from "../store/kv_store.ts";
import { SimulatedHost } from "./simulated_host.ts";

/** Team of every world. */
export const SIMULATION_TEAM = "team";

/** One service of a world. */
export interface SimulatedService {
  readonly kind: "engine" | "app";
  readonly favour?: "stall" | "token-latency" | undefined;
  /** Number of replicas in each zone. */
  readonly replicas: Readonly<Record<string, number>>;
  /** What becomes of keyed calls that cannot claim their key. */
  readonly whenStoreDown?: "refuse" | "run-unkeyed" | undefined;
  /** Differences of its engines from the stand-in's defaults. */
  readonly engine?: Partial<EngineOptions> | undefined;
}

/** What a world consists of. */
export interface SimulationOptions {
  readonly zones: Readonly<Record<string, { readonly hosts: number }>>;
  readonly services: Readonly<Record<string, SimulatedService>>;
  readonly workspaces: readonly string[];
  readonly classes: Readonly<Record<string, object>>;
  readonly resumeWindowMs?: number | undefined;
}

/** A replica with its names. */
export interface SimulatedEndpoint {
  readonly service: string;
  readonly id: string;
  readonly zone: string;
  readonly address: Address;
}

/** Time in which hosts find each other and agree on who dispatches. */
const STARTUP_SETTLE_MS = 5_000;
const DEFAULT_RESUME_WINDOW_MS = 30_000;

/** Hosts, endpoints and store of one scenario or property test. */
export class SimulatedDeployment {
  readonly clock = new ManualClock();
  readonly store = new KvStore(this.clock);
  readonly network = new InProcessNetwork();
  readonly hostList = new HostListModel(this.clock);
  readonly engines = new Map<string, SimulatedEngine>();
  readonly apps = new Map<string, CallCountingApp>();
  readonly enginesByAddress = new Map<Address, SimulatedEngine>();
  readonly appsByAddress = new Map<Address, CallCountingApp>();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly endpoints: SimulatedEndpoint[] = [];
  /** Desired states of services, part of the team's document. */
  readonly desiredStates = new Map<string, DesiredState>();
  readonly options: SimulationOptions;
  readonly #hasher: Hasher;
  readonly #classLimitsMs = new Map<string, number>();

  private constructor(options: SimulationOptions, hasher: Hasher) {
    this.options = options;
    this.#hasher = hasher;
    this.#createEndpoints();
    this.writeTeamDocument();
    this.#createHosts();
  }

  /** Creates a world and waits until its hosts have the configuration. */
  static async create(
    options: SimulationOptions,
  ): Promise<SimulatedDeployment> {
    const deployment = new SimulatedDeployment(options, await createHasher());
    await deployment.clock.advanceAsync(STARTUP_SETTLE_MS);
    return deployment;
  }

  /** @returns A host by name; throws for an unknown name. */
  host(name: string): SimulatedHost {
    return findOrThrow(this.hosts, name, "host");
  }

  /** @returns An engine by the id of its endpoint. */
  engine(name: string): SimulatedEngine {
    return findOrThrow(this.engines, name, "engine");
  }

  /** @returns An app service by the id of its endpoint. */
  app(name: string): CallCountingApp {
    return findOrThrow(this.apps, name, "app");
  }

  /** @returns An endpoint by its id. */
  endpoint(id: string): SimulatedEndpoint {
    const byId = new Map(
      this.endpoints.map((endpoint) => [endpoint.id, endpoint]),
    );
    return findOrThrow(byId, id, "endpoint");
  }

  /** Writes the team's document with another limit for a class. */
  setClassLimit(name: string, maxWaitMs: number): void {
    this.#classLimitsMs.set(name, maxWaitMs);
    this.writeTeamDocument();
  }

  /** Puts an endpoint on the host list. */
  listEndpoint(id: string, state: "live" | "leaving"): void {
    const { service, zone, address } = this.endpoint(id);
    const serviceId = `${SIMULATION_TEAM}/${service}`;
    const labels = {
      role: "endpoint",
      service: serviceId,
      endpoint: id,
      zone,
      state,
    };
    this.hostList.set(id, { targets: [address], labels });
  }

  /** Kills a host's process. */
  crashHost(name: string): void {
    this.host(name).kill();
  }

  /** Starts a host's process anew. */
  restartHost(name: string): void {
    const { zone } = this.host(name);
    this.host(name).kill();
    const host = this.#createHost(name, zone);
    this.hosts.set(name, host);
    this.#startMembership(host);
  }

  /** Writes the team's document from the options. */
  writeTeamDocument(): void {
    const key = `${TEAM_KEY_PREFIX}${SIMULATION_TEAM}`;
    this.store.put({
      key,
      value: JSON.stringify(this.#teamDocument()),
      expectedRevision: this.store.get(key)?.revision ?? 0,
    });
  }

  #createEndpoints(): void {
    let port = 10_000;
    for (
      const [service, { replicas, kind, engine }] of Object.entries(
        this.options.services,
      )
    ) {
      for (const [zone, count] of Object.entries(replicas)) {
        for (let number = 1; number <= count; number++) {
          const address = asId<Address>(`127.0.0.1:${port++}`);
          const id = `${service}-${zone}-${number}`;
          this.endpoints.push({ service, id, zone, address });
          if (kind === "engine") this.#addEngine(id, address, engine);
          else this.#addApp(id, address);
        }
      }
    }
  }

  #addEngine(
    id: string,
    address: Address,
    options?: Partial<EngineOptions>,
  ): void {
    const model = new SimulatedEngine(this.clock, options);
    this.engines.set(id, model);
    this.enginesByAddress.set(address, model);
  }

  #addApp(id: string, address: Address): void {
    const app = new CallCountingApp(this.clock);
    this.apps.set(id, app);
    this.appsByAddress.set(address, app);
  }

  #createHosts(): void {
    for (const [zone, { hosts }] of Object.entries(this.options.zones)) {
      for (let number = 1; number <= hosts; number++) {
        const name = `${zone}-host-${number}`;
        this.hosts.set(name, this.#createHost(name, asId<ZoneName>(zone)));
      }
    }
    for (const host of this.hosts.values()) this.#startMembership(host);
  }

  #createHost(name: string, zone: ZoneName): SimulatedHost {
    return new SimulatedHost({
      deployment: this,
      hasher: this.#hasher,
      host: asId<HostId>(name),
      zone,
      resumeWindowMs: this.options.resumeWindowMs ?? DEFAULT_RESUME_WINDOW_MS,
    });
  }

  #startMembership(host: SimulatedHost): void {
    const addresses = [...this.hosts.values()].map((other) =>
      other.peerAddress
    );
    host.startMembership(addresses.filter((peer) => peer.host !== host.host));
  }

  #teamDocument(): unknown {
    const { services, workspaces, classes } = this.options;
    const classNames = Object.keys(classes);
    return {
      workspaces: Object.fromEntries(
        workspaces.map((name) => [name, { apiKeyHashes: [hashOf(name)] }]),
      ),
      services: Object.fromEntries(
        Object.entries(services).map((
          [name, { kind, favour, engine }],
        ) => [name, {
          kind,
          ...(favour ? { favour } : {}),
          ...(engine?.honoursFence === false
            ? {}
            : { honoursFence: kind === "engine" }),
          ...(this.desiredStates.has(name)
            ? { desired: this.desiredStates.get(name) }
            : {}),
          endpoints: this.endpoints
            .filter(({ service }) => service === name)
            .map(({ id, address, zone }) => ({ id, address, zone })),
        }]),
      ),
      classes: Object.fromEntries(
        Object.entries(classes).map(([name, config]) => {
          const maxWaitMs = this.#classLimitsMs.get(name);
          return [name, maxWaitMs ? { ...config, maxWaitMs } : config];
        }),
      ),
      routes: Object.entries(services).map(([service, config]) =>
        config.kind === "engine"
          ? { kind: "generation", model: service, service, classes: classNames }
          : {
            kind: "call",
            prefix: `/${service}`,
            service,
            classes: classNames,
            whenStoreDown: config.whenStoreDown ?? "refuse",
          }
      ),
    };
  }
}

function findOrThrow<T>(
  map: ReadonlyMap<string, T>,
  name: string,
  kind: string,
): T {
  const found = map.get(name);
  if (found) return found;
  throw new Error(
    `there is no ${kind} ${name}; known: ${[...map.keys()].join(", ")}`,
  );
}

function hashOf(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
