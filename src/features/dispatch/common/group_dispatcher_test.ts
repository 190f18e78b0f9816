import fc from "fast-check";
import {
  type Address,
  asId,
  type EndpointId,
  type WorkspaceId,
} from "../../../base/common/ids.ts";
import { SeededRandom } from "../../../base/common/random.ts";
import type { LoadReport } from "../../../services/endpoints/common/engine_client.ts";
import type { GrantEndReason, GrantId, Refusal } from "./dispatcher.ts";
import { GroupDispatcher } from "./group_dispatcher.ts";
import { policyFor } from "./group_policy.ts";
import type { GroupGrant, GroupRequest } from "./group_requests.ts";
import { HistogramLengthModel } from "./length_model.ts";

function endpoint(number: number, isLeaving = false): {
  id: EndpointId;
  address: Address;
  isLeaving: boolean;
} {
  return {
    id: asId<EndpointId>(`e${number}`),
    address: asId<Address>(`127.0.0.1:${number}`),
    isLeaving,
  };
}

function request(changes: Partial<GroupRequest> = {}): GroupRequest {
  return {
    id: asId<GrantId>("g"),
    workspace: asId<WorkspaceId>("team/a"),
    className: "concept",
    maxTokens: 4_000,
    promptTokens: 500,
    blocks: [],
    sizeBytes: 100,
    patienceMs: Infinity,
    excludedEndpoints: [],
    priority: 3,
    starvationMs: 60_000,
    share: 1,
    limit: { tokensPerSecond: undefined, maxConcurrent: undefined },
    ...changes,
  };
}

function report(changes: Partial<LoadReport> = {}): LoadReport {
  return {
    ageMs: 0,
    running: 0,
    queued: 0,
    memoryUsedTokens: 0,
    memoryTotalTokens: 20_000,
    preemptions: 0,
    incarnation: "1",
    isLeaving: false,
    ...changes,
  };
}

class Harness {
  readonly granted = new Map<GrantId, GroupGrant>();
  readonly refused = new Map<GrantId, Refusal>();
  readonly group: GroupDispatcher;

  constructor(endpoints = 2) {
    this.group = new GroupDispatcher({
      policy: policyFor("stall"),
      lengths: new HistogramLengthModel(),
      random: new SeededRandom(1),
      nowMs: 0,
      listener: {
        onGranted: (grant) => this.granted.set(grant.id, grant),
        onRefused: (id, refusal) => this.refused.set(id, refusal),
      },
    });
    this.group.setEndpoints(
      Array.from({ length: endpoints }, (_, index) => endpoint(index)),
      0,
    );
  }

  ask(id: string, changes: Partial<GroupRequest> = {}, nowMs = 0): GrantId {
    const grantId = asId<GrantId>(id);
    this.group.submit(request({ id: grantId, ...changes }), nowMs);
    return grantId;
  }

  fill(): void {
    for (let count = 0; this.group.queuedCount === 0; count++) {
      this.ask(`fill-${count}`);
    }
  }

  releaseAll(nowMs: number, end: GrantEndReason = "completed"): void {
    for (const id of this.granted.keys()) {
      this.group.release({ id, end, generatedTokens: 100 }, nowMs);
    }
  }
}

