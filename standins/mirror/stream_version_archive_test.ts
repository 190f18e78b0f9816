import { ManualClock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import { createHasher, rendezvousOrder } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  WorkspaceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { Left } from "../../src/base/common/result.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import { SoftwareVersionHistory } from "../../src/features/gateway/common/versions/software_version_history.ts";
import {
  STREAM_VERSION_KEY_PREFIX,
  StreamVersionArchive,
} from "../../src/features/gateway/common/versions/stream_version_archive.ts";
import {
  type StreamVersion,
  StreamVersionTable,
} from "../../src/features/gateway/common/versions/stream_versions.ts";
import { MirrorConfirmation } from "../../src/services/mirror/common/mirror_confirmation.ts";
import type {
  LeaseStore,
  StoreCallFailure,
} from "../../src/services/mirror/common/revisioned_store.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import { storeRevision } from "../../src/services/mirror/common/store_revision.ts";
import { RecordingLogger } from "../gateway/gateway_harness.ts";
import { STREAM_ROUTE } from "../peers/in_process_fleet.ts";
import { FakeRevisionedStore } from "./fake_revisioned_store.ts";

const SERVICE = "llm" as ServiceId;
const WORKSPACE = "w-1" as WorkspaceId;
const OTHER_WORKSPACE = "w-2" as WorkspaceId;
const HOSTS = ["host-1", "host-2", "host-3"] as HostId[];
const STREAM_MS = 15_000;
const STEP_MS = 250;
/** Longer than one entry takes to be written and read. */
const WRITE_MS = 500;
/** Longer than two hubs in turn need to take over. */
const TAKEOVER_MS = 4_000;

async function createDeployment() {
  const clock = new ManualClock();
  const store = new FakeRevisionedStore(clock);
  const hasher = await createHasher();
  const failures = new Map<HostId, StoreCallFailure>();
  const writes: HostId[] = [];
  const leasesMs: number[] = [];
  const storeOf = (host: HostId): LeaseStore => ({
    grantLease: (ttlMs) => {
      leasesMs.push(ttlMs);
      return store.grantLease(ttlMs);
    },
    renewLease: (lease) => store.renewLease(lease),
    revokeLease: (lease) => store.revokeLease(lease),
    putLeased: (...call) => {
      writes.push(host);
      const failure = failures.get(host);
      return failure
        ? Promise.resolve(Left(failure))
        : store.putLeased(...call);
    },
  });
  const inEra = (revision: number) => storeRevision(store.era, revision);
  const start = (host: HostId, isHub = true) => {
    const mirror = new StoreMirror(clock);
    const logger = new RecordingLogger();
    const registry = new EndpointRegistry(clock, logger);
    const history = new SoftwareVersionHistory(
      clock,
      registry,
      new MirrorConfirmation(clock, store, mirror),
    );
    history.setRoutes([STREAM_ROUTE]);
    history.startObserving();
    history.markComplete();
    const table = new StreamVersionTable(clock);
    const archive = new StreamVersionArchive({
      clock,
      logger,
      hasher,
      host,
      incarnation: 1,
      store: storeOf(host),
      mirror,
      history,
      table,
      overlay: {
        onDidChangeHomeHub: new Emitter<void>().event,
        isHub,
        homeHub: () => undefined,
        zoneHubFor: () => host,
        linkedHubs: () => HOSTS.filter((other) => other !== host),
        linkedLeaves: () => [],
      },
    });
    const refresh = async () => {
      const listing = await store.list("");
      listing.ifRight(({ items, revision }) => {
        const at = { monotonicMs: clock.monotonicMs(), wallMs: clock.nowMs() };
        mirror.applyListing(
          items.map((item) => ({ ...item, revision: inEra(item.revision) })),
          inEra(revision),
          at,
        );
      });
    };
    const announce = (softwareVersion: string) =>
      registry.announce({
        id: `e-${softwareVersion}` as EndpointId,
        service: SERVICE,
        address: "127.0.0.1:1" as Address,
        zone: "zone-a" as ZoneName,
        softwareVersion,
        slots: 8,
        bornMs: 1,
        isDraining: false,
        warmUpRemainingMs: 0,
      });
    return { archive, logger, refresh, announce, table };
  };
  const entries = () =>
    store.keys().filter((key) => key.startsWith(STREAM_VERSION_KEY_PREFIX));
  /** Hosts in the order in which they write. */
  const writers = rendezvousOrder(hasher, STREAM_VERSION_KEY_PREFIX, HOSTS);
  return {
    clock,
    store,
    start,
    entries,
    failures,
    leasesMs,
    writers,
    writes,
  };
}

type Deployment = Awaited<ReturnType<typeof createDeployment>>;
type Daemon = ReturnType<Deployment["start"]>;

describe("the archive of stream versions", () => {
  let deployment: Deployment;
  let daemons: Daemon[];

  beforeEach(async () => {
    deployment = await createDeployment();
    daemons = HOSTS.map((host) => deployment.start(host));
    await run(WRITE_MS);
  });

  afterEach(() => {
    for (const { archive } of daemons) archive.dispose();
  });

  /** Lets the daemons write, and read what the others wrote. */
  async function run(durationMs: number): Promise<void> {
    const { clock } = deployment;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      await clock.advanceAsync(STEP_MS);
      for (const { refresh } of daemons) await refresh();
    }
  }

  function announce(...versions: readonly string[]): void {
    for (const daemon of daemons) versions.forEach(daemon.announce);
  }

  const streamOf = (id: string, softwareVersion = "v1"): StreamVersion => ({
    id,
    workspace: WORKSPACE,
    service: SERVICE,
    softwareVersion,
    expiresMs: deployment.clock.monotonicMs() + STREAM_MS,
  });

  /** Begins a stream at the first daemon, which reports it to all others. */
  function begin(id: string, softwareVersion?: string): void {
    const stream = streamOf(id, softwareVersion);
    daemons[0]!.table.record(stream);
    for (const { table } of daemons.slice(1)) table.add(stream);
  }

  /** Replaces all daemons at once. */
  async function startAnew(): Promise<void> {
    for (const { archive } of daemons) archive.dispose();
    daemons = HOSTS.map((host) => deployment.start(host));
    for (const { refresh } of daemons) await refresh();
  }

  const versionsOf = (id: string, workspace = WORKSPACE) =>
    daemons.map(({ table }) =>
      table.versionOf({ id, workspace, service: SERVICE })
    );
  const atAll = (version: string | undefined) => HOSTS.map(() => version);

  // Guards against streams that are lost when all daemons end at once while two
  // versions serve.
  it("tells daemons that all start anew at which versions streams began", async () => {
    announce("v1", "v2");
    begin("s-1", "v1");
    begin("s-2", "v2");
    await run(WRITE_MS);
    await startAnew();
    expect(versionsOf("s-1")).toEqual(atAll("v1"));
    expect(versionsOf("s-2")).toEqual(atAll("v2"));
    expect(versionsOf("s-3")).toEqual(atAll(undefined));
  });

  it("keeps streams that began before the second version appeared", async () => {
    announce("v1");
    begin("s-1");
    await run(WRITE_MS);
    expect(deployment.writes).toEqual([]);
    announce("v2");
    await run(WRITE_MS);
    await startAnew();
    expect(versionsOf("s-1")).toEqual(atAll("v1"));
  });

  it("writes nothing while a service has one version", async () => {
    announce("v1");
    for (let count = 0; count < 20; count++) {
      begin(`s-${count}`);
      await run(STEP_MS);
    }
    expect(deployment.writes).toEqual([]);
  });

  it("writes streams that begin together at once, and only once", async () => {
    announce("v1", "v2");
    for (let count = 0; count < 150; count++) begin(`s-${count}`);
    await run(WRITE_MS);
    expect(deployment.writes).toEqual([deployment.writers[0]]);
    await run(TAKEOVER_MS);
    expect(deployment.writes).toHaveLength(1);
    expect(versionsOf("s-149")).toEqual(atAll("v1"));
  });

  it("writes hundreds of streams a second", async () => {
    announce("v1", "v2");
    for (let second = 0; second < 4; second++) {
      for (let count = 0; count < 600; count++) begin(`s-${second}-${count}`);
      await run(1_000);
    }
    await startAnew();
    for (let second = 0; second < 4; second++) {
      expect(versionsOf(`s-${second}-599`)).toEqual(atAll("v1"));
    }
    expect(deployment.writes).toHaveLength(12);
  });

  it("does not tell one workspace of another's streams", async () => {
    announce("v1", "v2");
    begin("s-1");
    await run(WRITE_MS);
    await startAnew();
    expect(versionsOf("s-1", OTHER_WORKSPACE)).toEqual(atAll(undefined));
  });

  it.each<StoreCallFailure["kind"]>(["unknown", "refused"])(
    "is written by another hub while the store's answer to the first is %s",
    async (kind) => {
      const { failures, writers, writes } = deployment;
      failures.set(writers[0]!, { kind, message: kind });
      announce("v1", "v2");
      begin("s-1");
      await run(TAKEOVER_MS);
      expect(new Set(writes)).toEqual(new Set(writers.slice(0, 2)));
      expect(writes.filter((host) => host === writers[1])).toHaveLength(1);
      await startAnew();
      expect(versionsOf("s-1")).toEqual(atAll("v1"));
    },
  );

  it("is written again if its lease has ended", async () => {
    announce("v1", "v2");
    begin("s-1");
    await run(WRITE_MS);
    deployment.store.expireAllLeases();
    await run(2 * WRITE_MS);
    await startAnew();
    expect(versionsOf("s-1")).toEqual(atAll("v1"));
  });

  it("is written again if the store was restored from a copy that lacks it", async () => {
    const { store, entries } = deployment;
    announce("v1", "v2");
    begin("s-1");
    const copy = store.copy();
    await run(WRITE_MS);
    expect(entries()).toHaveLength(1);
    store.restore(copy);
    await run(2 * WRITE_MS);
    await startAnew();
    expect(versionsOf("s-1")).toEqual(atAll("v1"));
  });

  it("has a lease that lasts for as long as its streams, and no longer than twice", async () => {
    announce("v1", "v2");
    for (let second = 0; second < 20; second++) {
      begin(`s-${second}`);
      await run(1_000);
    }
    const { leasesMs, writes } = deployment;
    expect(writes).toHaveLength(20);
    expect(leasesMs).toHaveLength(2);
    for (const leaseMs of leasesMs) {
      expect(leaseMs).toBeGreaterThanOrEqual(STREAM_MS);
      expect(leaseMs).toBeLessThanOrEqual(2 * STREAM_MS);
    }
  });

  it("does not replace what a daemon knows of a stream", async () => {
    announce("v1", "v2");
    begin("s-1", "v1");
    await run(WRITE_MS);
    await startAnew();
    begin("s-1", "v2");
    for (const { refresh } of daemons) await refresh();
    expect(versionsOf("s-1")).toEqual(atAll("v2"));
  });

  it("takes the latest entry where entries differ", async () => {
    announce("v1", "v2");
    begin("s-1", "v1");
    await run(WRITE_MS);
    await startAnew();
    announce("v1", "v2");
    begin("s-1", "v2");
    const { store } = deployment;
    // Written before the first entry by the order of keys.
    store.put(
      `${STREAM_VERSION_KEY_PREFIX}a`,
      JSON.stringify({ streams: [["s-1", WORKSPACE, SERVICE, "v2", 9_000]] }),
    );
    await startAnew();
    expect(versionsOf("s-1")).toEqual(atAll("v2"));
  });

  it("is ignored where it cannot be read", async () => {
    const { store } = deployment;
    store.put(`${STREAM_VERSION_KEY_PREFIX}a`, "{}");
    store.put(`${STREAM_VERSION_KEY_PREFIX}b`, "\u0000");
    announce("v1", "v2");
    begin("s-1");
    await run(WRITE_MS);
    await startAnew();
    expect(versionsOf("s-1")).toEqual(atAll("v1"));
    const unreadable = daemons[0]!.logger.lines.filter(({ event }) =>
      event === "stream-versions-entry-unreadable"
    );
    expect(unreadable.map(({ fields }) => fields["key"]).sort()).toEqual([
      `${STREAM_VERSION_KEY_PREFIX}a`,
      `${STREAM_VERSION_KEY_PREFIX}b`,
    ]);
  });

  it("is read, but not written by leaves", async () => {
    const leaf = deployment.start("leaf-1" as HostId, false);
    daemons.push(leaf);
    announce("v1", "v2");
    leaf.table.record(streamOf("s-leaf"));
    begin("s-1");
    await run(TAKEOVER_MS);
    expect(deployment.writes).toEqual([deployment.writers[0]]);
    expect(versionsOf("s-1")).toEqual([...atAll("v1"), "v1"]);
  });
});
