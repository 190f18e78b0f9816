import type { TimedDecision } from "../../features/explain/common/decision_log.ts";
import { formatExplanation } from "./explanation.ts";

const ASKED: TimedDecision = {
  kind: "asked",
  atMs: 0,
  service: "piel/modelo",
  workspace: "piel/a",
  className: "concept",
  sizeBytes: 99,
  maxTokens: 10,
  excludedEndpoints: ["e1"],
};

function explain(decisions: readonly TimedDecision[]): string[] {
  return formatExplanation({ host: "bogota-1", requestId: "r1", decisions });
}

describe("an explanation", () => {
  it("says who asked for what, and that it still waits", () => {
    expect(explain([ASKED])).toEqual([
      "request r1 at bogota-1, from 1970-01-01T00:00:00.000Z",
      "       +0 ms  piel/a asked for piel/modelo as concept " +
      "(99 bytes, at most 10 tokens), without e1 that failed it before",
      "it waits for an endpoint now",
    ]);
  });

  it("says when and why it was refused", () => {
    const detail = "128 requests wait";
    const lines = explain([
      ASKED,
      { kind: "refused", atMs: 1_500.4, reason: "queue-full", detail },
    ]);
    expect(lines.slice(2)).toEqual([
      "    +1500 ms  refused: queue-full: 128 requests wait",
    ]);
  });
});
