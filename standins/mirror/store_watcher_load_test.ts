/** What watchers ask of the store while a large fleet starts or changes. */

import { ManualClock } from "../../src/base/common/clock.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import { StoreWatcher } from "../../src/services/mirror/common/store_watcher.ts";
import { FakeRevisionedStore } from "./fake_revisioned_store.ts";

const HOST_COUNT = 195;

function startWatchers(count: number) {
  const clock = new ManualClock();
  const store = new FakeRevisionedStore(clock);
  const mirrors = Array.from({ length: count }, () => {
    const mirror = new StoreMirror(clock);
    const watcher = new StoreWatcher({
      clock,
      logger: NOOP_LOGGER,
      store,
      mirror,
      shouldWatch: () => true,
    });
    void watcher.run();
    return mirror;
  });
  return { clock, store, mirrors };
}

describe("watchers of the store", () => {
  it("make few calls while hundreds of hosts register", async () => {
    const { clock, store, mirrors } = startWatchers(HOST_COUNT);
    for (let index = 0; index < HOST_COUNT; index++) {
      store.put(`hosts/front-${index}`, "entry");
      await clock.advanceAsync(5);
    }
    await clock.advanceAsync(300);
    for (const mirror of mirrors) {
      expect(mirror.itemsWithPrefix("hosts/")).toHaveLength(HOST_COUNT);
    }
    // A listing, and two watches each 300 ms for 1.3 s.
    expect(store.callCount / HOST_COUNT).toBeLessThanOrEqual(12);
  });

  it("learn of a single change at once", async () => {
    const { clock, store, mirrors } = startWatchers(1);
    await clock.advanceAsync(500);
    store.put("servers/one", "draining");
    await clock.advanceAsync(20);
    expect(mirrors[0]!.get("servers/one")).toBeDefined();
  });

  it("learn of changes in series within 300 ms", async () => {
    const { clock, store, mirrors } = startWatchers(1);
    await clock.advanceAsync(500);
    for (let index = 0; index < 50; index++) {
      store.put(`servers/${index}`, "draining");
      await clock.advanceAsync(30);
      const known = mirrors[0]!.itemsWithPrefix("servers/").length;
      expect(index + 1 - known).toBeLessThanOrEqual(10);
    }
    await clock.advanceAsync(300);
    expect(mirrors[0]!.itemsWithPrefix("servers/")).toHaveLength(50);
  });
});
