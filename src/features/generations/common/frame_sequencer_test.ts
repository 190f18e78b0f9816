import fc from "fast-check";
import type { EngineFrame } from "../../../services/endpoints/common/engine_client.ts";
import { FrameSequencer } from "./frame_sequencer.ts";

function token(offset: number, generation = "g"): EngineFrame {
  return { kind: "token", generation, offset, text: `t${offset}` };
}

describe("FrameSequencer", () => {
  it("returns every token once and in order, regardless of arrival order", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 60 }).chain((count) =>
          fc.record({
            count: fc.constant(count),
            arrivals: fc.shuffledSubarray([...Array(count).keys()], {
              minLength: count,
            }),
            duplicates: fc.array(fc.nat(count - 1)),
          })
        ),
        ({ count, arrivals, duplicates }) => {
          const sequencer = new FrameSequencer("g", 0);
          const returned = [...arrivals, ...duplicates].flatMap((offset) =>
            sequencer.accept([token(offset), token(offset, "other")])
          );
          expect(returned.map(({ offset }) => offset)).toEqual([
            ...Array(count).keys(),
          ]);
          expect(sequencer.droppedCounts.duplicate).toBe(duplicates.length);
          expect(sequencer.droppedCounts.otherGeneration).toBe(
            arrivals.length + duplicates.length,
          );
        },
      ),
      { seed: 7 },
    );
  });

  it("reports the finish reason only after all tokens were returned", () => {
    const sequencer = new FrameSequencer("g", 0);
    sequencer.accept([token(1), {
      kind: "end",
      generation: "g",
      offset: 2,
      finish: "stop",
    }]);
    expect(sequencer.finish).toBeUndefined();
    sequencer.accept([token(0)]);
    expect(sequencer.finish).toBe("stop");
  });
});