describe("GroupDispatcher", () => {
  it("settles each request once and leaks no memory, in any order", () => {
    const step = fc.record({
      kind: fc.constantFrom(
        "request",
        "progress",
        "release",
        "abandon",
        "report",
        "leave",
        "adopt",
        "takeover",
        "tick",
      ),
      id: fc.integer({ min: 0, max: 30 }).map((n) => asId<GrantId>(`g${n}`)),
      number: fc.integer({ min: 0, max: 3 }),
      tokens: fc.integer({ min: 0, max: 20_000 }),
      end: fc.constantFrom<GrantEndReason>(
        "completed",
        "not-run",
        "failed",
        "cancelled",
      ),
      patienceMs: fc.constantFrom(0, 50, 1_000, Infinity),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 150 }), (steps) => {
        const harness = new Harness(3);
        const { group } = harness;
        let nowMs = 0;
        for (const { kind, id, number, tokens, end, patienceMs } of steps) {
          nowMs += tokens % 100;
          const asked = request({ id, promptTokens: tokens, patienceMs });
          const release = { id, end, generatedTokens: tokens };
          if (kind === "request") group.submit(asked, nowMs);
          else if (kind === "progress") group.recordProgress(id, tokens);
          else if (kind === "release") group.release(release, nowMs);
          else if (kind === "abandon") group.abandon(id);
          else if (kind === "takeover") group.beginTakeover(nowMs + 2_000);
          else if (kind === "tick") group.tick(nowMs);
          else if (kind === "report") {
            const ageMs = tokens;
            group.onLoadReport(
              endpoint(number).id,
              report({ ageMs, memoryUsedTokens: tokens }),
              nowMs,
            );
          } else if (kind === "leave") {
            group.setEndpoints(
              [0, 1, 2].map((other) => endpoint(other, other === number)),
              nowMs,
            );
          } else {
            group.adoptGrant({
              request: asked,
              endpoint: endpoint(number).id,
              generatedTokens: tokens,
            }, nowMs);
          }
          const held = group.states.reduce(
            (sum, { reservations: ledger }) => sum + ledger.size,
            0,
          );
          expect(held).toBe(group.runningCount);
          for (const { reservations: ledger } of group.states) {
            expect(Math.min(...ledger.totals.meanTokens))
              .toBeGreaterThanOrEqual(0);
          }
        }
        for (let n = 0; n <= 30; n++) {
          const id = asId<GrantId>(`g${n}`);
          group.abandon(id);
        }
        for (let n = 0; n <= 30; n++) {
          const id = asId<GrantId>(`g${n}`);
          group.release({ id, end: "completed", generatedTokens: 1 }, nowMs);
        }
        expect(group.queuedCount + group.runningCount).toBe(0);
        for (const { reservations: ledger } of group.states) {
          expect(ledger.heldTokens).toBe(0);
        }
      }),
      { seed: 4, numRuns: 150 },
    );
  });

  it("refuses at the deadline, at once when it has passed already", () => {
    const harness = new Harness(1);
    const late = harness.ask("late", { patienceMs: 0 });
    harness.fill();
    const waiting = harness.ask("waiting", { patienceMs: 500 });
    harness.group.tick(499);
    expect(harness.refused.has(waiting)).toBe(false);
    harness.group.tick(500);
    expect(harness.refused.get(late)?.reason).toBe("deadline");
    expect(harness.refused.get(waiting)?.reason).toBe("deadline");
    harness.releaseAll(600);
    expect(harness.granted.has(waiting)).toBe(false);
  });

  it("refuses early when the forecast wait does not fit", () => {
    const harness = new Harness(1);
    harness.fill();
    for (let count = 0; count < 20; count++) harness.ask(`more-${count}`);
    for (let nowMs = 0; nowMs < 10_000; nowMs += 100) harness.group.tick(nowMs);
    const hopeless = harness.ask("hopeless", { patienceMs: 2_000 }, 10_000);
    const refusal = harness.refused.get(hopeless);
    expect(refusal?.reason).toBe("deadline");
    expect(refusal?.retryAfterMs).toBeGreaterThan(1_000);
  });

  it("drops an abandoned request without a decision", () => {
    const harness = new Harness(1);
    harness.fill();
    const gone = harness.ask("gone");
    harness.group.abandon(gone);
    harness.releaseAll(100);
    expect(harness.granted.has(gone)).toBe(false);
    expect(harness.refused.has(gone)).toBe(false);
  });

  it("ejects failing endpoints, but never more than half of a group", () => {
    const harness = new Harness(4);
    for (let count = 0; count < 40; count++) {
      const id = harness.ask(`r${count}`, { maxTokens: 100 });
      if (!harness.granted.has(id)) continue;
      harness.group.release({ id, end: "failed", generatedTokens: 0 }, 0);
    }
    const ejected = harness.group.states.filter((state) => state.isEjected(1));
    expect(ejected).toHaveLength(2);
  });

  it("gives a returned endpoint little work at first", () => {
    const harness = new Harness(1);
    harness.group.setEndpoints([endpoint(0), endpoint(1)], 1_000);
    const [known, added] = harness.group.states;
    expect(added!.usableTokens(1_000, 1)).toBeLessThan(
      known!.usableTokens(1_000, 1) / 4,
    );
    expect(added!.usableTokens(12_000, 1)).toBe(
      known!.usableTokens(12_000, 1),
    );
  });

  it("keeps a larger margin after preemptions", () => {
    const { group } = new Harness(1);
    const { id } = endpoint(0);
    group.onLoadReport(id, report({ preemptions: 5 }), 0);
    const before = group.states[0]!.marginDeviations;
    group.onLoadReport(id, report({ preemptions: 9 }), 1_000);
    expect(group.states[0]!.marginDeviations).toBeGreaterThan(before);
  });

  it("learns the memory of an engine that does not tell it", () => {
    const { group } = new Harness(1);
    const { id } = endpoint(0);
    const unknown = { memoryTotalTokens: undefined };
    const first = group.states[0]!.capacityTokens;
    for (let second = 1; second < 60; second++) {
      const memoryUsedTokens = 14_000 + second * 200;
      group.onLoadReport(id, report({ ...unknown, memoryUsedTokens }), second);
    }
    const grown = group.states[0]!.capacityTokens;
    expect(grown).toBeGreaterThan(first);
    const memoryUsedTokens = grown;
    group.onLoadReport(
      id,
      report({ ...unknown, memoryUsedTokens, preemptions: 2 }),
      100,
    );
    expect(group.states[0]!.capacityTokens).toBeLessThan(grown);
  });

  it("admits at a reduced share until the takeover ends", () => {
    const harness = new Harness(1);
    harness.group.beginTakeover(2_000);
    harness.fill();
    const before = harness.group.runningCount;
    harness.fill();
    for (let count = 0; count < 50; count++) harness.ask(`more-${count}`);
    harness.group.endTakeover(100);
    expect(harness.group.runningCount).toBeGreaterThan(before);
  });

  it("holds a workspace to its limits", () => {
    const harness = new Harness(2);
    const limit = { tokensPerSecond: 10, maxConcurrent: 1 };
    const first = harness.ask("first", { limit });
    const second = harness.ask("second", { limit });
    const other = harness.ask("other", {
      workspace: asId<WorkspaceId>("team/b"),
    });
    expect(harness.granted.has(first)).toBe(true);
    expect(harness.granted.has(other)).toBe(true);
    expect(harness.refused.get(second)?.reason).toBe("rate-limited");
    const slow = { ...limit, tokensPerSecond: 1_000_000 };
    const third = harness.ask("third", { limit: slow });
    expect(harness.granted.has(third)).toBe(false);
  });

  it("prefers the endpoint that holds the prompt's prefix", () => {
    const harness = new Harness(2);
    const blocks = ["a", "b", "c"];
    harness.group.onCacheEvents(endpoint(1).id, {
      events: [{ sequence: 1, kind: "stored", blockHashes: blocks }],
      lastSequence: 1,
      isGapped: false,
    });
    const id = harness.ask("cached", { blocks });
    expect(harness.granted.get(id)?.endpoint.id).toBe(endpoint(1).id);
    harness.group.onCacheEvents(endpoint(1).id, {
      events: [],
      lastSequence: 9,
      isGapped: true,
    });
    expect(harness.group.lastCacheSequence(endpoint(1).id)).toBe(9);
    const next = harness.ask("after-gap", { blocks });
    expect(harness.granted.get(next)?.endpoint.id).toBe(endpoint(0).id);
  });
});
