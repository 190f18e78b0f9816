import { ManualClock } from "../../src/base/common/clock.ts";
import { asId, type TeamName } from "../../src/base/common/ids.ts";
import { leftOf, rightOf } from "../../src/base/common/result.ts";
import { readHistory } from "../../src/features/configuration/common/configuration_history.ts";
import {
  deleteDocument,
  isTombstone,
  writeDocument,
} from "../../src/features/configuration/common/configuration_writer.ts";
import { InProcessStoreClient } from "./in_process_store_client.ts";
import { KvStore } from "./kv_store.ts";

const TEAM = asId<TeamName>("taranga");
const OTHER_TEAM = asId<TeamName>("piel");

function createBookingDocument(prefix: string, keyDigit = "a"): string {
  return JSON.stringify({
    workspaces: { w: { apiKeyHashes: [keyDigit.repeat(64)] } },
    services: { app: { kind: "app" } },
    classes: { c: { priority: 1 } },
    routes: [{ kind: "call", prefix, service: "app", classes: ["c"] }],
  });
}

describe("configuration writer", () => {
  let changes = 0;
  let kv: KvStore;
  let clock: ManualClock;
  let store: InProcessStoreClient;

  beforeEach(() => {
    clock = new ManualClock();
    kv = new KvStore(clock);
    store = new InProcessStoreClient(clock, kv);
  });

  async function run<T>(work: Promise<T>): Promise<T> {
    await clock.advanceAsync(10_000);
    return await work;
  }

  const write = (team: TeamName, text: string, expectedRevision: number) =>
    run(writeDocument(store, {
      ...{ team, text, expectedRevision },
      changeId: `change-${changes++}`,
    }));

  it("rejects a document whose prefix or API key is used by another team", async () => {
    await write(TEAM, createBookingDocument("/bookings", "a"), 0);
    for (
      const [prefix, key] of [["/bookings", "b"], ["/bookings/x", "b"], [
        "/proofs",
        "a",
      ]] as const
    ) {
      const refused = leftOf(
        await write(OTHER_TEAM, createBookingDocument(prefix, key), 0),
      );
      expect(refused).toMatchObject({
        kind: "mistakes",
        mistakes: [{ message: expect.stringContaining("taranga") }],
      });
    }
    const accepted = await write(
      OTHER_TEAM,
      createBookingDocument("/bookings2", "b"),
      0,
    );
    expect(accepted.isRight()).toBe(true);
  });

  it("returns the current entry when a concurrent change was written first", async () => {
    const first = rightOf(await write(TEAM, createBookingDocument("/one"), 0))!;
    const text = createBookingDocument("/two");
    const lost = leftOf(await write(TEAM, text, 0));
    expect(lost).toMatchObject({
      kind: "conflict",
      current: { revision: first, value: expect.stringContaining("/one") },
    });
  });

  it("determines the result of a write whose answer was lost", async () => {
    kv.faults.loseWriteAnswers = 1;
    const accepted = rightOf(
      await write(TEAM, createBookingDocument("/one"), 0),
    );
    expect(accepted).toBe(kv.get("config/teams/taranga")?.revision);
  });

  it("keeps a bounded number of replaced revisions in the history", async () => {
    let revision = 0;
    const written: number[] = [];
    for (let number = 0; number < 25; number++) {
      revision = rightOf(
        await write(TEAM, createBookingDocument(`/p${number}`), revision),
      )!;
      written.unshift(revision);
    }
    const history = rightOf(await run(readHistory(store, TEAM)))!;
    expect(history.map((entry) => entry.revision)).toEqual(
      written.slice(1, 21),
    );
  });

  it("writes a tombstone when a document is deleted", async () => {
    const expectedRevision = rightOf(
      await write(TEAM, createBookingDocument("/one"), 0),
    )!;
    const deletion = { team: TEAM, expectedRevision, changeId: "d" };
    await run(deleteDocument(store, deletion));
    expect(isTombstone(kv.get("config/teams/taranga")!.value)).toBe(true);
  });
});
