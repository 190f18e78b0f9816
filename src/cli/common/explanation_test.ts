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

describe("formatExplanation", () => {
  it("describes the request and what it is waiting for", () => {
    expect(explain([ASKED])).toEqual([
      "request r1 at bogota-1, from 1970-01-01T00:00:00.000Z",
      "       +0 ms  piel/a requested piel/modelo with class concept " +
      "(99 bytes, at most 10 tokens), excluding e1 after failed attempts",
      "waiting for an endpoint",
    ]);
  });

  it("includes the time and the reason of a refusal", () => {
    const detail = "128 requests are queued";
    const lines = explain([
      ASKED,
      { kind: "refused", atMs: 1_500.4, reason: "queue-full", detail },
    ]);
    expect(lines.slice(2)).toEqual([
      "    +1500 ms  refused: queue-full: 128 requests are queued",
    ]);
  });
});
