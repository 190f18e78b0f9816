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

const RANK_PERIOD_MS = 60_000;
const OWNER = { host: "bogota-1", zone: "sala-bogota" };

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

describe("histogram metrics", () => {
  it("keep workspaces and classes apart and can be merged", () => {
    const metrics = new HistogramMetrics(
      new ManualClock(),
      OWNER,
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

  it("stay bounded, lose no count, and give room to a workspace that got busy", () => {
    const clock = new ManualClock();
    const metrics = new HistogramMetrics(clock, OWNER, NOOP_SAMPLE_SINK);
    for (let index = 0; index < MAX_TRACKED_WORKSPACES + 50; index++) {
      recordRequest(metrics, `piel/w${index}`);
    }
    const running = metrics.forRequest(labelsOf("piel/w5"));
    for (let index = 0; index < 9; index++) recordRequest(metrics, "piel/late");
    clock.advance(RANK_PERIOD_MS);
    recordRequest(metrics, "piel/late");
    for (let index = 0; index < 9; index++) recordRequest(metrics, "piel/late");
    clock.advance(RANK_PERIOD_MS);
    recordRequest(metrics, "piel/late");
    running.recordEnd("interrupted", 3);
    const { series } = metrics.toSnapshot();
    const names = series.map(({ workspace }) => workspace);
    expect(names).toContain("piel/late");
    expect(names).toContain(OTHER_WORKSPACES);
    expect(series.length).toBeLessThanOrEqual(MAX_TRACKED_WORKSPACES + 1);
    expect(countRequests(mergeSeries(series)))
      .toBe(MAX_TRACKED_WORKSPACES + 50 + 20 + 1);
  });
});
