import { Writable } from "node:stream";
import { ManualClock } from "../../../base/common/clock.ts";
import { LineLogger } from "./line_logger.ts";

class Collector extends Writable {
  readonly lines: string[] = [];
  isStuck = false;

  constructor() {
    super({ highWaterMark: 16 });
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    this.lines.push(chunk.toString());
    if (!this.isStuck) done();
  }
}

describe("LineLogger", () => {
  it("writes one JSON object per line", () => {
    const output = new Collector();
    const logger = new LineLogger(new ManualClock(), "host", output);
    logger.log("info", "request-done", { waitMs: 3, text: 'a "b"\n' });
    expect(JSON.parse(output.lines[0]!)).toMatchObject({
      level: "info",
      host: "host",
      event: "request-done",
      waitMs: 3,
      text: 'a "b"\n',
    });
    expect(output.lines[0]!.trimEnd()).not.toContain("\n");
  });

  it("reserves half of the lines per second for warnings and counts dropped lines", () => {
    const clock = new ManualClock();
    const output = new Collector();
    let dropped = 0;
    const logger = new LineLogger(clock, "host", output, () => dropped++);
    for (let count = 0; count < 1_000; count++) logger.log("info", "a");
    logger.log("warn", "b");
    expect(output.lines.at(-1)).toContain('"b"');
    expect(output.lines.length + dropped).toBe(1_001);
    clock.advance(1_000);
    logger.log("info", "c");
    expect(output.lines.at(-2)).toContain(`"dropped":${dropped}`);
  });

  it("drops lines without blocking when the output is not read", () => {
    const clock = new ManualClock();
    const output = new Collector();
    output.isStuck = true;
    let dropped = 0;
    const logger = new LineLogger(clock, "host", output, () => dropped++);
    for (let second = 0; second < 40; second++) {
      clock.advance(1_000);
      for (let count = 0; count < 200; count++) {
        logger.log("warn", "a", { text: "x".repeat(100) });
      }
    }
    expect(dropped).toBeGreaterThan(1_000);
    expect(output.writableLength).toBeLessThan(600_000);
  });
});
