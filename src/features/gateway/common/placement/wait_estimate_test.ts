import type { ServiceId } from "../../../../base/common/ids.ts";
import { SeededRandom } from "../../../../base/common/random.ts";
import {
  spreadRetryAfterMs,
  WaitEstimate,
  WaitForecast,
} from "./wait_estimate.ts";

const SERVICE = "engine" as ServiceId;
const DRAFT = { service: SERVICE, priority: 1, memoryTokens: 3_000 };

/** Places a draft each 500 ms for 4 s while others wait. */
function observeDrain(estimate: WaitEstimate): void {
  estimate.recordQueued(DRAFT, 0);
  for (let atMs = 500; atMs <= 4_000; atMs += 500) {
    estimate.recordQueued(DRAFT, atMs);
    estimate.recordPlaced(DRAFT, atMs);
  }
}

describe("WaitForecast", () => {
  it("expects the memory of the requests ahead at the measured rate", () => {
    const estimate = new WaitEstimate();
    observeDrain(estimate);
    const forecast = new WaitForecast(estimate);
    expect(forecast.expectedWaitMs(DRAFT)).toBe(0);
    for (let ahead = 0; ahead < 4; ahead++) forecast.add(DRAFT);
    const expectedWaitMs = forecast.expectedWaitMs(DRAFT)!;
    expect(expectedWaitMs).toBeGreaterThan(1_500);
    expect(expectedWaitMs).toBeLessThan(2_500);
  });

  it("expects nothing before a rate is known, so that none is rejected early", () => {
    const estimate = new WaitEstimate();
    estimate.recordQueued(DRAFT, 0);
    const forecast = new WaitForecast(estimate);
    forecast.add(DRAFT);
    expect(forecast.expectedWaitMs(DRAFT)).toBeUndefined();
  });

  it("does not count what more urgent requests got for less urgent ones", () => {
    const estimate = new WaitEstimate();
    const check = { ...DRAFT, priority: 0 };
    estimate.recordQueued(DRAFT, 0);
    for (let atMs = 100; atMs <= 4_000; atMs += 100) {
      estimate.recordQueued(check, atMs);
      estimate.recordPlaced(check, atMs);
    }
    estimate.recordPlaced(DRAFT, 4_000);
    expect(estimate.tokensPerSecond(SERVICE, 1)).toBeLessThan(1_500);
  });
});

describe("spreadRetryAfterMs", () => {
  it("gives callers of one burst different times to return", () => {
    const random = new SeededRandom(1);
    const delaysMs = Array.from(
      { length: 100 },
      () => spreadRetryAfterMs(2_000, random),
    );
    expect(Math.min(...delaysMs)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...delaysMs)).toBeLessThanOrEqual(3_000);
    const meanMs = delaysMs.reduce((sum, delayMs) => sum + delayMs, 0) / 100;
    expect(Math.abs(meanMs - 2_000)).toBeLessThan(200);
    const inOneTenth = delaysMs.filter((delayMs) =>
      delayMs >= 1_900 && delayMs < 2_100
    );
    expect(inOneTenth.length).toBeLessThan(30);
  });
});
