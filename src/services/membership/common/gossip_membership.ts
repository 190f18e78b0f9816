/** Membership by heartbeats and rumours; no daemon decides for the others. */

import { type Clock, setAlignedTimer } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { Hasher } from "../../../base/common/hasher.ts";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import { asId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { SeededRandom } from "../../../base/common/random.ts";
import type { Logger } from "../../log/common/logger.ts";
import type {
  PeerAddress,
  PeerChannel,
  PeerLinks,
} from "../../peers/common/peer_links.ts";
import { LivenessTracker, SUSPECT_AFTER_MS } from "./liveness.ts";
import {
  isNewer,
  type MemberRecord,
  type RecordStatus,
} from "./member_record.ts";
import { MemberTable } from "./member_table.ts";
import type {
  ListedMember,
  Member,
  Membership,
  MemberState,
} from "./membership.ts";
import {
  MEMBERSHIP_CHANNEL,
  type MembershipMessage,
} from "./membership_messages.ts";
import { GossipQueue } from "./gossip_queue.ts";
import { selectPeers } from "./peer_selection.ts";

const TICK_MS = 500;
const TICKS_PER_HEARTBEAT = 2;
/**
 * Heartbeats are sent in a few phases of the wall clock's second. A daemon then
 * wakes up a few times a second for all of them, not once for each.
 */
const HEARTBEAT_PHASES = 2;
const PHASE_OFFSET_MS = 500;
const MAX_TICK_GAP_MS = 1_000;
const MAX_PROBES = 3;
const MIN_SYNC_INTERVAL_MS = 3_000;
const SYNC_BATCH_RECORDS = 512;
const PEER_COOLDOWN_MS = 30_000;
const UNSPECIFIED_ADDRESS = asId<Address>("0.0.0.0:0");

/** What the membership works with. */
export interface GossipMembershipServices {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly random: SeededRandom;
  readonly logger: Logger;
  readonly links: PeerLinks;
}

type Heartbeat = Extract<MembershipMessage, { kind: "heartbeat" }>;

/** Members as this daemon knows them. */
export class GossipMembership implements Membership, Disposable {
  readonly #services: GossipMembershipServices;
  readonly #disposables = new DisposableStore();
  readonly #didChange = new Emitter<void>();
  readonly #channel: PeerChannel<MembershipMessage>;
  readonly #table: MemberTable;
  readonly #phaseOffsetMs: number;
  readonly #liveness = new LivenessTracker();
  readonly #zoneLastReceivedMs = new Map<ZoneName, number>();
  readonly #cooldownUntilMs = new Map<HostId, number>();
  readonly #gossipQueue = new GossipQueue();
  /** Incarnations that the host list said were leaving. */
  readonly #listedDraining = new Map<HostId, number>();
  #self: MemberRecord;
  #seeds: readonly PeerAddress[] = [];
  #listedMembers: readonly ListedMember[] = [];
  #cachedMembers: readonly Member[] | undefined;
  #lastTickMs = 0;
  #lastSyncMs = -Infinity;
  #arePeersStale = true;
  #states: ReadonlyMap<HostId, MemberState> = new Map();
  #selectedPeers: ReadonlySet<HostId> = new Set();
  #hasChanged = false;
  #isStarted = false;

  /** {@inheritDoc Membership.onDidChangeMembers} */
  readonly onDidChangeMembers = this.#didChange.event;

  /**
   * @param services - What the membership works with.
   * @param self - This daemon's name, zone and start.
   */
  constructor(
    services: GossipMembershipServices,
    self: Pick<Member, "host" | "zone" | "incarnation">,
  ) {
    this.#services = services;
    this.#table = new MemberTable(services.hasher);
    this.#phaseOffsetMs = PHASE_OFFSET_MS *
      (services.hasher.hash32(self.host) % HEARTBEAT_PHASES);
    this.#self = {
      ...self,
      address: UNSPECIFIED_ADDRESS,
      version: 0,
      status: "alive",
    };
    this.#table.merge(this.#self, 0);
    const { links } = services;
    this.#channel = this.#disposables.add(
      links.openChannel(MEMBERSHIP_CHANNEL),
    );
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) => this.#receive(from, body)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#sendInitialHeartbeat(host);
    }));
  }

  /** {@inheritDoc Membership.self} */
  get self(): Member {
    return this.#toMember(this.#self);
  }

  /** {@inheritDoc Membership.members} */
  members(): readonly Member[] {
    this.#cachedMembers ??= [...this.#table.records()]
      .filter(({ status }) => status !== "gone")
      .map((record) => this.#toMember(record));
    return this.#cachedMembers;
  }

  /** {@inheritDoc Membership.eligibleOwnersInZone} */
  eligibleOwnersInZone(zone: ZoneName): readonly Member[] {
    return this.members().filter((member) =>
      member.zone === zone && member.state !== "leaving"
    );
  }

  /**
   * Starts to look for the others.
   *
   * @param address - Where the others find this daemon.
   * @param seeds - Daemons that the settings name.
   */
  start(address: Address, seeds: readonly PeerAddress[]): void {
    const { clock } = this.#services;
    this.#seeds = seeds;
    this.#isStarted = true;
    this.#updateSelf({ address, version: this.#self.version + 1 });
    this.#lastTickMs = clock.monotonicMs();
    this.#disposables.add(
      setAlignedTimer(clock, TICK_MS, this.#phaseOffsetMs, () => this.#tick()),
    );
    this.#updatePeers();
  }

  /** {@inheritDoc Membership.announceDraining} */
  announceDraining(): void {
    this.#announceStatus("leaving");
  }

  /** Tells the others that this daemon stops now. */
  announceStopped(): void {
    this.#announceStatus("gone");
  }

  /** {@inheritDoc Membership.applyHostList} */
  applyHostList(hosts: readonly ListedMember[]): void {
    const nowMs = this.#services.clock.monotonicMs();
    const previousHosts = new Set(this.#listedMembers.map(({ host }) => host));
    this.#listedMembers = hosts;
    const listedHosts = new Set(hosts.map(({ host }) => host));
    for (const { host, isLeaving } of hosts) {
      if (isLeaving) this.#recordListedDraining(host);
      else this.#listedDraining.delete(host);
    }
    for (const host of previousHosts) {
      const record = this.#table.get(host);
      const isAbsent = !listedHosts.has(host) && record !== undefined &&
        host !== this.#self.host;
      if (isAbsent && this.#isUnresponsive(record, nowMs)) this.#remove(record);
    }
    this.#arePeersStale = true;
    this.#publishChange();
  }

  /** Stops; the others notice by the silence, unless told before. */
  dispose(): void {
    this.#disposables.dispose();
    this.#didChange.dispose();
  }

  #announceStatus(status: RecordStatus): void {
    this.#updateSelf({ status, version: this.#self.version + 1 });
    this.#channel.broadcast(this.#createHeartbeat());
  }

  #updateSelf(change: Partial<MemberRecord>): void {
    this.#self = { ...this.#self, ...change };
    this.#mergeRecord(this.#self);
    this.#publishChange();
  }

  #recordListedDraining(host: HostId): void {
    const record = this.#table.get(host);
    if (!record || this.#listedDraining.has(host)) return;
    this.#listedDraining.set(host, record.incarnation);
  }

  #sendInitialHeartbeat(host: HostId): void {
    if (!this.#isStarted) return;
    this.#channel.send(host, {
      ...this.#createHeartbeat(),
      updates: [this.#self],
    });
  }

  #createHeartbeat(): Heartbeat {
    const { incarnation, version, status } = this.#self;
    const updates = this.#gossipQueue.nextBatch()
      .flatMap((host) => this.#table.get(host) ?? []);
    return {
      kind: "heartbeat",
      incarnation,
      version,
      status,
      digest: this.#table.digest,
      updates: updates,
    };
  }

  #tick(): void {
    const nowMs = this.#services.clock.monotonicMs();
    const elapsedMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    // A process that did not run must not judge the others by that time.
    if (elapsedMs > MAX_TICK_GAP_MS) this.#liveness.shiftTimes(elapsedMs);
    else this.#checkOwnZone(nowMs);
    this.#table.purgeTombstones(nowMs);
    this.#publishChange();
    if (!this.#isHeartbeatDue()) return;
    this.#channel.broadcast(this.#createHeartbeat());
    this.#gossipQueue.markBatchSent();
    this.#startPeerCooldowns(nowMs);
    if (this.#arePeersStale) this.#updatePeers();
  }

  #isHeartbeatDue(): boolean {
    const sincePhaseMs = this.#services.clock.nowMs() - this.#phaseOffsetMs;
    return Math.round(sincePhaseMs / TICK_MS) % TICKS_PER_HEARTBEAT === 0;
  }

  /** Only members of a zone judge its members: they all hear each other. */
  #checkOwnZone(nowMs: number): void {
    for (const record of [...this.#table.presentInZone(this.#self.zone)]) {
      const { host } = record;
      if (host === this.#self.host) continue;
      this.#liveness.track(host, nowMs);
      if (!this.#liveness.isUnresponsive(host, nowMs)) continue;
      if (this.#liveness.hasTimedOut(host, nowMs)) this.#remove(record);
      else this.#requestProbes(host);
    }
  }

  #requestProbes(host: HostId): void {
    const { links, random } = this.#services;
    const peers = links.connectedHosts().filter((other) =>
      other !== host && this.#table.get(other)?.zone === this.#self.zone
    );
    for (let count = 0; count < MAX_PROBES && peers.length > 0; count++) {
      const [prober] = peers.splice(random.int(0, peers.length - 1), 1);
      this.#channel.send(prober!, { kind: "probe", host });
    }
  }

  #remove(record: MemberRecord): void {
    const { logger } = this.#services;
    if (!this.#mergeRecord({ ...record, status: "gone" })) return;
    logger.log("warn", "member-removed", { peer: record.host });
  }

  #isUnresponsive(record: MemberRecord, nowMs: number): boolean {
    return record.zone === this.#self.zone
      ? this.#liveness.isUnresponsive(record.host, nowMs)
      : this.#isZoneUnresponsive(record.zone, nowMs);
  }

  #isZoneUnresponsive(zone: ZoneName, nowMs: number): boolean {
    const lastReceivedMs = this.#zoneLastReceivedMs.get(zone) ?? -Infinity;
    return nowMs - lastReceivedMs > SUSPECT_AFTER_MS;
  }

  #startPeerCooldowns(nowMs: number): void {
    for (const { host, zone } of this.members()) {
      if (zone === this.#self.zone) continue;
      const isCooling = (this.#cooldownUntilMs.get(host) ?? 0) > nowMs;
      const isSelected = this.#selectedPeers.has(host);
      if (
        !isSelected || isCooling || !this.#liveness.hasTimedOut(host, nowMs)
      ) {
        continue;
      }
      this.#cooldownUntilMs.set(host, nowMs + PEER_COOLDOWN_MS);
      this.#arePeersStale = true;
    }
  }

  #updatePeers(): void {
    const { links, hasher, clock } = this.#services;
    const nowMs = clock.monotonicMs();
    this.#arePeersStale = false;
    const peers = selectPeers({
      self: this.#self,
      hasher,
      table: this.#table,
      bootstrapPeers: [...this.#listedMembers, ...this.#seeds],
      isInCooldown: (host) => (this.#cooldownUntilMs.get(host) ?? 0) > nowMs,
    });
    this.#selectedPeers = new Set(peers.map(({ host }) => host));
    for (const host of this.#selectedPeers) this.#liveness.track(host, nowMs);
    links.setPeers(peers);
  }

  #receive(from: HostId, message: MembershipMessage): void {
    this.#handle(from, message);
    if (this.#hasChanged || this.#states.get(from) === "suspect") {
      this.#publishChange();
    }
  }

  #handle(from: HostId, message: MembershipMessage): void {
    const nowMs = this.#services.clock.monotonicMs();
    switch (message.kind) {
      case "heartbeat":
        this.#receiveHeartbeat(from, message, nowMs);
        return;
      case "sync":
        this.#receiveSync(from, message.records, message.isReply);
        return;
      case "probe":
        if (!this.#liveness.isUnresponsive(message.host, nowMs)) {
          this.#channel.send(from, { kind: "vouch", host: message.host });
        }
        return;
      case "vouch":
        this.#liveness.recordProbeAck(message.host, nowMs);
        return;
    }
  }

  #receiveHeartbeat(from: HostId, heartbeat: Heartbeat, nowMs: number): void {
    this.#liveness.recordReceived(from, nowMs);
    for (const record of heartbeat.updates) this.#mergeRecord(record);
    const current = this.#table.get(from);
    if (current) {
      this.#zoneLastReceivedMs.set(current.zone, nowMs);
      const { incarnation, version, status } = heartbeat;
      const announced = { ...current, incarnation, version, status };
      if (isNewer(announced, current)) this.#mergeRecord(announced);
      else if (isNewer(current, announced)) this.#sendCorrection(from, current);
    }
    if (heartbeat.digest !== this.#table.digest) this.#requestSync(from, nowMs);
  }

  /** The sender has not heard what is said of it; it will settle that. */
  #sendCorrection(host: HostId, record: MemberRecord): void {
    this.#channel.send(host, {
      kind: "sync",
      isReply: true,
      records: [record],
    });
  }

  #requestSync(host: HostId, nowMs: number): void {
    if (nowMs - this.#lastSyncMs < MIN_SYNC_INTERVAL_MS) return;
    this.#lastSyncMs = nowMs;
    this.#sendRecords(host, [...this.#table.records()], false);
  }

  #sendRecords(
    host: HostId,
    records: readonly MemberRecord[],
    isReply: boolean,
  ): void {
    for (let start = 0; start < records.length; start += SYNC_BATCH_RECORDS) {
      const chunk = records.slice(start, start + SYNC_BATCH_RECORDS);
      this.#channel.send(host, { kind: "sync", isReply, records: chunk });
    }
  }

  #receiveSync(
    from: HostId,
    records: readonly MemberRecord[],
    isReply: boolean,
  ): void {
    const received = new Map(records.map((record) => [record.host, record]));
    for (const record of records) this.#mergeRecord(record);
    if (isReply) return;
    const missing = [...this.#table.records()].filter((record) => {
      const known = received.get(record.host);
      return !known || isNewer(record, known);
    });
    this.#sendRecords(from, missing, true);
  }

  #mergeRecord(record: MemberRecord): boolean {
    const isAboutSelf = record.host === this.#self.host &&
      record !== this.#self;
    if (isAboutSelf) {
      this.#refute(record);
      return false;
    }
    const nowMs = this.#services.clock.monotonicMs();
    if (!this.#table.merge(record, nowMs)) return false;
    this.#gossipQueue.add(record.host);
    this.#arePeersStale = true;
    this.#hasChanged = true;
    if (record.status === "gone") this.#liveness.untrack(record.host);
    return true;
  }

  /** A rumour about this daemon that is newer than its own record. */
  #refute(claimed: MemberRecord): void {
    if (!isNewer(claimed, this.#self)) return;
    const { logger } = this.#services;
    logger.log("warn", "member-rumour-refuted", { status: claimed.status });
    // A start of this host that is said to be later had the clock ahead of now.
    const hasHigherIncarnation = claimed.incarnation > this.#self.incarnation;
    this.#updateSelf({
      incarnation: claimed.incarnation + (hasHigherIncarnation ? 1 : 0),
      version: claimed.version + 1,
    });
    this.#channel.broadcast(this.#createHeartbeat());
  }

  #publishChange(): void {
    const nowMs = this.#services.clock.monotonicMs();
    const states = new Map<HostId, MemberState>();
    for (const record of this.#table.records()) {
      if (record.status === "gone") continue;
      const state = this.#deriveState(record, nowMs);
      if (this.#states.get(record.host) !== state) this.#hasChanged = true;
      states.set(record.host, state);
    }
    if (!this.#hasChanged) return;
    this.#hasChanged = false;
    this.#states = states;
    this.#cachedMembers = undefined;
    this.#didChange.fire();
  }

  #deriveState(record: MemberRecord, nowMs: number): MemberState {
    const { host, incarnation, status } = record;
    if (status === "leaving") return "leaving";
    if (this.#listedDraining.get(host) === incarnation) return "leaving";
    if (host === this.#self.host) return "alive";
    return this.#isUnresponsive(record, nowMs) ? "suspect" : "alive";
  }

  #toMember(record: MemberRecord): Member {
    const { host, zone, address, incarnation } = record;
    const state = this.#states.get(host) ?? "alive";
    return { host, zone, address, incarnation, state };
  }
}
