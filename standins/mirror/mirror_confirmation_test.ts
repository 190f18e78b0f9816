import { flushPromises, ManualClock } from "../../src/base/common/clock.ts";
import { timestampNow } from "../../src/base/common/timestamp.ts";
import { MirrorConfirmation } from "../../src/services/mirror/common/mirror_confirmation.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import { FakeRevisionedStore } from "./fake_revisioned_store.ts";

/** Longer than one read takes with the test double. */
const READ_MS = 20;
const MIN_READ_INTERVAL_MS = 100;

describe("the confirmation of a mirror", () => {
  let clock: ManualClock;
  let store: FakeRevisionedStore;
  let mirror: StoreMirror;
  let confirmation: MirrorConfirmation;

  beforeEach(async () => {
    clock = new ManualClock();
    store = new FakeRevisionedStore(clock);
    store.put("a", "1");
    mirror = new StoreMirror(clock);
    confirmation = new MirrorConfirmation(clock, store, mirror);
    const { items, revision } = (await store.list("")).unsafeCoerce();
    mirror.applyListing(items, revision, timestampNow(clock));
    await clock.advanceAsync(60_000);
    store.callCount = 0;
  });

  /** Result of each call, by its name, in the order in which they end. */
  const results: string[] = [];
  beforeEach(() => results.splice(0));

  function confirm(name: string): void {
    void confirmation.confirm().then((isConfirmed) =>
      results.push(`${name} ${isConfirmed}`)
    );
  }

  it("brings all items that were written until the call", async () => {
    const seen: string[] = [];
    mirror.onDidChange((changes) =>
      seen.push(
        ...changes.map(({ key, item }) => `${key} ${item !== undefined}`),
      )
    );
    store.put("b", "1");
    store.remove("a");
    confirm("first");
    await clock.advanceAsync(READ_MS);
    expect(results).toEqual(["first true"]);
    expect(seen).toEqual(["b true"]);
  });

  it("confirms the contents when nothing has changed", async () => {
    confirm("first");
    await clock.advanceAsync(READ_MS);
    expect(results).toEqual(["first true"]);
    expect(confirmation.ageMs).toBeLessThanOrEqual(READ_MS);
  });

  it("fails when an item was written and is gone", async () => {
    store.put("b", "1");
    store.remove("b");
    confirm("first");
    await clock.advanceAsync(READ_MS);
    expect(results).toEqual(["first false"]);
  });

  it("reads again after a listener has failed", async () => {
    const listener = mirror.onDidChange(() => {
      throw new Error("a listener fails");
    });
    store.put("b", "1");
    confirm("first");
    await clock.advanceAsync(READ_MS);
    listener.dispose();
    confirm("second");
    await clock.advanceAsync(MIN_READ_INTERVAL_MS + READ_MS);
    expect(results).toEqual(["first false", "second true"]);
  });

  it("fails while the store does not answer", async () => {
    store.failure = { kind: "unknown", message: "no answer" };
    confirm("first");
    await clock.advanceAsync(READ_MS);
    expect(results).toEqual(["first false"]);
    expect(confirmation.ageMs).toBeGreaterThan(60_000);
  });

  it("fails before the mirror has contents", async () => {
    confirmation = new MirrorConfirmation(clock, store, new StoreMirror(clock));
    confirm("first");
    await flushPromises();
    expect(results).toEqual(["first false"]);
    expect(store.callCount).toBe(0);
  });

  it("fails when the history is gone, as changes would be missed", async () => {
    store.put("b", "1");
    store.compact();
    confirm("first");
    await clock.advanceAsync(READ_MS);
    expect(results).toEqual(["first false"]);
  });

  // Guards against a decision on a read that began before the change.
  it("reads again for a call during a read", async () => {
    confirm("first");
    await flushPromises();
    store.put("b", "1");
    confirm("second");
    await clock.advanceAsync(READ_MS);
    expect(results).toEqual(["first true"]);
    await clock.advanceAsync(MIN_READ_INTERVAL_MS);
    expect(results).toEqual(["first true", "second true"]);
    expect(mirror.get("b")).toBeDefined();
  });

  it("reads once for many calls, and not more often than ten times a second", async () => {
    for (let step = 0; step < 1_000; step++) {
      confirm(`c${step}`);
      await clock.advanceAsync(1);
    }
    expect(store.callCount).toBeGreaterThan(5);
    expect(store.callCount).toBeLessThanOrEqual(11);
  });
});
