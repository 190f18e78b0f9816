import { ManualClock } from "../../src/base/common/clock.ts";
import { Emitter } from "../../src/base/common/event.ts";
import { createHasher } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoint_registry.ts";
import { SoftwareVersionHistory } from "../../src/features/gateway/common/software_version_history.ts";
import {
  createSoftwareVersionArchive,
  SOFTWARE_VERSION_KEY_PREFIX,
} from "../../src/features/gateway/common/software_version_sync.ts";
import { MirrorConfirmation } from "../../src/services/mirror/common/mirror_confirmation.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import { RecordingLogger } from "../gateway/gateway_harness.ts";
import { STREAM_ROUTE, STREAM_TIMEOUT_MS } from "../peers/in_process_fleet.ts";
import { FakeRevisionedStore } from "./fake_revisioned_store.ts";

const SERVICE = "llm" as ServiceId;
const HOSTS = ["host-1", "host-2", "host-3"] as HostId[];
/** Longer than the period of the check and the delay of a write. */
const WRITE_MS = 1_000;
const RETENTION_MS = 15_100;

async function createDeployment() {
  const clock = new ManualClock();
  const store = new FakeRevisionedStore(clock);
  const hasher = await createHasher();
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
      store,
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
  return { clock, store, start, entries };
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
    const entry = { service: SERVICE, versions: ["v1", "v2"] };
    deployment.store.put(deployment.entries()[0]!, JSON.stringify(entry));
    await refresh();
    expect(versions()).toEqual(["v1"]);
    history.restartObserving();
    expect(versions()).toBeUndefined();
    archive.readStored();
    expect(versions()).toEqual(["v1", "v2"]);
    await runArchives(STREAM_TIMEOUT_MS + WRITE_MS);
    expect(versions()).toEqual(["v1"]);
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
    const entry = { service: SERVICE, versions: ["v1"], later: { a: 1 } };
    deployment.store.put(deployment.entries()[0]!, JSON.stringify(entry));
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
