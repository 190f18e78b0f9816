import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type RequestId } from "../../../base/common/ids.ts";
import { Right } from "../../../base/common/result.ts";
import type {
  Dispatcher,
  Grant,
  GrantRequest,
} from "../../dispatch/common/dispatcher.ts";
import { DecisionLog } from "./decision_log.ts";
import { RecordingDispatcher } from "./recording_dispatcher.ts";

const SECRET_PROMPT = "slogan that nobody may read";

describe("the record of decisions", () => {
  it("keeps the newest requests and a bounded number of decisions", () => {
    const log = new DecisionLog(new ManualClock());
    for (let index = 0; index < 5_000; index++) {
      log.add(asId<RequestId>(`r${index}`), { kind: "caller-gone" });
    }
    const last = asId<RequestId>("r4999");
    for (let index = 0; index < 100; index++) {
      log.add(last, { kind: "caller-gone" });
    }
    log.add(last, {
      kind: "ended",
      outcome: "completed",
      detail: "",
      deliveredTokens: 1,
    });
    expect(log.find(asId<RequestId>("r0"))).toBeUndefined();
    expect(log.find(asId<RequestId>("r1000"))).toHaveLength(1);
    expect(log.find(last)).toHaveLength(25);
    expect(log.find(last)?.at(-1)?.kind).toBe("ended");
  });

  it("tells from ask to release why a request went where it went", async () => {
    const clock = new ManualClock(1_000);
    const log = new DecisionLog(clock);
    const grant = {
      id: "g1",
      endpoint: { id: "engine-1", address: "127.0.0.1:1" },
      priority: 3,
      waitMs: 250,
    } as unknown as Grant;
    const inner: Dispatcher = {
      acquire: () => Promise.resolve(Right(grant)),
      reportProgress: () => undefined,
      release: () => undefined,
    };
    const dispatcher = new RecordingDispatcher(inner, log);
    const requestId = asId<RequestId>("r1");
    const request = {
      requestId,
      service: "piel/modelo",
      workspace: "piel/a",
      className: "concept",
      prompt: SECRET_PROMPT,
      maxTokens: 10,
      sizeBytes: 99,
      deadlineMs: undefined,
      excludedEndpoints: [],
    } as unknown as GrantRequest;
    await dispatcher.acquire(request, new AbortController().signal);
    clock.advance(50);
    dispatcher.release(grant.id, "completed", 7);
    dispatcher.release(grant.id, "completed", 7);
    const decisions = log.find(requestId) ?? [];
    expect(decisions.map(({ kind, atMs }) => [kind, atMs])).toEqual([
      ["asked", 1_000],
      ["granted", 1_000],
      ["released", 1_050],
    ]);
    expect(JSON.stringify(decisions)).not.toContain(SECRET_PROMPT);
  });
});
