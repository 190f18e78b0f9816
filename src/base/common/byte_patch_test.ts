import fc from "fast-check";
import { applyPatch, createPatch, isPatch, patchBytes } from "./byte_patch.ts";
import { rightOf } from "./result.ts";

const MAX_BYTES = 10_000_000;

function bytesOf(text: string): Uint8Array {
  return new TextEncoder().encode(text);
}

/** A document with routes that resemble each other. */
function routes(count: number, version: number): Record<string, unknown> {
  const entries = Array.from({ length: count }, (_, index) => [
    `route-${index}`,
    { host: `a${index % 97}.example`, prefix: `/p${index}/`, timeoutMs: 1_500 },
  ]);
  return { version, routes: Object.fromEntries(entries) };
}

function expectRoundTrip(base: Uint8Array, target: Uint8Array): number {
  const patch = createPatch(base, target);
  expect(isPatch(patch)).toBe(true);
  expect(rightOf(applyPatch(base, patch, MAX_BYTES))).toEqual(target);
  return patchBytes(patch);
}

describe("a byte patch", () => {
  it("yields the target from the base, whatever they hold", () => {
    const piece = fc.constantFrom("a".repeat(40), "route,".repeat(9), "x", "");
    const text = fc.array(fc.oneof(piece, fc.string()), { maxLength: 40 })
      .map((pieces) => bytesOf(pieces.join("")));
    fc.assert(
      fc.property(text, text, (base, target) => {
        expectRoundTrip(base, target);
      }),
      { seed: 7, numRuns: 500 },
    );
  });

  it.each([100, 1_400, 10_000])(
    "takes few bytes for a few changes among %i routes",
    (count) => {
      const before = routes(count, 8);
      const after = routes(count, 1_234);
      const list = after["routes"] as Record<string, Record<string, unknown>>;
      list[`route-${count >> 1}`]!["timeoutMs"] = 12_000;
      delete list["route-20"];
      list["added"] = { host: "b.example", prefix: "/new/", timeoutMs: 7 };
      const [base, target] = [before, after].map((one) =>
        bytesOf(JSON.stringify(one))
      );
      expect(expectRoundTrip(base!, target!)).toBeLessThan(1_000);
    },
  );

  it("does not fit a base that is too short", () => {
    const base = bytesOf("a".repeat(100));
    const patch = createPatch(base, bytesOf("a".repeat(100) + "b"));
    expect(applyPatch(base.subarray(50), patch, MAX_BYTES).isLeft()).toBe(true);
  });

  it("is refused if its result is too large", () => {
    const base = new Uint8Array(1_000);
    const patch = Array.from({ length: 50 }, () => [0, 1_000] as const);
    expect(applyPatch(base, patch, 49_999).isLeft()).toBe(true);
    expect(applyPatch(base, patch, 50_000).isRight()).toBe(true);
  });

  it.each([null, [null], [[1]], [[-1, 2]], [[1, 2.5]], [["a", 1]], ["text"]])(
    "is refused if it is malformed: %j",
    (value) => expect(isPatch(value)).toBe(false),
  );
});
