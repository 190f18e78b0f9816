import { ManualClock } from "../../../base/common/clock.ts";
import {
  type Address,
  asId,
  type EndpointId,
} from "../../../base/common/ids.ts";
import { NOOP_DISPOSABLE } from "../../../base/common/lifecycle.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { EngineClient } from "../../../services/endpoints/common/engine_client.ts";
import { NOOP_LOGGER } from "../../../services/log/common/logger.ts";
import type {
  LeaseId,
  StoreClient,
} from "../../../services/store/common/store_client.ts";
import { ConfigurationTable } from "../../configuration/common/configuration_table.ts";
import { ConfiguredEndpointDirectory } from "../../endpoints/common/configured_endpoint_directory.ts";
import { RolloutCoordinator } from "./rollout_coordinator.ts";
import { LEASE_TTL_MS } from "./zone_lease.ts";

const ORDER_TIMEOUT_MS = 3_000;
const FENCE = 7;

/** A store whose lease is available and whose calls can be made to fail. */
class FakeStore {
  isDown = false;
  revokedLeases = 0;

  client(): StoreClient {
    const answer = <T>(value: T) =>
      Promise.resolve(
        this.isDown
          ? Left({
            kind: "not-done" as const,
            step: "s",
            peer: "p",
            detail: "",
          })
          : Right(value),
      );
    const lease = { id: asId<LeaseId>("1"), ttlMs: LEASE_TTL_MS };
    return {
      get: () => answer(undefined),
      list: () => answer({ entries: [], revision: 1 }),
      put: () => answer({ kind: "written" as const, revision: FENCE }),
      delete: () => answer({ kind: "written" as const, revision: FENCE }),
      watch: () => NOOP_DISPOSABLE,
      grantLease: () => answer(lease),
      renewLease: () => answer(lease),
      revokeLease: () => {
        this.revokedLeases++;
        return answer(undefined);
      },
      dispose: () => undefined,
    };
  }
}

/** An engine that lacks an adapter. Loading an adapter requires no drain. */
class FakeEngine {
  readonly orderTimesMs: number[] = [];
  readonly fences: number[] = [];
  isStaleFence = false;

  client(clock: ManualClock): EngineClient {
    const state = {
      model: "m",
      version: "1",
      adapters: [],
      role: "serve" as const,
      highestFence: 0,
    };
    const failure = { step: "s", peer: "p", detail: "" };
    return {
      readState: () => Promise.resolve(Right(state)),
      readLoad: () =>
        Promise.resolve(Left({ ...failure, kind: "unknown" as const })),
      order: (_endpoint, { fence }) => {
        this.orderTimesMs.push(clock.monotonicMs());
        this.fences.push(fence);
        return Promise.resolve(
          this.isStaleFence
            ? Left({ ...failure, kind: "stale-fence" as const })
            : Right(state),
        );
      },
    } as Partial<EngineClient> as EngineClient;
  }
}

function createCoordinator(honoursFence: boolean) {
  const clock = new ManualClock();
  const store = new FakeStore();
  const engine = new FakeEngine();
  const table = new ConfigurationTable();
  const service = new RolloutCoordinator({
    clock,
    store: store.client(),
    host: asId("h1"),
    zone: asId("z1"),
    createNonce: () => "n",
    engines: engine.client(clock),
    configuration: table,
    endpoints: new ConfiguredEndpointDirectory(table),
    logger: NOOP_LOGGER,
  });
  table.apply({
    team: asId("team"),
    revision: 1,
    document: {
      workspaces: {},
      classes: {},
      routes: [],
      services: {
        s: {
          kind: "engine",
          favour: "stall",
          honoursFence,
          desired: {
            model: "m",
            version: "1",
            adapters: ["a"],
            canaryObserveMs: 1,
          },
          endpoints: [{
            id: asId<EndpointId>("e1"),
            address: asId<Address>("127.0.0.1:1"),
            zone: "z1",
          }],
        },
      },
    },
  });
  service.start();
  return { clock, store, engine, service };
}

describe("RolloutCoordinator", () => {
  it("sends orders immediately, with the lease revision as fencing token, if engines check the token", async () => {
    const { clock, engine } = createCoordinator(true);
    await clock.advanceAsync(5_000);
    expect(engine.orderTimesMs.length).toBeGreaterThan(0);
    expect(new Set(engine.fences)).toEqual(new Set([FENCE]));
  });

  it("waits until orders of the previous lease holder have timed out if engines ignore the fencing token", async () => {
    const { clock, engine } = createCoordinator(false);
    await clock.advanceAsync(60_000);
    expect(engine.orderTimesMs[0]).toBeGreaterThanOrEqual(
      LEASE_TTL_MS + ORDER_TIMEOUT_MS,
    );
  });

  it("sends no order that could outlive the lease while the store is unavailable", async () => {
    const { clock, store, engine, service } = createCoordinator(true);
    await clock.advanceAsync(5_000);
    store.isDown = true;
    const downMs = clock.monotonicMs();
    await clock.advanceAsync(60_000);
    expect(Math.max(...engine.orderTimesMs)).toBeLessThanOrEqual(
      downMs + LEASE_TTL_MS - ORDER_TIMEOUT_MS,
    );
    expect(service.isLeaseHolder).toBe(false);
  });

  it("releases the lease when an engine reports a newer fencing token", async () => {
    const { clock, store, engine } = createCoordinator(true);
    engine.isStaleFence = true;
    await clock.advanceAsync(2_500);
    expect(engine.orderTimesMs).toHaveLength(1);
    expect(store.revokedLeases).toBe(1);
  });
});
