/**
 * Simulates the ledgers of several hosts over one store while a schedule injects
 * faults, and checks that each key runs at most once.
 */

import { ManualClock, sleep } from "../../src/base/common/clock.ts";
import { assertNever } from "../../src/base/common/errors.ts";
import type { Hasher } from "../../src/base/common/hasher.ts";
import {
  type Address,
  asId,
  type HostId,
  type WorkspaceId,
  type ZoneName,
} from "../../src/base/common/ids.ts";
import { rightOf } from "../../src/base/common/result.ts";
import type {
  ClaimOutcome,
  ClaimRequest,
  ClaimResult,
  HeldClaim,
  IdempotencyKey,
} from "../../src/features/ledger/common/claim_ledger.ts";
import { ShardedClaimLedger } from "../../src/features/ledger/common/sharded_claim_ledger.ts";
import {
  type Member,
  StaticMembership,
} from "../../src/services/membership/common/membership.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";
import { KvStore } from "../store/kv_store.ts";
import { ProcessClock } from "../world/process_clock.ts";
import {
  type DelayedWriteFault,
  DelayedWriteStoreClient,
} from "./delayed_write_store_client.ts";

/** Step of a schedule. */
export type LedgerAction =
  | {
    readonly kind: "claim";
    readonly host: number;
    readonly key: string;
    readonly body: string;
    readonly runMs: number;
    readonly end: string;
  }
  | {
    readonly kind:
      | "freeze"
      | "thaw"
      | "restart"
      | "cut-store"
      | "heal-store";
    readonly host: number;
  }
  | {
    readonly kind: "lose-answers" | "delay-writes";
    readonly count: number;
  }
  | { readonly kind: "slow"; readonly delayMs: number }
  | { readonly kind: "cut-link"; readonly from: number; readonly to: number }
  | {
    readonly kind: "store-down" | "store-up" | "limit-rate" | "heal-links";
  }
  | { readonly kind: "wait"; readonly forMs: number };

const MAX_RUN_MS = 10_000;
const RECOVERY_MS = 200_000;
const LIMITED_WRITES_PER_SECOND = 2;
/** Small enough that schedules cause segments to be sealed. */
const SEAL_THRESHOLD_BYTES = 300;

interface SimulatedHost {
  readonly clock: ProcessClock;
  readonly store: DelayedWriteStoreClient;
  readonly ledger: ShardedClaimLedger;
}

/** Runs claims on simulated hosts and records violations of at-most-once. */
export class LedgerSimulation {
  readonly violations: string[] = [];
  readonly clock = new ManualClock();
  readonly store = new KvStore(this.clock);
  readonly #hasher: Hasher;
  readonly #network = new InProcessNetwork();
  readonly #delayedWrites: DelayedWriteFault = { count: 0 };
  readonly #hosts: SimulatedHost[] = [];
  /** Request body by key, for runs in progress or possibly in effect. */
  readonly #bodiesThatMayHaveRun = new Map<string, string>();
  readonly #keys = new Set<string>();
  #nonceCount = 0;
  /** Whether any host restarted, which may leave claims without a holder. */
  #wasRestarted = false;

  /**
   * @param hasher - Hasher used by all hosts.
   * @param hostCount - Number of hosts.
   */
  constructor(hasher: Hasher, hostCount: number) {
    this.#hasher = hasher;
    for (let index = 0; index < hostCount; index++) this.#startHost(index);
    this.#connectPeers();
  }

  /** Runs a step of the schedule. */
  async run(action: LedgerAction): Promise<void> {
    switch (action.kind) {
      case "claim":
        void this.#claimAndRun(action);
        break;
      case "freeze":
        this.#hosts[action.host]!.clock.freeze();
        break;
      case "thaw":
        this.#hosts[action.host]!.clock.thaw();
        break;
      case "restart":
        this.#wasRestarted = true;
        this.#restartHost(action.host);
        break;
      case "cut-store":
        this.#hosts[action.host]!.store.isDisconnected = true;
        break;
      case "heal-store":
        this.#hosts[action.host]!.store.isDisconnected = false;
        break;
      case "lose-answers":
        this.store.faults.loseWriteAnswers = action.count;
        break;
      case "delay-writes":
        this.#delayedWrites.count = action.count;
        break;
      case "slow":
        this.store.faults.delayMs = action.delayMs;
        break;
      case "cut-link":
        this.#network.cut(hostOf(action.from), hostOf(action.to));
        break;
      case "store-down":
        this.store.faults.isDown = true;
        break;
      case "store-up":
        this.store.faults.isDown = false;
        break;
      case "limit-rate":
        this.store.faults.maxWritesPerSecond = LIMITED_WRITES_PER_SECOND;
        break;
      case "heal-links":
        this.#network.heal();
        break;
      case "wait":
        await this.clock.advanceAsync(action.forMs);
        break;
      default:
        assertNever(action);
    }
    await this.clock.advanceAsync(0);
  }

