import { createSocket } from "node:dgram";
import { once } from "node:events";
import { ManualClock } from "../../../base/common/clock.ts";
import { StatsdSink } from "./statsd_sink.ts";

describe("StatsdSink", () => {
  it("sends samples up to the limit and all counts, with tags", async () => {
    const agent = createSocket("udp4");
    agent.bind(0, "127.0.0.1");
    await once(agent, "listening");
    const received: string[] = [];
    agent.on("message", (message) => {
      received.push(...message.toString().split("\n").filter(Boolean));
    });
    const clock = new ManualClock();
    const address = { ip: "127.0.0.1", port: agent.address().port };
    const sink = new StatsdSink(clock, address, { host: "h", zone: "z" });
    const labels = { service: "t/s", workspace: "t/w", className: "c" };
    for (let count = 0; count < 600; count++) {
      sink.sample("firstTokenMs", count, labels);
      sink.countEnd("completed", labels);
    }
    clock.advance(1_000);
    sink.dispose();
    while (!received.some((line) => line.startsWith("ragwort.requests"))) {
      await once(agent, "message");
    }
    agent.close();
    const tags = "#host:h,zone:z,service:t/s,workspace:t/w,class:c";
    const samples = received.filter((line) => line.includes("first_token_ms"));
    expect(samples).toHaveLength(500);
    expect(samples[7]).toBe(`ragwort.first_token_ms:7|h|${tags}`);
    expect(received).toContain(
      `ragwort.requests:600|c|${tags},outcome:completed`,
    );
    expect(received.join()).toContain("ragwort.samples_dropped:100|c");
  });
});
