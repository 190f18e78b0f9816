import { setTimeout as wait } from "node:timers/promises";
import { GatewayFleet } from "../platform/standins/gateway_fleet.ts";
import { ENDPOINT_PREFIX } from "../platform/store_documents.ts";
import { SeededRandom } from "../src/base/common/random.ts";
import { drawOddEntry } from "./odd_entries.ts";

const HOSTS = ["host-1", "host-2", "host-3"];
const CALL_COUNT = 400;
const CALL_INTERVAL_MS = 10;
const CALLS_PER_ENTRY = 4;
const ERROR_EVENTS = ["request-crashed", "change-crashed", "unexpected-error"];

describe("calls beside odd entries of another writer", () => {
  let fleet: GatewayFleet;

  beforeEach(async () => {
    fleet = new GatewayFleet({
      returnsAs: "new-id",
      returnsAfterMs: 700,
      callDurationMs: 5,
      effectOf: () => ({ kind: "none" }),
    });
    await fleet.start(3);
    for (const host of HOSTS) await fleet.startDaemon(host);
  });

  afterEach(() => fleet.stop());

  // Guards against an entry that ends a host, or that costs calls to sound
  // endpoints their answers (review/6, and ids that no request can name).
  it.each([1, 2])("are all answered, with seed %d", async (seed) => {
    const random = new SeededRandom(seed);
    const { store } = fleet.store;
    const sent: Promise<{ readonly status: number }>[] = [];
    for (let count = 0; count < CALL_COUNT; count++) {
      if (count % CALLS_PER_ENTRY === 0) {
        const { id, text } = drawOddEntry(random, "app", "zone-a");
        const key = `${ENDPOINT_PREFIX}${id}`;
        store.put(key, text);
        if (random.float() < 0.5) store.remove(key);
      }
      const daemon = fleet.daemons[count % fleet.daemons.length]!;
      sent.push(fleet.send(daemon, "/read/x", `b-${count}`));
      await wait(CALL_INTERVAL_MS);
    }
    const statuses = (await Promise.all(sent)).map(({ status }) => status);
    expect(new Set(statuses)).toEqual(new Set([200]));
    const events = fleet.daemons.flatMap(({ logger }) => logger.lines)
      .map(({ event }) => event);
    expect(events).toContain("announcement-unreadable");
    for (const event of ERROR_EVENTS) expect(events).not.toContain(event);
  });
});
