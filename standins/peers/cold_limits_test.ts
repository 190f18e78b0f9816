import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { SeededRandom } from "../../src/base/common/random.ts";
import { Fleet, type FleetDaemon } from "./in_process_fleet.ts";

const PROCESS = { endpoint: "app-1" as EndpointId, bornMs: 1 };
const SERVICE = "app" as ServiceId;
const STEP_MS = 10;
const SEED = 41;
const COLD_MS = 60_000;
/** Longest time after which a host knows of an entry of the endpoint. */
const ENTRY_DELAY_MS = 300;
/** Time after which the next hub grants all of the rate. */
const TAKEOVER_MS = 2_500;
/** Requests a second of all hosts together, as a multiple of the rate. */
const LOAD = 5;
/** Each second begins with this many requests, also as a multiple. */
const BURST = 20;

// Each test guards against more requests in a second than a cold endpoint
// survives, which is one and a half times its rate and 5 requests.
describe.each([[9, 2], [9, 10], [90, 10], [90, 40]])(
  "%d hosts that limit a cold endpoint to %d requests/s",
  (size, ratePerS) => {
    let hasher: Hasher;
    let fleet: Fleet;
    let random: SeededRandom;
    let sentMs: number[];

    beforeAll(async () => {
      hasher = await createHasher();
    });

    beforeEach(async () => {
      random = new SeededRandom(SEED);
      sentMs = [];
      fleet = new Fleet(hasher, size / 3);
      fleet.services.set(SERVICE, {
        id: SERVICE,
        maxConnections: 100,
        engine: undefined,
        cold: { durationMs: COLD_MS, requestsPerS: ratePerS },
      });
      await fleet.advance(3_000);
    });

    function daemons(): FleetDaemon[] {
      return [...fleet.daemons.values()];
    }

    function announce(daemon: FleetDaemon, warmUpRemainingMs: number): void {
      daemon.registry.announce({
        id: PROCESS.endpoint,
        service: SERVICE,
        address: "10.0.0.1:80" as Address,
        zone: "zone-a" as ZoneName,
        slots: 6,
        bornMs: PROCESS.bornMs,
        isDraining: false,
        warmUpRemainingMs,
      });
    }

    /** Has the hosts learn one after the other how long the endpoint is cold. */
    function announceToAll(warmUpRemainingMs: number): void {
      for (const daemon of daemons()) {
        fleet.clock.setTimer(
          random.float() * ENTRY_DELAY_MS,
          () => announce(daemon, warmUpRemainingMs),
        );
      }
    }

    async function coldFromNow(): Promise<void> {
      announceToAll(COLD_MS);
      await fleet.advance(ENTRY_DELAY_MS);
    }

    async function send(daemon: FleetDaemon): Promise<void> {
      const maxWaitMs = random.float() < 0.5 ? 0 : 1_500;
      const { kind } = daemon.limitRights.isLimited(PROCESS)
        ? await daemon.limitRights.take(PROCESS, maxWaitMs)
        : { kind: "granted" };
      if (kind === "granted") sentMs.push(fleet.clock.monotonicMs());
    }

    /** Has random hosts send bursts, and a steady load between them. */
    async function demandFor(
      durationMs: number,
      select = daemons,
    ): Promise<void> {
      for (let spentMs = 0; spentMs < durationMs; spentMs += STEP_MS) {
        const isBurst = spentMs % 1_000 === 0;
        const count = isBurst
          ? BURST * ratePerS
          : LOAD * ratePerS * STEP_MS / 1_000;
        const senders = select();
        for (let sent = random.float(); sent < count; sent++) {
          const index = Math.floor(random.float() * senders.length);
          void send(senders[index]!);
        }
        await fleet.advance(STEP_MS);
      }
    }

    function mostPerSecond(fromMs = 0): number {
      const times = sentMs.filter((atMs) => atMs >= fromMs)
        .sort((left, right) => left - right);
      let end = 0;
      let most = 0;
      times.forEach((startMs, start) => {
        while (end < times.length && times[end]! < startMs + 1_000) end++;
        most = Math.max(most, end - start);
      });
      return most;
    }

    function expectLimitKept(fromMs = 0): void {
      expect(mostPerSecond(fromMs)).toBeLessThanOrEqual(1.5 * ratePerS + 5);
    }

    function usedShare(fromMs: number): number {
      const count = sentMs.filter((atMs) => atMs >= fromMs).length;
      const durationMs = fleet.clock.monotonicMs() - fromMs;
      return count / (ratePerS * durationMs / 1_000);
    }

    function granter(): HostId {
      return daemons().find(({ peers }) => peers.isHub)!
        .limitRights.list()[0]!.granter;
    }

    it(`name the source of the limit`, async () => {
      await coldFromNow();
      expect(daemons()[0]!.limitRights.list()).toMatchObject([
        { source: "cold", requestsPerS: ratePerS, ratePerS },
      ]);
    });

    it(`use the rate and keep it at ${LOAD} times the rate and bursts of ${BURST} times`, async () => {
      await coldFromNow();
      const startMs = fleet.clock.monotonicMs();
      await demandFor(8_000);
      expectLimitKept();
      expect(usedShare(startMs)).toBeGreaterThanOrEqual(0.8);
    });

    it(`use the rate on a single host at ${LOAD} times the rate and bursts of ${BURST} times`, async () => {
      await coldFromNow();
      const [only] = daemons();
      const startMs = fleet.clock.monotonicMs();
      await demandFor(6_000, () => [only!]);
      expectLimitKept();
      expect(usedShare(startMs)).toBeGreaterThanOrEqual(0.8);
    });

    it(`keep the rate after a pause at bursts of ${BURST} times the rate`, async () => {
      await coldFromNow();
      for (let round = 0; round < 3; round++) {
        await demandFor(500);
        await fleet.advance(4_000);
      }
      expectLimitKept();
    });

    it(`keep the rate when the granter is killed in the middle of a burst at ${LOAD} times the rate`, async () => {
      await coldFromNow();
      for (let round = 0; round < 3; round++) {
        await demandFor(2_020);
        const victim = granter();
        fleet.kill(victim);
        await demandFor(TAKEOVER_MS);
        const startMs = fleet.clock.monotonicMs();
        await demandFor(4_000);
        expect(usedShare(startMs)).toBeGreaterThanOrEqual(0.8);
        fleet.restart(victim);
        // A host accepts no requests before it knows all entries.
        announce(fleet.daemons.get(victim)!, COLD_MS);
      }
      expectLimitKept();
    });

    it(`keep the rate when half of the hosts cannot reach the granter at ${LOAD} times the rate`, async () => {
      await coldFromNow();
      await demandFor(2_020);
      const center = granter();
      const cutOff = [...fleet.daemons.keys()].filter((host, index) =>
        host !== center && index % 2 === 0
      );
      for (const host of cutOff) fleet.network.cut(center, host);
      await demandFor(4_000);
      fleet.network.heal();
      await demandFor(2_000);
      expectLimitKept();
    });

    it(`keep the rate when the granter answers nobody at ${LOAD} times the rate`, async () => {
      await coldFromNow();
      await demandFor(2_020);
      const center = granter();
      for (const host of fleet.daemons.keys()) {
        if (host !== center) fleet.network.cut(center, host);
      }
      await demandFor(4_000);
      fleet.network.heal();
      await demandFor(2_000);
      expectLimitKept();
    });

    it(`keep the rate when a zone is cut off at ${LOAD} times the rate`, async () => {
      await coldFromNow();
      await demandFor(2_020);
      const hosts = [...fleet.daemons.keys()];
      const isInside = (host: HostId) => host.startsWith("zone-a");
      for (const inner of hosts.filter(isInside)) {
        for (const outer of hosts.filter((host) => !isInside(host))) {
          fleet.network.cut(inner, outer);
        }
      }
      await demandFor(4_000);
      fleet.network.heal();
      await demandFor(2_000);
      expectLimitKept();
    });

    it(`keep the rate when no host reaches another at ${LOAD} times the rate`, async () => {
      await coldFromNow();
      await demandFor(2_020);
      const hosts = [...fleet.daemons.keys()];
      for (const from of hosts) {
        for (const to of hosts) if (from < to) fleet.network.cut(from, to);
      }
      await demandFor(4_000);
      expectLimitKept();
    });

    it(`keep the rate of an endpoint that turns cold in a burst at ${LOAD} times the rate`, async () => {
      announceToAll(0);
      await demandFor(1_200);
      announceToAll(COLD_MS);
      await demandFor(ENTRY_DELAY_MS);
      const knownMs = fleet.clock.monotonicMs();
      await demandFor(4_000);
      expectLimitKept(knownMs);
      expect(usedShare(knownMs)).toBeGreaterThanOrEqual(0.8);
    });

    // Hosts that learn of it later ask for rights that the others need not.
    it(`send without rights once the endpoint is warm`, async () => {
      await coldFromNow();
      await demandFor(1_000);
      announceToAll(0);
      await fleet.advance(ENTRY_DELAY_MS);
      for (const { limitRights } of daemons()) {
        expect(limitRights.isLimited(PROCESS)).toBe(false);
        expect(limitRights.list()).toEqual([]);
      }
    });

    // Such a hub takes the cold limit of a question for a named one.
    it(`keep the rate through hubs of an earlier version at ${LOAD} times the rate`, async () => {
      for (const daemon of daemons()) announce(daemon, COLD_MS);
      const updated = [...fleet.daemons].filter(([host, { limitRights }]) =>
        limitRights.list()[0]!.granter !== host
      ).map(([, daemon]) => daemon).slice(-2);
      const earlier = daemons().filter((daemon) => !updated.includes(daemon));
      for (const daemon of earlier) {
        const { links } = daemon;
        announce(daemon, 0);
        links.missingChannels = new Set(["hub-reach.v1"]);
        const deliver = links.deliver.bind(links);
        links.deliver = (from, channel, body) => {
          const isAsked = Array.isArray(body) && body[0] === "asked";
          deliver(from, channel, isAsked ? body.slice(0, 5) : body);
        };
      }
      const startMs = fleet.clock.monotonicMs();
      await demandFor(5_000, () => updated);
      expectLimitKept();
      expect(usedShare(startMs)).toBeGreaterThanOrEqual(0.8);
      expect(earlier[0]!.limitTable.rateOf(PROCESS)).toBe(ratePerS);
      for (const { limitTable } of updated) {
        expect(limitTable.records).toEqual([]);
      }
    });

    it(`grant rights of an endpoint that only one host knows as cold, at ${LOAD} times the rate`, async () => {
      const leaf = daemons().find(({ peers }) => !peers.isHub) ??
        daemons()[0]!;
      announce(leaf, COLD_MS);
      const startMs = fleet.clock.monotonicMs();
      await demandFor(4_000, () => [leaf]);
      expectLimitKept();
      expect(usedShare(startMs)).toBeGreaterThanOrEqual(0.8);
      const others = daemons().filter((daemon) => daemon !== leaf);
      for (const { limitTable } of others) {
        expect(limitTable.records).toEqual([]);
      }
    });
  },
);
