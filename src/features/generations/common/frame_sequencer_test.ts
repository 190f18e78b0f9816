import fc from "fast-check";
import type { EngineFrame } from "../../../services/endpoints/common/engine_client.ts";
import { FrameSequencer } from "./frame_sequencer.ts";

function token(offset: number, generation = "g"): EngineFrame {
  return { kind: "token", generation, offset, text: `t${offset}` };
}

describe("FrameSequencer", () => {
  it("yields every token once and in order, whatever the order of arrival", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 60 }).chain((count) =>
          fc.record({
            count: fc.constant(count),
            arrivals: fc.shuffledSubarray([...Array(count).keys()], {
              minLength: count,
            }),
            repeats: fc.array(fc.nat(count - 1)),
          })
        ),
        ({ count, arrivals, repeats }) => {
          const sequencer = new FrameSequencer("g", 0);
          const yielded = [...arrivals, ...repeats].flatMap((offset) =>
            sequencer.accept([token(offset), token(offset, "other")])
          );
          expect(yielded.map(({ offset }) => offset)).toEqual([
            ...Array(count).keys(),
          ]);
          expect(sequencer.droppedCounts.duplicate).toBe(repeats.length);
          expect(sequencer.droppedCounts.otherGeneration).toBe(
            arrivals.length + repeats.length,
          );
        },
      ),
      { seed: 7 },
    );
  });

  it("tells the end only when every token before it has come", () => {
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
