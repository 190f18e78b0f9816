import fc from "fast-check";
import { EventFrameSplitter } from "./event_frame_splitter.ts";

const EVENT = fc.record({
  id: fc.nat(9_999),
  data: fc.stringMatching(/^[a-z :\u00e9]{0,30}$/),
  lineEnd: fc.constantFrom("\n", "\r\n"),
});

describe("EventFrames", () => {
  it("yields the same events however the bytes are split into chunks", () => {
    fc.assert(
      fc.property(
        fc.array(EVENT, { maxLength: 12 }),
        fc.array(fc.integer({ min: 1, max: 25 }), { minLength: 1 }),
        (events, sizes) => {
          const texts = events.map(({ id, data, lineEnd }) =>
            ["event: x", `id: ${id}`, `data: ${data}`, "", ""].join(lineEnd)
          );
          const bytes = Buffer.from(texts.join(""));
          const frames = new EventFrameSplitter();
          const received = [];
          let at = 0;
          for (let turn = 0; at < bytes.length; turn++) {
            const size = sizes[turn % sizes.length]!;
            received.push(...frames.push(bytes.subarray(at, at + size)));
            at += size;
          }
          expect(received.map(({ bytes }) => Buffer.from(bytes).toString()))
            .toEqual(texts);
          expect(received.map(({ id }) => id))
            .toEqual(events.map(({ id }) => String(id)));
          expect(frames.pendingBytes).toBe(0);
        },
      ),
      { seed: 20_261_203, numRuns: 300 },
    );
  });

  it("reports the size of a trailing incomplete event", () => {
    const frames = new EventFrameSplitter();
    frames.push(Buffer.from("id: 1\ndata: x\n\nid: 2\n"));
    expect(frames.pendingBytes).toBe(6);
  });
});
