import { ManualClock } from "../../../base/common/clock.ts";
import { type Address, asId } from "../../../base/common/ids.ts";
import { StallTimeouts } from "./stall_timeouts.ts";

const FAST = asId<Address>("127.0.0.1:1");
const SLOW = asId<Address>("127.0.0.1:2");

function observe(limits: StallTimeouts, endpoint: Address, gapMs: number) {
  for (let count = 0; count < 20; count++) limits.recordGap(endpoint, gapMs);
}

describe("SilenceLimits", () => {
  it("learns the spacing of each endpoint within bounds", () => {
    const limits = new StallTimeouts(new ManualClock());
    expect(limits.timeoutMs(FAST)).toBe(2_000);
    observe(limits, FAST, 20);
    observe(limits, SLOW, 200);
    expect(limits.timeoutMs(FAST)).toBe(300);
    expect(limits.timeoutMs(SLOW)).toBe(800);
    observe(limits, SLOW, 30_000);
    expect(limits.timeoutMs(SLOW)).toBe(5_000);
  });

  it("forgets a stall over minutes", () => {
    const clock = new ManualClock();
    const limits = new StallTimeouts(clock);
    observe(limits, SLOW, 1_000);
    clock.advance(60_000);
    expect(limits.timeoutMs(SLOW)).toBe(2_000);
    clock.advance(600_000);
    expect(limits.timeoutMs(SLOW)).toBe(300);
  });
});
