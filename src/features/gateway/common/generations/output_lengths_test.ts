import { OutputLengths } from "./output_lengths.ts";

const ROUTE = "draft";
const UNHINTED = { maxTokens: 4_000, hintedTokens: undefined };

function complete(
  lengths: OutputLengths,
  tokens: readonly number[],
  hintedTokens?: number,
): void {
  for (let round = 0; round < 30; round++) {
    for (const each of tokens) {
      lengths.recordCompletion(ROUTE, each, 0, {
        ...UNHINTED,
        hintedTokens,
      });
    }
  }
}

describe("OutputLengths", () => {
  it("forecasts the mean of the route instead of a share of the maximum", () => {
    const lengths = new OutputLengths();
    complete(lengths, [600, 800]);
    const forecast = lengths.forecast(ROUTE, 0, UNHINTED)!;
    expect(forecast).toBeGreaterThan(600);
    expect(forecast).toBeLessThan(850);
  });

  it("expects more of an output that has outgrown the short ones", () => {
    const lengths = new OutputLengths();
    complete(lengths, [100, 1_600]);
    const forecast = lengths.forecast(ROUTE, 400, UNHINTED)!;
    expect(forecast).toBeGreaterThan(1_300);
    expect(forecast).toBeLessThan(2_000);
  });

  it("never exceeds the maximum, which ends the output", () => {
    const lengths = new OutputLengths();
    complete(lengths, [1_600]);
    const limits = { ...UNHINTED, maxTokens: 500 };
    expect(lengths.forecast(ROUTE, 100, limits)).toBeLessThanOrEqual(501);
  });

  it("knows nothing of a route with few complete outputs", () => {
    const lengths = new OutputLengths();
    lengths.recordCompletion(ROUTE, 100, 0, UNHINTED);
    expect(lengths.forecast(ROUTE, 0, UNHINTED)).toBeUndefined();
  });

  it("leaves a hint in force unless the lengths contradict the hints", () => {
    const limits = { ...UNHINTED, hintedTokens: 700 };
    const sound = new OutputLengths();
    complete(sound, [650, 750], 700);
    expect(sound.forecast(ROUTE, 0, limits)).toBeUndefined();
    const misled = new OutputLengths();
    complete(misled, [650, 750], 100);
    expect(misled.forecast(ROUTE, 0, limits)).toBeGreaterThan(500);
  });
});
