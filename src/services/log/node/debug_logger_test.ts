import { ManualClock } from "../../../base/common/clock.ts";
import { DebugLogger, enableLogLevels } from "./debug_logger.ts";

describe("DebugLogger", () => {
  let written: string[] = [];

  beforeEach(() => {
    written = [];
    jest.spyOn(process.stderr, "write").mockImplementation((line) => {
      written.push(String(line));
      return true;
    });
  });

  afterEach(() => {
    jest.restoreAllMocks();
    enableLogLevels([]);
  });

  it("writes one JSON object per line for fields with special characters", () => {
    enableLogLevels(["warn"]);
    const logger = new DebugLogger(new ManualClock(0), "bogota-1");
    const detail = 'a %o %s %% {b} "c"\nd \u001b[0m }';
    logger.log("warn", "peer-link-closed", { detail, waitMs: 5 });
    expect(written).toHaveLength(1);
    expect(written[0]!.split("\n")).toHaveLength(2);
    expect(JSON.parse(written[0]!)).toEqual({
      time: "1970-01-01T00:00:00.000Z",
      level: "warn",
      host: "bogota-1",
      event: "peer-link-closed",
      detail,
      waitMs: 5,
    });
  });

  it("writes only enabled levels", () => {
    enableLogLevels(["error"]);
    const logger = new DebugLogger(new ManualClock(), "bogota-1");
    logger.log("info", "drain-started");
    logger.log("error", "config-document-refused");
    expect(written).toHaveLength(1);
  });
});
