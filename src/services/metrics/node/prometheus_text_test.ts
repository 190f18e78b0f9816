import { createOutcomeCounts } from "../common/metrics_snapshot.ts";
import { createHistogram } from "../common/histogram_names.ts";
import { formatPrometheus } from "./prometheus_text.ts";

describe("Prometheus text", () => {
  it("holds histograms for each class and requests for each workspace", async () => {
    const firstTokenMs = createHistogram("firstTokenMs");
    firstTokenMs.record(100);
    const text = await formatPrometheus({
      host: "bogota-1",
      zone: "sala-bogota",
      nowMs: 0,
      counters: { frames_dropped: 3 },
      series: ["piel/a", "piel/b"].map((workspace) => ({
        service: "piel/modelo",
        workspace,
        className: "concept",
        outcomes: { ...createOutcomeCounts(), completed: 1 },
        preemptions: 2,
        histograms: { firstTokenMs: firstTokenMs.toSnapshot() },
      })),
    });
    const labels = `service="piel/modelo",class="concept"`;
    const owner = `host="bogota-1",zone="sala-bogota"`;
    const name = "ragwort_first_token_seconds";
    expect(text.split("\n")).toEqual(expect.arrayContaining([
      `# TYPE ${name} histogram`,
      `${name}_bucket{${labels},le="0.064",${owner}} 0`,
      `${name}_bucket{${labels},le="0.128",${owner}} 2`,
      `${name}_count{${labels},${owner}} 2`,
      `${name}_sum{${labels},${owner}} 0.2`,
      `ragwort_daemon_frames_dropped_total{${owner}} 3`,
      `ragwort_requests_total{service="piel/modelo",workspace="piel/b",class="concept",outcome="completed",${owner}} 1`,
    ]));
  });
});
