import { ManualClock } from "../../../base/common/clock.ts";
import { type Address, asId } from "../../../base/common/ids.ts";
import { StallTimeouts } from "./stall_timeouts.ts";

const FAST = asId<Address>("127.0.0.1:1");
const SLOW = asId<Address>("127.0.0.1:2");

function recordGaps(timeouts: StallTimeouts, endpoint: Address, gapMs: number) {
  for (let count = 0; count < 20; count++) timeouts.recordGap(endpoint, gapMs);
}

describe("StallTimeouts", () => {
  it("derives the timeout of each endpoint from its gaps, within bounds", () => {
    const timeouts = new StallTimeouts(new ManualClock());
    expect(timeouts.timeoutMs(FAST)).toBe(2_000);
    recordGaps(timeouts, FAST, 20);
    recordGaps(timeouts, SLOW, 200);
    expect(timeouts.timeoutMs(FAST)).toBe(300);
    expect(timeouts.timeoutMs(SLOW)).toBe(800);
    recordGaps(timeouts, SLOW, 30_000);
    expect(timeouts.timeoutMs(SLOW)).toBe(5_000);
  });

  it("reduces the effect of a stall over minutes", () => {
    const clock = new ManualClock();
    const timeouts = new StallTimeouts(clock);
    recordGaps(timeouts, SLOW, 1_000);
    clock.advance(60_000);
    expect(timeouts.timeoutMs(SLOW)).toBe(2_000);
    clock.advance(600_000);
    expect(timeouts.timeoutMs(SLOW)).toBe(300);
  });
});