  /** Removes all faults and checks that each key has a correct final result. */
  async recoverAndCheck(): Promise<void> {
    Object.assign(this.store.faults, {
      isDown: false,
      delayMs: 0,
      loseWriteAnswers: 0,
      maxWritesPerSecond: Infinity,
    });
    this.#delayedWrites.count = 0;
    this.#network.heal();
    for (const host of this.#hosts) {
      host.store.isDisconnected = false;
      host.clock.thaw();
    }
    await this.clock.advanceAsync(RECOVERY_MS);
    for (const key of this.#keys) await this.#checkFinalResult(key);
  }

  async #checkFinalResult(key: string): Promise<void> {
    let result: ClaimResult | undefined;
    const body = this.#bodiesThatMayHaveRun.get(key) ?? "same";
    void this.#hosts[0]!.ledger.claim(toRequest(key, body)).then((claimed) => {
      result = rightOf(claimed);
    });
    await this.clock.advanceAsync(MAX_RUN_MS);
    const hasRun = this.#bodiesThatMayHaveRun.has(key);
    if (!result) {
      this.violations.push(`${key}: no result after all faults were removed`);
    } else if (result.kind === "held" && hasRun) {
      this.violations.push(`${key}: granted again after it ran`);
    } else if (result.kind === "unknown" && !hasRun && !this.#wasRestarted) {
      this.violations.push(`${key}: unknown, although nothing ran`);
    } else if (result.kind === "in-progress") {
      this.violations.push(`${key}: still in progress after recovery`);
    } else if (result.kind === "done") {
      const responseText = Buffer.from(result.response?.body ?? []).toString();
      if (responseText !== `${key}:${body}`) {
        this.violations.push(`${key}: wrong final response ${responseText}`);
      }
    }
  }

  async #claimAndRun(
    action: Extract<LedgerAction, { readonly kind: "claim" }>,
  ): Promise<void> {
    const { clock, ledger } = this.#hosts[action.host]!;
    this.#keys.add(action.key);
    const claimed = await ledger.claim(toRequest(action.key, action.body));
    claimed.ifLeft(({ claim }) =>
      void ledger.recordOutcome(claim, { kind: "not-run" })
    );
    const result = rightOf(claimed);
    if (!result || clock.isKilled) return;
    this.#checkResponse(action, result);
    if (result.kind !== "held") return;
    if (this.#bodiesThatMayHaveRun.has(action.key)) {
      this.violations.push(`${action.key}: ran a second time`);
    }
    this.#bodiesThatMayHaveRun.set(action.key, action.body);
    await sleep(clock, action.runMs);
    this.#recordOutcome(ledger, action, result.claim);
  }

  #recordOutcome(
    ledger: ShardedClaimLedger,
    { key, body, end }: Extract<LedgerAction, { readonly kind: "claim" }>,
    claim: HeldClaim,
  ): void {
    if (end === "not-run") this.#bodiesThatMayHaveRun.delete(key);
    void ledger.recordOutcome(claim, toClaimOutcome(end, `${key}:${body}`));
  }

  #checkResponse(
    { key, body }: Extract<LedgerAction, { readonly kind: "claim" }>,
    result: ClaimResult,
  ): void {
    if (result.kind !== "done") return;
    const responseText = Buffer.from(result.response?.body ?? []).toString();
    if (
      responseText !== `${key}:${body}` || !this.#bodiesThatMayHaveRun.has(key)
    ) {
      this.violations.push(`${key}: wrong response ${responseText}`);
    }
  }

  #restartHost(index: number): void {
    this.#hosts[index]!.clock.kill();
    this.#hosts[index]!.ledger.dispose();
    this.#startHost(index);
    this.#connectPeers();
  }

  #startHost(index: number): void {
    const clock = new ProcessClock(this.clock);
    const host = hostOf(index);
    const store = new DelayedWriteStoreClient(
      clock,
      this.clock,
      this.store,
      this.#delayedWrites,
    );
    const ledger = new ShardedClaimLedger({
      clock,
      hasher: this.#hasher,
      store,
      links: this.#network.addHost(host, clock),
      membership: this.#createMembership(host),
      createNonce: () => `nonce-${this.#nonceCount++}`,
      fingerprint: (parts) => this.#hasher.hash64Hex(parts.join("|")),
    }, { host, shardCount: 1, sealThresholdBytes: SEAL_THRESHOLD_BYTES });
    this.#hosts[index] = { clock, store, ledger };
  }

  /** Creates a static membership, so that hosts do not see peer restarts. */
  #createMembership(host: HostId): StaticMembership {
    const others = [0, 1, 2].map(hostOf).filter((other) => other !== host);
    return new StaticMembership(
      { ...toMember(host), incarnation: this.clock.nowMs() },
      others.map(toMember),
    );
  }

  #connectPeers(): void {
    this.#hosts.forEach((_host, index) => {
      const links = this.#network.findReceiver(hostOf(-1), hostOf(index));
      const others = this.#hosts
        .map((_other, other) => toMember(hostOf(other)))
        .filter((member) => member.host !== hostOf(index));
      links?.setPeers(others);
    });
  }
}

function hostOf(index: number): HostId {
  return asId<HostId>(`host-${index}`);
}

function toMember(host: HostId): Member {
  return {
    host,
    zone: asId<ZoneName>("zone"),
    address: asId<Address>("127.0.0.1:1"),
    incarnation: 0,
    state: "alive",
  };
}

function toRequest(key: string, body: string): ClaimRequest {
  return {
    workspace: asId<WorkspaceId>("team/workspace"),
    key: asId<IdempotencyKey>(key),
    fingerprint: `fingerprint of ${body}`,
    maxRunMs: MAX_RUN_MS,
  };
}

function toClaimOutcome(kind: string, text: string): ClaimOutcome {
  if (kind !== "done") return { kind: kind === "unknown" ? kind : "not-run" };
  const body = Buffer.from(text);
  return { kind: "done", response: { status: 200, headers: [], body } };
}
