import type { RequestId } from "../../../../base/common/ids.ts";
import { type AnswerVerdict, judgeAnswer } from "./answer_verdict.ts";
import type { ResponseFields } from "./gateway_codec.ts";

const REQUEST = "r-1" as RequestId;
const OTHER = "r-2" as RequestId;
const PROMISES = [408, 421, 429, 503];

function judge(
  status: number,
  fields: Partial<ResponseFields> = {},
): AnswerVerdict {
  return judgeAnswer(REQUEST, status, {
    isNotRun: false,
    requestId: REQUEST,
    isSigned: true,
    retryAfterMs: undefined,
    isLeaving: false,
    limit: { kind: "none" },
    ...fields,
  });
}

describe("judgeAnswer", () => {
  it.each(PROMISES)(
    "takes %d for a refusal only if it states of this request that it has not run",
    (status) => {
      expect(judge(status, { isNotRun: true })).toBe("refused");
      expect(judge(status)).toBe("unproven");
      expect(judge(status, { isNotRun: true, requestId: undefined }))
        .toBe("unproven");
      expect(judge(status, { isNotRun: true, requestId: OTHER })).toBe(
        "foreign",
      );
    },
  );

  it("passes no promise on that it does not prove", () => {
    for (let status = 200; status < 600; status++) {
      for (const isNotRun of [false, true]) {
        for (const requestId of [REQUEST, OTHER, undefined]) {
          const verdict = judge(status, { isNotRun, requestId });
          const isPassedOn = verdict === "answered" || verdict === "invalid";
          expect(isPassedOn && PROMISES.includes(status)).toBe(false);
          const isProof = isNotRun && requestId === REQUEST;
          expect(verdict === "refused" && !isProof).toBe(false);
        }
      }
    }
  });

  it("passes on what is no promise, and takes it for no proof", () => {
    for (const status of [404, 500, 502, 504]) {
      expect(judge(status)).toBe("answered");
      expect(judge(status, { isNotRun: true })).toBe("answered");
    }
    expect(judge(200, { isNotRun: true })).toBe("answered");
  });

  it("passes on that a request is malformed", () => {
    expect(judge(400, { isNotRun: true })).toBe("invalid");
    expect(judge(400)).toBe("answered");
  });

  it("passes on no success without a signature", () => {
    for (const status of [200, 204, 206]) {
      expect(judge(status, { isSigned: false })).toBe("unproven");
    }
  });

  it("takes an answer that names another request for nobody's", () => {
    for (const status of [200, 400, 404, 500, 503]) {
      expect(judge(status, { requestId: OTHER })).toBe("foreign");
    }
  });
});
