import { createStreamRecord, resumeChat, streamChat } from "./demo_caller.ts";
import { DemoDeployment } from "./demo_deployment.ts";

const TOKENS = 150;

describe("a drain that reaches its deadline", () => {
  it("ends, and the stream that it closed goes on at another host", async () => {
    const deployment = new DemoDeployment(100);
    await deployment.start();
    deployment.store.put({
      key: "config/teams/taranga",
      value: deployment.teamDocument(),
      expectedRevision: 0,
    });
    expect(await deployment.waitUntilReady()).toBe(true);
    const [first, second] = deployment.daemons;
    const received = createStreamRecord();
    const stream = streamChat(
      first!.callerAddress,
      `draft #tokens=${TOKENS}`,
      "timetable",
      received,
    );
    while (received.texts.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    await first!.drainAndStop();
    await stream;
    expect(received.isDone).toBe(false);
    await resumeChat(second!.callerAddress, received);
    expect(received.isDone).toBe(true);
    expect(received.texts).toHaveLength(TOKENS);
    await deployment.stop();
  });
});
