import fc from "fast-check";
import { asId, type WorkspaceId } from "../../../base/common/ids.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";

function item(changes: Partial<QueueItem> = {}): QueueItem {
  return {
    workspace: asId<WorkspaceId>("team/a"),
    className: "concept",
    priority: 3,
    starvationMs: 60_000,
    share: 1,
    enqueuedMs: 0,
    deadlineMs: Infinity,
    workTokens: 100,
    sizeBytes: 10,
    ...changes,
  };
}

function takeNext(
  queue: FairQueue<QueueItem>,
  nowMs = 0,
): QueueItem | undefined {
  return queue.serveNext(nowMs, 1, () => "taken");
}

describe("FairQueue", () => {
  it("shares service by weight while all workspaces wait", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 5 }), {
          minLength: 2,
          maxLength: 5,
        }),
        fc.array(fc.integer({ min: 1, max: 500 }), {
          minLength: 200,
          maxLength: 200,
        }),
        (shares, works) => {
          const queue = new FairQueue<QueueItem>();
          shares.forEach((share, index) => {
            const workspace = asId<WorkspaceId>(`team/${index}`);
            for (const workTokens of works) {
              queue.push(item({ workspace, share, workTokens }));
            }
          });
          const served = new Map<string, number>();
          for (let count = 0; count < 150; count++) {
            const { workspace, workTokens, share } = takeNext(queue)!;
            const sum = served.get(workspace) ?? 0;
            served.set(workspace, sum + workTokens / share);
          }
          const sums = shares.map((_, index) =>
            served.get(`team/${index}`) ?? 0
          );
          // Start-time fair queueing lets two flows differ by one item each.
          expect(Math.max(...sums) - Math.min(...sums)).toBeLessThanOrEqual(
            2 * 500,
          );
        },
      ),
      { seed: 2, numRuns: 50 },
    );
  });

  it("serves higher classes first and starved requests before them", () => {
    const queue = new FairQueue<QueueItem>();
    const old = item({ starvationMs: 1_000 });
    const urgent = item({
      className: "caption",
      priority: 7,
      enqueuedMs: 500,
    });
    queue.push(old);
    queue.push(urgent);
    expect(queue.serveNext(900, 1, () => "wait")).toBeUndefined();
    const offered: QueueItem[] = [];
    queue.serveNext(900, 1, (next) => {
      offered.push(next);
      return "skip";
    });
    expect(offered).toEqual([urgent, old]);
    expect(takeNext(queue, 1_000)).toBe(old);
    expect(takeNext(queue, 1_000)).toBe(urgent);
  });

  it("gives back every expired item once and keeps exact sums", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            deadlineMs: fc.integer({ min: 0, max: 100 }),
            isAbandoned: fc.boolean(),
          }),
          { maxLength: 100 },
        ),
        (plans) => {
          const queue = new FairQueue<QueueItem>();
          const items = plans.map(({ deadlineMs, isAbandoned }) => {
            const next = item({ deadlineMs });
            queue.push(next);
            return { next, isAbandoned };
          });
          for (const { next, isAbandoned } of items) {
            if (isAbandoned) queue.remove(next, false);
          }
          const expired = queue.removeExpired(50);
          const wanted = items.filter(({ next, isAbandoned }) =>
            !isAbandoned && next.deadlineMs <= 50
          );
          expect(new Set(expired)).toEqual(
            new Set(wanted.map(({ next }) => next)),
          );
          while (queue.size > 0) takeNext(queue);
          expect(queue.sizeBytes).toBe(0);
          expect(queue.workAhead(item())).toBe(0);
        },
      ),
      { seed: 3, numRuns: 100 },
    );
  });

  it("does not let one workspace hold up the others", () => {
    const queue = new FairQueue<QueueItem>();
    for (let count = 0; count < 50; count++) queue.push(item());
    const other = item({ workspace: asId<WorkspaceId>("team/b") });
    queue.push(other);
    const first = [takeNext(queue), takeNext(queue), takeNext(queue)];
    expect(first).toContain(other);
    expect(queue.workAhead(item({ workspace: asId<WorkspaceId>("team/c") })))
      .toBeLessThanOrEqual(200);
  });
});
