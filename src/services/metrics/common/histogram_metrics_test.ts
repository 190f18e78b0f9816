import { ManualClock } from "../../../base/common/clock.ts";
import {
  asId,
  type ServiceId,
  type WorkspaceId,
} from "../../../base/common/ids.ts";
import {
  countRequests,
  mergeSeries,
  OTHER_WORKSPACES,
} from "./metrics_snapshot.ts";
import {
  HistogramMetrics,
  MAX_TRACKED_WORKSPACES,
} from "./histogram_metrics.ts";
import { NOOP_SAMPLE_SINK } from "./sample_sink.ts";

const RANKING_PERIOD_MS = 60_000;
const DAEMON_LABELS = { host: "bogota-1", zone: "sala-bogota" };

function labelsOf(workspace: string, className = "concept") {
  return {
    service: asId<ServiceId>("piel/taller-modelo"),
    workspace: asId<WorkspaceId>(workspace),
    className,
  };
}

function recordRequest(metrics: HistogramMetrics, workspace: string): void {
  const recorder = metrics.forRequest(labelsOf(workspace));
  recorder.recordFirstToken(100);
  recorder.recordEnd("completed", 10);
}

describe("HistogramMetrics", () => {
  it("records each workspace and class in its own series, which can be merged", () => {
    const metrics = new HistogramMetrics(
      new ManualClock(),
      DAEMON_LABELS,
      NOOP_SAMPLE_SINK,
    );
    recordRequest(metrics, "piel/a");
    recordRequest(metrics, "piel/a");
    metrics.forRequest(labelsOf("piel/b", "caption")).recordEnd("not-run", 0);
    const { series } = metrics.toSnapshot();
    expect(series.map(({ workspace, className }) => [workspace, className]))
      .toEqual([["piel/a", "concept"], ["piel/b", "caption"]]);
    const merged = mergeSeries(series);
    expect(merged.outcomes).toMatchObject({ "completed": 2, "not-run": 1 });
    expect(merged.histograms.firstTokenMs.count).toBe(2);
  });

  it("limits the series, keeps all counts and tracks workspaces that become busy", () => {
    const clock = new ManualClock();
    const metrics = new HistogramMetrics(
      clock,
      DAEMON_LABELS,
      NOOP_SAMPLE_SINK,
    );
    for (let index = 0; index < MAX_TRACKED_WORKSPACES + 50; index++) {
      recordRequest(metrics, `piel/w${index}`);
    }
    const running = metrics.forRequest(labelsOf("piel/w5"));
    for (let index = 0; index < 9; index++) recordRequest(metrics, "piel/busy");
    clock.advance(RANKING_PERIOD_MS);
    recordRequest(metrics, "piel/busy");
    for (let index = 0; index < 9; index++) recordRequest(metrics, "piel/busy");
    clock.advance(RANKING_PERIOD_MS);
    recordRequest(metrics, "piel/busy");
    running.recordEnd("interrupted", 3);
    const { series } = metrics.toSnapshot();
    const names = series.map(({ workspace }) => workspace);
    expect(names).toContain("piel/busy");
    expect(names).toContain(OTHER_WORKSPACES);
    expect(series.length).toBeLessThanOrEqual(MAX_TRACKED_WORKSPACES + 1);
    expect(countRequests(mergeSeries(series)))
      .toBe(MAX_TRACKED_WORKSPACES + 50 + 20 + 1);
  });
});
