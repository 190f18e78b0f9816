import type { ClaimState } from "./claim_record.ts";
import type { ClaimOperation, EndOperation } from "./claim_operation.ts";
import { ShardHeadBuilder, type ShardLimits } from "./shard_head_builder.ts";
import {
  decodeHead,
  EMPTY_HEAD,
  encodeHead,
  type ShardHead,
  ShardSnapshot,
} from "./shard_state.ts";

const LIMITS: ShardLimits = {
  keepMs: 10_000,
  sealThresholdBytes: 400,
  maxSegments: 2,
  maxHeadBytes: 1_200,
};

function claimOf(key: string, nonce = `n-${key}`): ClaimOperation {
  return {
    kind: "claim",
    key,
    nonce,
    fingerprint: "f",
    host: "h",
    maxRunMs: 100,
  };
}

function endOf(key: string, state: EndOperation["state"]): EndOperation {
  const { fingerprint, nonce, host } = claimOf(key);
  return { kind: "end", key, fingerprint, nonce, host, state };
}

function builderOf(head: ShardHead, nowMs: number): ShardHeadBuilder {
  return new ShardHeadBuilder(new ShardSnapshot(head, new Map()), LIMITS, {
    nowMs,
    hasHolderEnded: () => false,
  });
}

function commitHead(draft: ShardHeadBuilder): ShardHead {
  return decodeHead(encodeHead(draft.segments, draft.records.values()), 1);
}

const DONE: ClaimState & EndOperation["state"] = {
  kind: "done",
  answer: { status: 200, headers: [], bodyBase64: "eA==" },
};

describe("shard draft", () => {
  it("answers repeats from what was committed", () => {
    const first = builderOf(EMPTY_HEAD, 0);
    expect(first.apply(claimOf("a")).kind).toBe("held");
    const second = builderOf(commitHead(first), 1);
    expect(second.apply(claimOf("a")).kind).toBe("held");
    expect(second.apply(claimOf("a", "other")).kind).toBe("in-progress");
    expect(second.apply({ ...claimOf("a", "x"), fingerprint: "g" }).kind)
      .toBe("mismatch");
    expect(second.isChanged).toBe(false);
    second.apply(endOf("a", DONE));
    const third = builderOf(commitHead(second), 2);
    expect(third.apply(claimOf("a", "other"))).toEqual(DONE);
  });

  it("never holds a claim again that was given up", () => {
    const draft = builderOf(EMPTY_HEAD, 0);
    draft.apply(endOf("a", { kind: "free" }));
    expect(draft.apply(claimOf("a")).kind).toBe("stale");
    expect(draft.apply(claimOf("a", "other")).kind).toBe("held");
  });

  it("makes a run unknown whose time is long over, and takes its late end", () => {
    const first = builderOf(EMPTY_HEAD, 0);
    first.apply(claimOf("a"));
    const second = builderOf(commitHead(first), 9_000);
    expect(second.apply(claimOf("a", "other")).kind).toBe("unknown");
    second.apply(endOf("a", DONE));
    expect(second.apply(claimOf("a", "other"))).toEqual(DONE);
  });

  it("drops expired records and segments", () => {
    const first = builderOf(EMPTY_HEAD, 0);
    first.apply(claimOf("a"));
    first.apply(endOf("a", DONE));
    first.seal("segment");
    first.apply(claimOf("b"));
    first.apply(endOf("b", DONE));
    const second = builderOf(commitHead(first), LIMITS.keepMs);
    expect(second.expiredSegments.map(({ key }) => key)).toEqual(["segment"]);
    expect(second.records.size).toBe(0);
    expect(second.apply(claimOf("b", "other")).kind).toBe("held");
  });

  it("does not forget a run that may still go on", () => {
    const first = builderOf(EMPTY_HEAD, 0);
    first.apply({ ...claimOf("a"), maxRunMs: 2 * LIMITS.keepMs });
    first.seal("segment");
    first.apply({ ...claimOf("b"), maxRunMs: 2 * LIMITS.keepMs });
    const second = builderOf(commitHead(first), 2 * LIMITS.keepMs);
    expect(second.expiredSegments).toEqual([]);
    expect(second.apply(claimOf("b", "other")).kind).toBe("in-progress");
  });

  it("refuses new keys when it is full, but still takes ends", () => {
    const draft = builderOf(EMPTY_HEAD, 0);
    draft.seal("one");
    draft.seal("two");
    const keys = [..."abcdefgh"];
    const results = keys.map((key) => draft.apply(claimOf(key)).kind);
    expect(results.filter((kind) => kind === "held").length).toBeGreaterThan(0);
    expect(results.at(-1)).toBe("full");
    expect(draft.needsSeal).toBe(false);
    expect(draft.apply(endOf("a", DONE)).kind).toBe("ended");
    expect(draft.apply(claimOf("a", "other"))).toEqual({ kind: "done" });
  });
});
