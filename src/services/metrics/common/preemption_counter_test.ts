import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type ServiceId } from "../../../base/common/ids.ts";
import type {
  Endpoint,
  LoadReport,
} from "../../endpoints/common/engine_client.ts";
import { ALL_CLASSES } from "./metrics_snapshot.ts";
import { HistogramMetrics } from "./histogram_metrics.ts";
import { PreemptionCounter } from "./preemption_counter.ts";
import { NOOP_SAMPLE_SINK } from "./sample_sink.ts";

describe("preemptions", () => {
  it("are counted by service from sums, across restarts of engines", () => {
    const owner = { host: "h", zone: "z" };
    const metrics = new HistogramMetrics(
      new ManualClock(),
      owner,
      NOOP_SAMPLE_SINK,
    );
    const service = asId<ServiceId>("piel/taller-modelo");
    const counter = new PreemptionCounter(metrics, () => service);
    const endpoint = { id: "e1", address: "127.0.0.1:1" } as Endpoint;
    for (const preemptions of [100, 100, 103, 2, 2]) {
      counter.record(endpoint, { preemptions } as LoadReport);
    }
    expect(metrics.toSnapshot().series).toMatchObject([
      { service, className: ALL_CLASSES, preemptions: 5 },
    ]);
  });
});
