import { ManualClock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import { createHasher, rendezvousOrder } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { Left } from "../../src/base/common/result.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import { SoftwareVersionHistory } from "../../src/features/gateway/common/versions/software_version_history.ts";
import {
  createSoftwareVersionArchive,
  SOFTWARE_VERSION_KEY_PREFIX,
} from "../../src/features/gateway/common/versions/software_version_sync.ts";
import { MirrorConfirmation } from "../../src/services/mirror/common/mirror_confirmation.ts";
import type { LeaseStore } from "../../src/services/mirror/common/revisioned_store.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import { RecordingLogger } from "../gateway/gateway_harness.ts";
import { STREAM_ROUTE, STREAM_TIMEOUT_MS } from "../peers/in_process_fleet.ts";
import { FakeRevisionedStore } from "./fake_revisioned_store.ts";

const SERVICE = "llm" as ServiceId;
const HOSTS = ["host-1", "host-2", "host-3"] as HostId[];
/** Longer than the period of the check and the delay of a write. */
const WRITE_MS = 1_000;
const RETENTION_MS = 15_100;
/** Longer than two hubs in turn need to take over the entry. */
const TAKEOVER_MS = 6_000;

async function createDeployment() {
  const clock = new ManualClock();
  const store = new FakeRevisionedStore(clock);
  const hasher = await createHasher();
  /** Hosts whose writes the store does not accept. */
  const turnedAway = new Set<HostId>();
  const writes: HostId[] = [];
  const storeOf = (host: HostId): LeaseStore => ({
    grantLease: (ttlMs) => store.grantLease(ttlMs),
    renewLease: (lease) => store.renewLease(lease),
    revokeLease: (lease) => store.revokeLease(lease),
    putLeased: (...call) => {
      writes.push(host);
      return turnedAway.has(host)
        ? Promise.resolve(Left({ kind: "unknown", message: "no answer" }))
        : store.putLeased(...call);
    },
  });
  const start = (host: HostId) => {
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
    const archive = createSoftwareVersionArchive({
      clock,
      logger,
      hasher,
      host,
      store: storeOf(host),
      mirror,
      history,
      overlay: {
        onDidChangeHomeHub: new Emitter<void>().event,
        isHub: true,
        homeHub: () => undefined,
        zoneHubFor: () => host,
        linkedHubs: () => HOSTS.filter((other) => other !== host),
        linkedLeaves: () => [],
      },
    });
    const refresh = async () => {
      const listing = (await store.list("")).unsafeCoerce();
      const at = { monotonicMs: clock.monotonicMs(), wallMs: clock.nowMs() };
      mirror.applyListing(listing.items, listing.revision, at);
    };
    const announce = (id: string, softwareVersion: string) =>
      registry.announce({
        id: id as EndpointId,
        service: SERVICE,
        address: "127.0.0.1:1" as Address,
        zone: "zone-a" as ZoneName,
        softwareVersion,
        slots: 8,
        bornMs: 1,
        isDraining: false,
        warmUpRemainingMs: 0,
      });
    const versions = () => {
      const current = history.currentVersions(SERVICE);
      return current && [...current].sort();
    };
    return { archive, logger, registry, history, refresh, announce, versions };
  };
  const entries = () =>
    store.keys().filter((key) => key.startsWith(SOFTWARE_VERSION_KEY_PREFIX));
  const storedVersions = async () => {
    const { items } = (await store.list(SOFTWARE_VERSION_KEY_PREFIX))
      .unsafeCoerce();
    return items.map(({ value }) =>
      (JSON.parse(new TextDecoder().decode(value)) as { versions: string[] })
        .versions.sort().join()
    );
  };
  /** Hosts in the order in which they write the entry. */
  const writers = () => rendezvousOrder(hasher, entries()[0]!, HOSTS);
  return {
    clock,
    store,
    start,
    entries,
    storedVersions,
    turnedAway,
    writers,
    writes,
  };
}

type Deployment = Awaited<ReturnType<typeof createDeployment>>;

describe("the archive of software versions", () => {
  let deployment: Deployment;
  let daemons: ReturnType<Deployment["start"]>[];

  beforeEach(async () => {
    deployment = await createDeployment();
    daemons = HOSTS.map(deployment.start);
    for (const { announce, history } of daemons) {
      announce("e1", "v1");
      history.markComplete();
    }
    await runArchives();
  });

  afterEach(() => {
    for (const { archive } of daemons) archive.dispose();
  });

  /** Lets the daemons write, and read what the others wrote. */
  async function runArchives(durationMs = WRITE_MS): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += WRITE_MS) {
      await deployment.clock.advanceAsync(WRITE_MS);
      for (const { refresh, registry } of daemons) {
        registry.expirePhases();
        await refresh();
      }
    }
  }

  async function startAnew() {
    for (const { archive } of daemons) archive.dispose();
    daemons = HOSTS.map(deployment.start);
    for (const { announce, refresh } of daemons) {
      announce("e2", "v2");
      await refresh();
    }
  }

  // Guards against streams that go on at another version after a stop of all
  // daemons.
  it("tells daemons that all start anew which version left meanwhile", async () => {
    await startAnew();
    expect(daemons.map(({ versions }) => versions()))
      .toEqual(daemons.map(() => ["v1", "v2"]));
    await runArchives(STREAM_TIMEOUT_MS + WRITE_MS);
    expect(daemons.map(({ versions }) => versions()))
      .toEqual(daemons.map(() => ["v2"]));
  });

  // Guards against an entry that is written only after streams have begun.
  it("names versions as soon as they appear, with one write for those that appear together", async () => {
    const { clock, storedVersions, writes } = deployment;
    writes.length = 0;
    for (const added of [["v2", "v3"], ["v4"]]) {
      for (const { announce, archive } of daemons) {
        for (const version of added) {
          announce(`e-${version}`, version);
          archive.checkSoon();
        }
      }
      await clock.advanceAsync(20);
      for (const { refresh } of daemons) await refresh();
    }
    expect(await storedVersions()).toEqual(["v1,v2,v3,v4"]);
    expect(writes).toHaveLength(2);
  });

  it("outlasts an outage of the store in which leases expire", async () => {
    deployment.store.expireAllLeases();
    await startAnew();
    expect(daemons.map(({ versions }) => versions()))
      .toEqual(daemons.map(() => ["v1", "v2"]));
  });

  it("has one entry, which changes when a version comes or its streams are over", async () => {
    expect(deployment.entries()).toHaveLength(1);
    const { revision } = deployment.store;
    await runArchives(30_000);
    expect(deployment.store.revision).toBe(revision);
    for (const { announce } of daemons) announce("e2", "v2");
    await runArchives();
    expect(deployment.store.revision).toBe(revision + 1);
    for (const { registry } of daemons) {
      registry.markDraining("e1" as EndpointId, "draining");
    }
    await runArchives(RETENTION_MS + STREAM_TIMEOUT_MS + 5_000);
    expect(deployment.entries()).toHaveLength(1);
    await startAnew();
    expect(daemons.map(({ versions }) => versions()))
      .toEqual(daemons.map(() => ["v2"]));
  });

  it("leaves a service unknown that has no entry, as earlier builds write none", async () => {
    deployment.store.remove(deployment.entries()[0]!);
    await startAnew();
    expect(daemons.map(({ versions }) => versions()))
      .toEqual(daemons.map(() => undefined));
  });

  // Guards against a view that skipped changes and is taken for a whole one.
  it("tells a daemon whose view was interrupted which versions it may have missed", async () => {
    const { archive, history, refresh, versions } = daemons[0]!;
    const entry = { service: SERVICE, versions: ["v1", "v2"], era: 0 };
    deployment.store.put(deployment.entries()[0]!, JSON.stringify(entry));
    await refresh();
    expect(versions()).toEqual(["v1", "v2"]);
    history.restartObserving();
    expect(versions()).toBeUndefined();
    archive.readStored();
    expect(versions()).toEqual(["v1", "v2"]);
    await runArchives(STREAM_TIMEOUT_MS + WRITE_MS);
    expect(versions()).toEqual(["v1"]);
  });

  describe("when hosts know different versions", () => {
    const daemonOf = (host: HostId) => daemons[HOSTS.indexOf(host)]!;

    // Guards against an entry that only one hub may write.
    it.each([1, 2])(
      "is completed by another hub if the store turns the first %i away",
      async (count) => {
        const { storedVersions, turnedAway, writers } = deployment;
        for (const host of writers().slice(0, count)) turnedAway.add(host);
        for (const { announce } of daemons) announce("e2", "v2");
        await runArchives(TAKEOVER_MS);
        expect(await storedVersions()).toEqual(["v1,v2"]);
      },
    );

    // Guards against hubs that overwrite what each other has written, in turn.
    it("has all of them after one write of each host that adds one", async () => {
      const { storedVersions, writers, writes } = deployment;
      const [first, second, third] = writers();
      writes.length = 0;
      daemonOf(second!).announce("e2", "v2");
      daemonOf(third!).announce("e3", "v3");
      await runArchives(STREAM_TIMEOUT_MS);
      expect(await storedVersions()).toEqual(["v1,v2,v3"]);
      expect(writes).toEqual([second, third]);
      expect(daemonOf(first!).versions()).toEqual(["v1", "v2", "v3"]);
    });

    it("is written twice in the lifetime of streams at most while one host alone sees a version", async () => {
      const { storedVersions, writers, writes } = deployment;
      daemonOf(writers()[1]!).announce("e2", "v2");
      await runArchives(TAKEOVER_MS);
      writes.length = 0;
      await runArchives(6 * STREAM_TIMEOUT_MS);
      expect(writes.length).toBeLessThanOrEqual(2 * 6);
      await runArchives(TAKEOVER_MS);
      expect(await storedVersions()).toEqual(["v1,v2"]);
    });

    it("does not replace an entry that a hub has not read yet", async () => {
      const { clock, storedVersions, store, entries } = deployment;
      const entry = { service: SERVICE, versions: ["v1", "v3"] };
      store.put(entries()[0]!, JSON.stringify(entry));
      for (const { announce } of daemons) announce("e2", "v2");
      await clock.advanceAsync(WRITE_MS);
      expect(await storedVersions()).toEqual(["v1,v3"]);
      await runArchives(TAKEOVER_MS);
      expect(await storedVersions()).toEqual(["v1,v2,v3"]);
    });

    it("loses a version that one host has seen only when its streams are over", async () => {
      const { storedVersions, writers, writes } = deployment;
      const { announce, registry } = daemonOf(writers()[1]!);
      announce("e2", "v2");
      await runArchives(TAKEOVER_MS);
      registry.markDraining("e2" as EndpointId, "draining");
      await runArchives(RETENTION_MS - WRITE_MS);
      expect(await storedVersions()).toEqual(["v1,v2"]);
      await runArchives(2 * STREAM_TIMEOUT_MS + TAKEOVER_MS);
      expect(await storedVersions()).toEqual(["v1"]);
      writes.length = 0;
      await runArchives(2 * STREAM_TIMEOUT_MS);
      expect(writes).toEqual([]);
    });

    it("is completed again after an earlier build has replaced it by what it knows", async () => {
      const { entries, storedVersions, store } = deployment;
      for (const { announce } of daemons.slice(1)) announce("e2", "v2");
      await runArchives(TAKEOVER_MS);
      const entry = { service: SERVICE, versions: ["v1"] };
      store.put(entries()[0]!, JSON.stringify(entry));
      await runArchives(TAKEOVER_MS);
      expect(await storedVersions()).toEqual(["v1,v2"]);
    });

    it("is not written more often while the store turns all hubs away", async () => {
      const { turnedAway, writes } = deployment;
      for (const host of HOSTS) turnedAway.add(host);
      for (const { announce } of daemons) announce("e2", "v2");
      writes.length = 0;
      await runArchives(30_000);
      expect(writes.length).toBeLessThanOrEqual(30);
    });
  });

  it("leaves a daemon whose view was interrupted without knowledge if there is no entry", async () => {
    deployment.store.remove(deployment.entries()[0]!);
    const { archive, history, refresh, versions } = daemons[0]!;
    await refresh();
    history.restartObserving();
    archive.readStored();
    expect(versions()).toBeUndefined();
    await deployment.clock.advanceAsync(STREAM_TIMEOUT_MS);
    expect(versions()).toEqual(["v1"]);
  });

  it("reads an entry of a later build, which has further fields", async () => {
    const entry = { service: SERVICE, versions: ["v1"], era: 0, later: 1 };
    deployment.store.put(deployment.entries()[0]!, JSON.stringify(entry));
    await startAnew();
    expect(daemons[0]!.versions()).toEqual(["v1", "v2"]);
  });

  it.each([
    ["an earlier era of the store", { era: 3 }],
    ["a build that states no era", {}],
  ])("leaves a service unknown whose entry is of %s", async (_origin, era) => {
    const entry = { service: SERVICE, versions: ["v1"], ...era };
    deployment.store.put(deployment.entries()[0]!, JSON.stringify(entry));
    await startAnew();
    expect(daemons[0]!.versions()).toBeUndefined();
  });

  it("completes the entry of a build that states no era", async () => {
    const entry = { service: SERVICE, versions: ["v1"] };
    const [key] = deployment.entries();
    deployment.store.put(key!, JSON.stringify(entry));
    await runArchives(TAKEOVER_MS);
    await startAnew();
    expect(daemons[0]!.versions()).toEqual(["v1", "v2"]);
  });

  it("leaves a service unknown whose entry cannot be read", async () => {
    deployment.store.put(deployment.entries()[0]!, '{"service":"llm"}');
    await startAnew();
    expect(daemons[0]!.versions()).toBeUndefined();
    expect(
      daemons[0]!.logger.lastFields("software-versions-entry-unreadable"),
    ).toBeDefined();
  });
});
