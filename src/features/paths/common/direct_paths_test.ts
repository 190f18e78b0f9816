import { ManualClock } from "../../../base/common/clock.ts";
import type { Address } from "../../../base/common/ids.ts";
import { type DirectPathChange, DirectPaths } from "./direct_paths.ts";

const FIRST = "10.0.0.1:80" as Address;
const SECOND = "10.0.0.2:80" as Address;

describe("DirectPaths", () => {
  let clock: ManualClock;
  let paths: DirectPaths;
  let changes: DirectPathChange[];

  beforeEach(() => {
    clock = new ManualClock();
    paths = new DirectPaths(clock);
    changes = [];
    paths.onDidChange((change) => changes.push(change));
  });

  it("names each path that is lost once, and how long it was lost", () => {
    paths.onOpenFailed(FIRST, "timed-out");
    clock.advance(300);
    paths.onOpenFailed(FIRST, "refused");
    expect(paths.lostAddresses).toEqual([FIRST]);
    clock.advance(200);
    paths.onOpened(FIRST);
    expect(changes).toEqual([
      { address: FIRST, loss: "timed-out", lostForMs: 0 },
      { address: FIRST, loss: undefined, lostForMs: 500 },
    ]);
    expect(paths.lostAddresses).toEqual([]);
  });

  it("stays lost while open connections live on", () => {
    paths.onOpenFailed(FIRST, "refused");
    paths.onReceived(FIRST);
    expect(paths.isLost(FIRST)).toBe(true);
  });

  it("forgets only the address of an endpoint that is gone", () => {
    paths.onOpenFailed(FIRST, "reset");
    paths.onOpenFailed(SECOND, "reset");
    paths.forget(FIRST);
    expect(paths.lostAddresses).toEqual([SECOND]);
  });
});
