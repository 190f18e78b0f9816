import fc from "fast-check";
import { ManualClock } from "../../src/base/common/clock.ts";
import { stampNow } from "../../src/base/common/stamp.ts";
import { SILENT_LOGGER } from "../../src/services/log/common/logger.ts";
import type { StoreCallFailure } from "../../src/services/mirror/common/revisioned_store.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import { StoreWatcher } from "../../src/services/mirror/common/store_watcher.ts";
import { FakeRevisionedStore } from "./fake_revisioned_store.ts";

const UNAVAILABLE: StoreCallFailure = { kind: "unknown", message: "no answer" };

function readText(mirror: StoreMirror, key: string): string | undefined {
  const item = mirror.get(key);
  return item && new TextDecoder().decode(item.value);
}

function startWatcher(): {
  clock: ManualClock;
  store: FakeRevisionedStore;
  mirror: StoreMirror;
  watcher: StoreWatcher;
} {
  const clock = new ManualClock();
  const store = new FakeRevisionedStore(clock);
  const mirror = new StoreMirror(clock);
  const watcher = new StoreWatcher({
    clock,
    logger: SILENT_LOGGER,
    store,
    mirror,
    shouldWatch: () => true,
  });
  void watcher.run();
  return { clock, store, mirror, watcher };
}

describe("StoreWatcher", () => {
  it("follows changes and removals", async () => {
    const { clock, store, mirror } = startWatcher();
    store.put("a", "1");
    await clock.advanceSettled(20);
    store.put("a", "2");
    store.put("b", "1");
    store.remove("b");
    await clock.advanceSettled(20);
    expect(readText(mirror, "a")).toBe("2");
    expect(mirror.get("b")).toBeUndefined();
  });

  it("catches up after the history was dropped", async () => {
    const { clock, store, mirror } = startWatcher();
    store.put("a", "1");
    store.put("b", "1");
    await clock.advanceSettled(20);
    store.failure = UNAVAILABLE;
    await clock.advanceSettled(50);
    store.remove("a");
    store.put("b", "2");
    store.compact();
    store.failure = undefined;
    await clock.advanceSettled(1_500);
    expect(mirror.get("a")).toBeUndefined();
    expect(readText(mirror, "b")).toBe("2");
  });

  it("confirms its contents at least every second while nothing changes", async () => {
    const { clock, mirror } = startWatcher();
    await clock.advanceSettled(100);
    for (let round = 0; round < 20; round++) {
      await clock.advanceSettled(250);
      expect(mirror.confirmationAgeMs).toBeLessThan(1_800);
    }
  });

  it("lets its contents grow old while the store is away, and says so", async () => {
    const { clock, store, mirror } = startWatcher();
    await clock.advanceSettled(100);
    store.failure = UNAVAILABLE;
    await clock.advanceSettled(3_000);
    expect(mirror.confirmationAgeMs).toBeGreaterThan(2_900);
    expect(mirror.sinceStoreFailureMs).toBeLessThan(1_000);
  });
});

describe("StoreMirror", () => {
  it("counts the age of what a peer told from the moment of asking", () => {
    const clock = new ManualClock();
    const peer = new StoreMirror(clock);
    peer.applyListing([], 5, stampNow(clock));
    clock.advance(300);
    const mirror = new StoreMirror(clock);
    const askedAt = stampNow(clock);
    const snapshot = peer.snapshotSince(0);
    clock.advance(10_000);
    mirror.applySnapshot(snapshot, askedAt);
    expect(mirror.confirmationAgeMs).toBeCloseTo(10_300);
  });

  it("takes nothing older than it has", () => {
    const clock = new ManualClock();
    const mirror = new StoreMirror(clock);
    const old = new StoreMirror(clock);
    old.applyListing([], 3, stampNow(clock));
    const value = new Uint8Array([1]);
    mirror.applyListing([{ key: "a", value, revision: 4 }], 4, stampNow(clock));
    mirror.applySnapshot(old.snapshotSince(0), stampNow(clock));
    expect(mirror.get("a")).toBeDefined();
    expect(mirror.revision).toBe(4);
  });

  it("keeps its age over a wall clock that is set back", () => {
    const clock = new ManualClock();
    const mirror = new StoreMirror(clock);
    mirror.applyListing([], 1, {
      monotonicMs: clock.monotonicMs(),
      wallMs: clock.nowMs() + 60_000,
    });
    clock.advance(4_000);
    expect(mirror.confirmationAgeMs).toBeCloseTo(4_000);
  });

  it("counts the time that a suspended machine missed", () => {
    const clock = new ManualClock();
    const mirror = new StoreMirror(clock);
    mirror.applyListing([], 1, {
      monotonicMs: clock.monotonicMs(),
      wallMs: clock.nowMs() - 7_000,
    });
    expect(mirror.confirmationAgeMs).toBeCloseTo(7_000);
  });

  it("ends equal to its peer, whatever snapshots it missed", () => {
    const keyArbitrary = fc.constantFrom("a", "b", "c", "d");
    const step = fc.record({
      key: keyArbitrary,
      isRemoved: fc.boolean(),
      isTold: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const clock = new ManualClock();
        const source = new StoreMirror(clock);
        const follower = new StoreMirror(clock);
        let revision = 0;
        const tell = (): void =>
          follower.applySnapshot(
            source.snapshotSince(follower.revision),
            stampNow(clock),
          );
        for (const { key, isRemoved, isTold } of steps) {
          revision++;
          source.applyChanges(
            [
              isRemoved
                ? { kind: "removed", key, revision }
                : { kind: "put", key, value: new Uint8Array(), revision },
            ],
            revision,
            stampNow(clock),
          );
          if (isTold) tell();
        }
        tell();
        expect(follower.snapshotSince(0).items)
          .toEqual(expect.arrayContaining([...source.snapshotSince(0).items]));
        expect(follower.itemsWithPrefix("")).toHaveLength(
          source.itemsWithPrefix("").length,
        );
      }),
      { seed: 20_261_203, numRuns: 200 },
    );
  });
});
