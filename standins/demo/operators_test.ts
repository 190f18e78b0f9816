import { request } from "undici";
import { asId, type TeamName } from "../../src/base/common/ids.ts";
import { rightOf } from "../../src/base/common/result.ts";
import { writeDocument } from "../../src/features/configuration/common/configuration_writer.ts";
import {
  enableLogLevels,
  setLogOutput,
} from "../../src/services/log/node/debug_logger.ts";
import { EtcdStoreClient } from "../../src/services/store/node/etcd_store_client.ts";
import { book, createStreamRecord, streamChat } from "./demo_caller.ts";
import {
  DEMO_API_KEY,
  DEMO_OPERATOR_KEY,
  DemoDeployment,
} from "./demo_deployment.ts";

/** Warnings that Node itself writes, and how to find their origin. */
const NODE_WARNING_PATTERN = /^\((node:\d+\) |Use `node --trace)/;
const SECRET_TEXT = "asha-has-a-secret";

describe("the operator interface of a deployment", () => {
  const deployment = new DemoDeployment();
  const logLines: string[] = [];
  /** Everything else on standard error, such as warnings of Node. */
  const otherOutput: string[] = [];

  async function fetchOperatorPage(path: string, key = DEMO_OPERATOR_KEY) {
    const response = await request(
      `http://${deployment.daemons[0]!.operatorAddress}${path}`,
      { headers: { authorization: `Bearer ${key}` } },
    );
    return { status: response.statusCode, text: await response.body.text() };
  }

  beforeAll(async () => {
    enableLogLevels(["info", "warn", "error"]);
    setLogOutput({ write: (line) => logLines.push(line) });
    jest.spyOn(process.stderr, "write").mockImplementation((text) => {
      otherOutput.push(String(text));
      return true;
    });
    await deployment.start();
    const store = new EtcdStoreClient([deployment.storeAddress]);
    const written = await writeDocument(store, {
      team: asId<TeamName>("taranga"),
      text: deployment.teamDocument(),
      expectedRevision: 0,
      changeId: "c1",
    });
    store.dispose();
    expect(rightOf(written)).toBeGreaterThan(0);
    await deployment.waitUntilReady();
  });

  afterAll(async () => {
    await deployment.stop();
    jest.restoreAllMocks();
    setLogOutput();
    enableLogLevels([]);
  });

  it("rejects requests without the operator key", async () => {
    for (const path of ["/status", "/figures", "/metrics", "/explain/x"]) {
      expect((await fetchOperatorPage(path, "wrong")).status).toBe(401);
    }
    expect((await fetchOperatorPage("/explain/x")).status).toBe(404);
  });

  it("explains a request by the ID returned to its caller", async () => {
    const { callerAddress } = deployment.daemons[0]!;
    const response = await request(
      `http://${callerAddress}/v1/chat/completions`,
      {
        method: "POST",
        headers: {
          "authorization": `Bearer ${DEMO_API_KEY}`,
          "content-type": "application/json",
        },
        body: JSON.stringify({
          model: "timetable-1",
          messages: [{ role: "user", content: `${SECRET_TEXT} #tokens=3` }],
        }),
      },
    );
    await response.body.text();
    const id = String(response.headers["x-request-id"]);
    const { text } = await fetchOperatorPage(`/explain/${id}`);
    const { decisions } = JSON.parse(text) as {
      readonly decisions: readonly { readonly kind: string }[];
    };
    // For a response that is not streamed, the generation ID is reported only
    // once the generation can no longer be restarted.
    expect(decisions.map(({ kind }) => kind))
      .toEqual(["asked", "granted", "released", "started", "ended"]);
    expect(text).not.toContain(SECRET_TEXT);
  });

  it("counts streams and calls by class in JSON and Prometheus metrics", async () => {
    const { callerAddress } = deployment.daemons[0]!;
    await streamChat(
      callerAddress,
      "x #tokens=9",
      "lookup",
      createStreamRecord(),
    );
    await book(callerAddress, "key-9", SECRET_TEXT);
    const { text } = await fetchOperatorPage("/figures?class=lookup");
    const { series } = JSON.parse(text) as {
      readonly series: readonly { readonly outcomes: object }[];
    };
    expect(series.map(({ outcomes }) => outcomes))
      .toEqual(Array(2).fill(expect.objectContaining({ completed: 1 })));
    const scrape = await fetchOperatorPage("/metrics");
    expect(scrape.text).toMatch(
      /ragwort_output_tokens_sum\{.*class="lookup".*\} 9\n/,
    );
  });

  it("writes log lines as JSON objects without bodies and secrets", () => {
    process.stderr.write("(node:1) Warning: this is no log line\n");
    expect(logLines.length).toBeGreaterThan(3);
    for (const line of logLines) {
      expect(JSON.parse(line)).toMatchObject({
        time: expect.stringMatching(/^\d{4}-.*Z$/),
        level: expect.stringMatching(/^(info|warn|error)$/),
        event: expect.stringMatching(/^[a-z-]+$/),
      });
    }
    const unexplained = otherOutput.filter((text) =>
      !NODE_WARNING_PATTERN.test(text)
    );
    expect(unexplained).toEqual([]);
    const all = [...logLines, ...otherOutput].join("");
    for (const secret of [SECRET_TEXT, DEMO_API_KEY, DEMO_OPERATOR_KEY]) {
      expect(all).not.toContain(secret);
    }
  });
});
