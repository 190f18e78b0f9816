import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type ServiceId } from "../../../base/common/ids.ts";
import type {
  Endpoint,
  LoadReport,
} from "../../endpoints/common/engine_client.ts";
import { ANY_CLASS } from "./figures.ts";
import { HistogramMetrics } from "./histogram_metrics.ts";
import { PreemptionMeter } from "./preemption_meter.ts";
import { NO_SAMPLE_SINK } from "./sample_sink.ts";

describe("preemptions", () => {
  it("are counted by service from sums, across restarts of engines", () => {
    const owner = { host: "h", zone: "z" };
    const metrics = new HistogramMetrics(
      new ManualClock(),
      owner,
      NO_SAMPLE_SINK,
    );
    const service = asId<ServiceId>("piel/taller-modelo");
    const meter = new PreemptionMeter(metrics, () => service);
    const endpoint = { id: "e1", address: "127.0.0.1:1" } as Endpoint;
    for (const preemptions of [100, 100, 103, 2, 2]) {
      meter.record(endpoint, { preemptions } as LoadReport);
    }
    expect(metrics.toFigures().series).toMatchObject([
      { service, className: ANY_CLASS, preemptions: 5 },
    ]);
  });
});
