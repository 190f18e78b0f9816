/**
 * Benchmark of the claim ledger: completed claims, store operations and added
 * latency at fixed arrival rates.
 */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { build, type Histogram } from "hdr-histogram-js";
import { sleep } from "../../src/base/common/clock.ts";
import { createHasher, type Hasher } from "../../src/base/common/hasher.ts";
import {
  type Address,
  asId,
  type HostId,
  type WorkspaceId,
  type ZoneName,
} from "../../src/base/common/ids.ts";
import { rightOf } from "../../src/base/common/result.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import type {
  ClaimOutcome,
  IdempotencyKey,
} from "../../src/features/ledger/common/claim_ledger.ts";
import { ShardedClaimLedger } from "../../src/features/ledger/common/sharded_claim_ledger.ts";
import {
  type Member,
  StaticMembership,
} from "../../src/services/membership/common/membership.ts";
import { EtcdStoreClient } from "../../src/services/store/node/etcd_store_client.ts";
import { InProcessNetwork } from "../../standins/peers/in_process_links.ts";
import { KvStore } from "../../standins/store/kv_store.ts";
import { createStoreServer } from "../../standins/store/store_server.ts";
import type { Bench, BenchOptions } from "../bench.ts";

/** Delay of each operation of the store. */
const STORE_DELAY_MS = 3;
const DAEMON_COUNT = 6;
/** Time between a granted claim and the recording of its outcome. */
const RUN_DURATION_MS = 5;
const MEASUREMENT_MS = 10_000;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const DEFAULT_RATES_PER_SECOND = [20, 200, 2_000];
const DONE_OUTCOME: ClaimOutcome = {
  kind: "done",
  response: {
    status: 200,
    headers: [{ name: "Content-Type", value: "application/json" }],
    body: Buffer.from(JSON.stringify({ booking: "0123456789", ok: true })),
  },
};

/** Results of the claims at one arrival rate. */
interface ClaimTally {
  held: number;
  /** Claims that failed or were not granted. */
  failed: number;
  readonly latencyUs: Histogram;
}

/** Ledgers of several hosts in this process, with a stand-in store on a port. */
class LedgerDeployment {
  readonly clock = new SystemClock();
  readonly store = new KvStore(this.clock);
  readonly ledgers: ShardedClaimLedger[] = [];
  readonly #clients: EtcdStoreClient[] = [];
  readonly #server: Server = createStoreServer(this.clock, this.store);

  async start(hasher: Hasher): Promise<void> {
    this.store.faults.delayMs = STORE_DELAY_MS;
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    const network = new InProcessNetwork();
    const members = Array.from(
      { length: DAEMON_COUNT },
      (_, index) => toMember(`host-${index}`),
    );
    for (const self of members) {
      const store = new EtcdStoreClient([asId<Address>(`127.0.0.1:${port}`)]);
      this.#clients.push(store);
      const others = members.filter((member) => member !== self);
      const links = network.addHost(self.host, this.clock);
      links.setPeers(others);
      let nonceCount = 0;
      this.ledgers.push(
        new ShardedClaimLedger({
          clock: this.clock,
          hasher,
          store,
          links,
          membership: new StaticMembership(self, others),
          createNonce: () => `${self.host}-${nonceCount++}`,
          fingerprint: (parts) => {
            const text = parts.join("|");
            return hasher.hash64Hex(text) + hasher.hash64Hex(`${text}|`);
          },
        }, { host: self.host }),
      );
    }
  }

  stop(): void {
    for (const ledger of this.ledgers) ledger.dispose();
    for (const client of this.#clients) client.dispose();
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

function toMember(host: string): Member {
  return {
    host: asId<HostId>(host),
    zone: asId<ZoneName>("zone"),
    address: asId<Address>("127.0.0.1:1"),
    incarnation: 0,
    state: "alive",
  };
}

/** Claims a new key, and records the outcome of a simulated run. */
async function claimAndComplete(
  { clock, ledgers }: LedgerDeployment,
  index: number,
  tally: ClaimTally,
): Promise<void> {
  const startMs = clock.monotonicMs();
  const ledger = ledgers[index % ledgers.length]!;
  const response = await ledger.claim({
    workspace: asId<WorkspaceId>("team/workspace"),
    key: asId<IdempotencyKey>(`key-${index}`),
    fingerprint: "0123456789abcdef0123456789abcdef",
    maxRunMs: MS_PER_SECOND,
  });
  const result = rightOf(response);
  if (result?.kind !== "held") {
    tally.failed++;
    return;
  }
  tally.held++;
  const elapsedUs = (clock.monotonicMs() - startMs) * US_PER_MS;
  tally.latencyUs.recordValue(Math.round(elapsedUs));
  await sleep(clock, RUN_DURATION_MS);
  await ledger.recordOutcome(result.claim, DONE_OUTCOME);
}

/**
 * Measures one arrival rate. Claims arrive at this rate even if the ledger falls
 * behind, so that queueing shows in the latency.
 */
async function measureRate(
  hasher: Hasher,
  claimsPerSecond: number,
): Promise<object> {
  const deployment = new LedgerDeployment();
  await deployment.start(hasher);
  const { clock, store } = deployment;
  const tally: ClaimTally = { held: 0, failed: 0, latencyUs: build() };
  const startMs = clock.monotonicMs();
  const pending: Promise<void>[] = [];
  let elapsedMs = 0;
  while (elapsedMs < MEASUREMENT_MS) {
    const dueClaims = elapsedMs * claimsPerSecond / MS_PER_SECOND;
    while (pending.length < dueClaims) {
      pending.push(claimAndComplete(deployment, pending.length, tally));
    }
    await sleep(clock, 1);
    elapsedMs = clock.monotonicMs() - startMs;
  }
  const { write, read } = store.callCounts;
  await Promise.all(pending);
  deployment.stop();
  const seconds = elapsedMs / MS_PER_SECOND;
  const percentileMs = (percent: number): number =>
    tally.latencyUs.getValueAtPercentile(percent) / US_PER_MS;
  return {
    offeredPerSecond: claimsPerSecond,
    claimsPerSecond: Math.round(tally.held / seconds),
    failed: tally.failed,
    storeWritesPerSecond: Number((write / seconds).toFixed(1)),
    storeReadsPerSecond: Number((read / seconds).toFixed(1)),
    addedP50Ms: percentileMs(50),
    addedP99Ms: percentileMs(99),
  };
}

/** Benchmark of the claim ledger. */
export const bench: Bench = {
  description: "claim ledger: rate, store operations, added latency",
  async run({ args, printRow }: BenchOptions): Promise<object> {
    const hasher = await createHasher();
    const rates = args.length > 0 ? args.map(Number) : DEFAULT_RATES_PER_SECOND;
    for (const rate of rates.slice(0, -1)) {
      printRow(await measureRate(hasher, rate));
    }
    return await measureRate(hasher, rates.at(-1)!);
  },
};
