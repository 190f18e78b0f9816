import type { DaemonCore } from "../common/daemon_core.ts";
import {
  createOperatorServer,
  type QuarantineAdmin,
} from "./operator_server.ts";

const KEY = "operator-key-of-the-test";
const FINGERPRINT = "f00d";

function createServer(quarantine: QuarantineAdmin | undefined) {
  return createOperatorServer({
    core: {} as DaemonCore,
    host: "bogota-1",
    zone: "sala-bogota",
    operatorKey: KEY,
    readMetrics: () => {
      throw new Error("not asked for");
    },
    requestDrain: () => undefined,
    ...(quarantine ? { quarantine } : {}),
  });
}

describe("the quarantine at the operator port", () => {
  const headers = { authorization: `Bearer ${KEY}` };
  const released: string[] = [];
  const requests = [{
    fingerprint: FINGERPRINT,
    workspace: "piel/a",
    untilMs: 5,
    endpoints: ["e1"],
  }];
  const server = createServer({
    list: () => requests,
    release: (fingerprint) => {
      released.push(fingerprint);
      return fingerprint === FINGERPRINT;
    },
  });

  it("is listed and released with the operator key only", async () => {
    const refused = await server.inject({ url: "/quarantine" });
    expect(refused.statusCode).toBe(401);
    const listed = await server.inject({ url: "/quarantine", headers });
    expect(listed.json()).toEqual({ host: "bogota-1", requests });
    const statusCodes = [];
    for (const fingerprint of [FINGERPRINT, "other"]) {
      const url = `/quarantine/${fingerprint}/release`;
      const answer = await server.inject({ method: "POST", url, headers });
      statusCodes.push(answer.statusCode);
    }
    expect(statusCodes).toEqual([200, 404]);
    expect(released).toEqual([FINGERPRINT, "other"]);
  });

  it("is not there when the daemon has none", async () => {
    const answer = await createServer(undefined)
      .inject({ url: "/quarantine", headers });
    expect(answer.statusCode).toBe(404);
  });
});
