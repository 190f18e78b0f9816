import { request } from "node:http";
import { sleep } from "../../src/base/common/clock.ts";
import { BenchCallers } from "./bench_callers.ts";
import { BENCH_API_KEY, LoopbackDeployment } from "./loopback_deployment.ts";

const LONG_TOKENS = 8_000;
const READ_PAUSE_MS = 1_500;

/**
 * Starts a stream, reads nothing until `onPaused` has resolved, and then reads
 * the whole body.
 */
function readAfterPause(
  deployment: LoopbackDeployment,
  onPaused: () => Promise<void>,
): Promise<string> {
  const [ip, port] = deployment.daemons[0]!.callerAddress.split(":");
  return new Promise((resolve, reject) => {
    const sent = request({
      host: ip,
      port,
      method: "POST",
      path: "/v1/completions",
      headers: {
        authorization: `Bearer ${BENCH_API_KEY}`,
        "content-type": "application/json",
      },
    }, (response) => {
      void onPaused().then(() => {
        let text = "";
        response.setEncoding("utf8");
        response.on("data", (chunk: string) => {
          text += chunk;
        });
        response.on("end", () => resolve(text));
      });
    });
    sent.on("error", reject);
    sent.end(JSON.stringify({
      model: "m",
      prompt: `long #tokens=${LONG_TOKENS}`,
      stream: true,
      max_tokens: LONG_TOKENS,
    }));
  });
}

describe("a caller that stops reading its stream", () => {
  it("delays no other caller, and gets each token once after resuming", async () => {
    const deployment = new LoopbackDeployment({ engineStepMs: 0.05 });
    await deployment.start();
    const callers = new BenchCallers({
      clock: deployment.clock,
      pickDaemon: () => deployment.daemons[0]!.callerAddress,
      onToken: () => undefined,
      onResumed: () => undefined,
    });
    const text = await readAfterPause(deployment, async () => {
      await sleep(deployment.clock, READ_PAUSE_MS);
      const others = await Promise.all(
        [1, 2, 3, 4].map((number) =>
          callers.streamGeneration(`other ${number}`)
        ),
      );
      expect(others.map(({ outcome }) => outcome))
        .toEqual(Array(4).fill("completed"));
    });
    await callers.close();
    await deployment.stop();
    const offsets = [...text.matchAll(/^id: .*:(\d+)$/gm)].map(([, offset]) =>
      Number(offset)
    );
    expect(offsets).toEqual([...Array(LONG_TOKENS).keys()]);
    expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
  });
});
