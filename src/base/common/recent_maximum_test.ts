import { ManualClock } from "./clock.ts";
import { RecentMaximum } from "./recent_maximum.ts";

describe("RecentMaximum", () => {
  it("keeps the largest value until the span has passed since it was replaced", () => {
    const clock = new ManualClock();
    const recent = new RecentMaximum(clock, 1_000);
    expect(recent.max()).toBe(0);
    recent.record(9);
    clock.advance(5_000);
    recent.record(3);
    clock.advance(500);
    recent.record(4);
    expect(recent.max()).toBe(9);
    clock.advance(499);
    expect(recent.max()).toBe(9);
    clock.advance(1);
    expect(recent.max()).toBe(4);
    clock.advance(60_000);
    expect(recent.max()).toBe(4);
  });
});
