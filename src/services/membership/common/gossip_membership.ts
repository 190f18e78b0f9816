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
import { NewsRounds } from "./news_rounds.ts";
import { selectPeers } from "./peer_selection.ts";

const TICK_MS = 500;
const TICKS_PER_HEARTBEAT = 2;
/**
 * Heartbeats are sent in a few phases of the wall clock's second. A daemon then
 * wakes up a few times a second for all of them, not once for each.
 */
const PHASES = 2;
const PHASE_MS = 500;
const PAUSED_AFTER_MS = 1_000;
const PROBED_HOSTS = 3;
const SYNC_PERIOD_MS = 3_000;
const SYNC_CHUNK_RECORDS = 512;
const AVOID_MS = 30_000;
const NO_ADDRESS = asId<Address>("0.0.0.0:0");

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
  readonly #owned = new DisposableStore();
  readonly #didChange = new Emitter<void>();
  readonly #channel: PeerChannel<MembershipMessage>;
  readonly #table: MemberTable;
  readonly #phaseMs: number;
  readonly #liveness = new LivenessTracker();
  readonly #zoneHeardMs = new Map<ZoneName, number>();
  readonly #avoidedUntilMs = new Map<HostId, number>();
  readonly #news = new NewsRounds();
  /** Incarnations that the host list said were leaving. */
  readonly #listedLeaving = new Map<HostId, number>();
  #own: MemberRecord;
  #seeds: readonly PeerAddress[] = [];
  #listed: readonly ListedMember[] = [];
  #cached: readonly Member[] | undefined;
  #lastTickMs = 0;
  #lastSyncMs = -Infinity;
  #arePeersStale = true;
  #states: ReadonlyMap<HostId, MemberState> = new Map();
  #partners: ReadonlySet<HostId> = new Set();
  #isChanged = false;
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
    this.#phaseMs = PHASE_MS * (services.hasher.hash32(self.host) % PHASES);
    this.#own = { ...self, address: NO_ADDRESS, version: 0, status: "alive" };
    this.#table.merge(this.#own, 0);
    const { links } = services;
    this.#channel = this.#owned.add(links.openChannel(MEMBERSHIP_CHANNEL));
    this.#owned.add(
      this.#channel.onDidReceive(({ from, body }) => this.#receive(from, body)),
    );
    this.#owned.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#greet(host);
    }));
  }

  /** {@inheritDoc Membership.self} */
  get self(): Member {
    return this.#toMember(this.#own);
  }

  /** {@inheritDoc Membership.members} */
  members(): readonly Member[] {
    this.#cached ??= [...this.#table.records()]
      .filter(({ status }) => status !== "gone")
      .map((record) => this.#toMember(record));
    return this.#cached;
  }

  /** {@inheritDoc Membership.ownersOfZone} */
  ownersOfZone(zone: ZoneName): readonly Member[] {
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
    this.#replaceOwn({ address, version: this.#own.version + 1 });
    this.#lastTickMs = clock.monotonicMs();
    this.#owned.add(
      setAlignedTimer(clock, TICK_MS, this.#phaseMs, () => this.#tick()),
    );
    this.#updatePeers();
  }

  /** {@inheritDoc Membership.announceLeaving} */
  announceLeaving(): void {
    this.#announce("leaving");
  }

  /** Tells the others that this daemon stops now. */
  announceGone(): void {
    this.#announce("gone");
  }

  /** {@inheritDoc Membership.applyHostList} */
  applyHostList(hosts: readonly ListedMember[]): void {
    const nowMs = this.#services.clock.monotonicMs();
    const before = new Set(this.#listed.map(({ host }) => host));
    this.#listed = hosts;
    const listed = new Set(hosts.map(({ host }) => host));
    for (const { host, isLeaving } of hosts) {
      if (isLeaving) this.#noteListedLeaving(host);
      else this.#listedLeaving.delete(host);
    }
    for (const host of before) {
      const record = this.#table.get(host);
      const isDropped = !listed.has(host) && record !== undefined &&
        host !== this.#own.host;
      if (isDropped && this.#isUnheard(record, nowMs)) this.#bury(record);
    }
    this.#arePeersStale = true;
    this.#publishChange();
  }

  /** Stops; the others notice by the silence, unless told before. */
  dispose(): void {
    this.#owned.dispose();
    this.#didChange.dispose();
  }

  #announce(status: RecordStatus): void {
    this.#replaceOwn({ status, version: this.#own.version + 1 });
    this.#channel.broadcast(this.#heartbeat());
  }

  #replaceOwn(change: Partial<MemberRecord>): void {
    this.#own = { ...this.#own, ...change };
    this.#merge(this.#own);
    this.#publishChange();
  }

  #noteListedLeaving(host: HostId): void {
    const record = this.#table.get(host);
    if (!record || this.#listedLeaving.has(host)) return;
    this.#listedLeaving.set(host, record.incarnation);
  }

  #greet(host: HostId): void {
    if (!this.#isStarted) return;
    this.#channel.send(host, { ...this.#heartbeat(), news: [this.#own] });
  }

  #heartbeat(): Heartbeat {
    const { incarnation, version, status } = this.#own;
    const news = this.#news.current()
      .flatMap((host) => this.#table.get(host) ?? []);
    return {
      kind: "heartbeat",
      incarnation,
      version,
      status,
      digest: this.#table.digest,
      news,
    };
  }

  #tick(): void {
    const nowMs = this.#services.clock.monotonicMs();
    const passedMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    // A process that did not run must not judge the others by that time.
    if (passedMs > PAUSED_AFTER_MS) this.#liveness.shift(passedMs);
    else this.#judgeZone(nowMs);
    this.#table.purge(nowMs);
    this.#publishChange();
    if (!this.#isHeartbeatDue()) return;
    this.#channel.broadcast(this.#heartbeat());
    this.#news.endRound();
    this.#avoidSilentPartners(nowMs);
    if (this.#arePeersStale) this.#updatePeers();
  }

  #isHeartbeatDue(): boolean {
    const sincePhaseMs = this.#services.clock.nowMs() - this.#phaseMs;
    return Math.round(sincePhaseMs / TICK_MS) % TICKS_PER_HEARTBEAT === 0;
  }

  /** Only members of a zone judge its members: they all hear each other. */
  #judgeZone(nowMs: number): void {
    for (const record of [...this.#table.presentIn(this.#own.zone)]) {
      const { host } = record;
      if (host === this.#own.host) continue;
      this.#liveness.expect(host, nowMs);
      if (!this.#liveness.isSilent(host, nowMs)) continue;
      if (this.#liveness.isLost(host, nowMs)) this.#bury(record);
      else this.#probe(host);
    }
  }

  #probe(host: HostId): void {
    const { links, random } = this.#services;
    const others = links.connectedHosts().filter((other) =>
      other !== host && this.#table.get(other)?.zone === this.#own.zone
    );
    for (let count = 0; count < PROBED_HOSTS && others.length > 0; count++) {
      const [asked] = others.splice(random.int(0, others.length - 1), 1);
      this.#channel.send(asked!, { kind: "probe", host });
    }
  }

  #bury(record: MemberRecord): void {
    const { logger } = this.#services;
    if (!this.#merge({ ...record, status: "gone" })) return;
    logger.log("warn", "member-removed", { peer: record.host });
  }

  #isUnheard(record: MemberRecord, nowMs: number): boolean {
    return record.zone === this.#own.zone
      ? this.#liveness.isSilent(record.host, nowMs)
      : this.#isZoneSilent(record.zone, nowMs);
  }

  #isZoneSilent(zone: ZoneName, nowMs: number): boolean {
    const heardMs = this.#zoneHeardMs.get(zone) ?? -Infinity;
    return nowMs - heardMs > SUSPECT_AFTER_MS;
  }

  #avoidSilentPartners(nowMs: number): void {
    for (const { host, zone } of this.members()) {
      if (zone === this.#own.zone) continue;
      const isAvoided = (this.#avoidedUntilMs.get(host) ?? 0) > nowMs;
      const isPartner = this.#partners.has(host);
      if (!isPartner || isAvoided || !this.#liveness.isLost(host, nowMs)) {
        continue;
      }
      this.#avoidedUntilMs.set(host, nowMs + AVOID_MS);
      this.#arePeersStale = true;
    }
  }

  #updatePeers(): void {
    const { links, hasher, clock } = this.#services;
    const nowMs = clock.monotonicMs();
    this.#arePeersStale = false;
    const peers = selectPeers({
      self: this.#own,
      hasher,
      table: this.#table,
      contacts: [...this.#listed, ...this.#seeds],
      isAvoided: (host) => (this.#avoidedUntilMs.get(host) ?? 0) > nowMs,
    });
    this.#partners = new Set(peers.map(({ host }) => host));
    for (const host of this.#partners) this.#liveness.expect(host, nowMs);
    links.setPeers(peers);
  }

  #receive(from: HostId, message: MembershipMessage): void {
    this.#handle(from, message);
    if (this.#isChanged || this.#states.get(from) === "suspect") {
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
        if (!this.#liveness.isSilent(message.host, nowMs)) {
          this.#channel.send(from, { kind: "vouch", host: message.host });
        }
        return;
      case "vouch":
        this.#liveness.vouch(message.host, nowMs);
        return;
    }
  }

  #receiveHeartbeat(from: HostId, heartbeat: Heartbeat, nowMs: number): void {
    this.#liveness.hear(from, nowMs);
    for (const record of heartbeat.news) this.#merge(record);
    const known = this.#table.get(from);
    if (known) {
      this.#zoneHeardMs.set(known.zone, nowMs);
      const { incarnation, version, status } = heartbeat;
      const claimed = { ...known, incarnation, version, status };
      if (isNewer(claimed, known)) this.#merge(claimed);
      else if (isNewer(known, claimed)) this.#correct(from, known);
    }
    if (heartbeat.digest !== this.#table.digest) this.#requestSync(from, nowMs);
  }

  /** The sender has not heard what is said of it; it will settle that. */
  #correct(host: HostId, record: MemberRecord): void {
    this.#channel.send(host, {
      kind: "sync",
      isReply: true,
      records: [record],
    });
  }

  #requestSync(host: HostId, nowMs: number): void {
    if (nowMs - this.#lastSyncMs < SYNC_PERIOD_MS) return;
    this.#lastSyncMs = nowMs;
    this.#sendRecords(host, [...this.#table.records()], false);
  }

  #sendRecords(
    host: HostId,
    records: readonly MemberRecord[],
    isReply: boolean,
  ): void {
    for (let start = 0; start < records.length; start += SYNC_CHUNK_RECORDS) {
      const chunk = records.slice(start, start + SYNC_CHUNK_RECORDS);
      this.#channel.send(host, { kind: "sync", isReply, records: chunk });
    }
  }

  #receiveSync(
    from: HostId,
    records: readonly MemberRecord[],
    isReply: boolean,
  ): void {
    const given = new Map(records.map((record) => [record.host, record]));
    for (const record of records) this.#merge(record);
    if (isReply) return;
    const lacking = [...this.#table.records()].filter((record) => {
      const theirs = given.get(record.host);
      return !theirs || isNewer(record, theirs);
    });
    this.#sendRecords(from, lacking, true);
  }

  #merge(record: MemberRecord): boolean {
    const isRumourOfSelf = record.host === this.#own.host &&
      record !== this.#own;
    if (isRumourOfSelf) {
      this.#refute(record);
      return false;
    }
    const nowMs = this.#services.clock.monotonicMs();
    if (!this.#table.merge(record, nowMs)) return false;
    this.#news.add(record.host);
    this.#arePeersStale = true;
    this.#isChanged = true;
    if (record.status === "gone") this.#liveness.forget(record.host);
    return true;
  }

  /** A rumour about this daemon that is newer than its own record. */
  #refute(rumour: MemberRecord): void {
    if (!isNewer(rumour, this.#own)) return;
    const { logger } = this.#services;
    logger.log("warn", "member-rumour-refuted", { status: rumour.status });
    // A start of this host that is said to be later had the clock ahead of now.
    const isOfOtherStart = rumour.incarnation > this.#own.incarnation;
    this.#replaceOwn({
      incarnation: rumour.incarnation + (isOfOtherStart ? 1 : 0),
      version: rumour.version + 1,
    });
    this.#channel.broadcast(this.#heartbeat());
  }

  #publishChange(): void {
    const nowMs = this.#services.clock.monotonicMs();
    const states = new Map<HostId, MemberState>();
    for (const record of this.#table.records()) {
      if (record.status === "gone") continue;
      const state = this.#stateOf(record, nowMs);
      if (this.#states.get(record.host) !== state) this.#isChanged = true;
      states.set(record.host, state);
    }
    if (!this.#isChanged) return;
    this.#isChanged = false;
    this.#states = states;
    this.#cached = undefined;
    this.#didChange.fire();
  }

  #stateOf(record: MemberRecord, nowMs: number): MemberState {
    const { host, incarnation, status } = record;
    if (status === "leaving") return "leaving";
    if (this.#listedLeaving.get(host) === incarnation) return "leaving";
    if (host === this.#own.host) return "alive";
    return this.#isUnheard(record, nowMs) ? "suspect" : "alive";
  }

  #toMember(record: MemberRecord): Member {
    const { host, zone, address, incarnation } = record;
    const state = this.#states.get(host) ?? "alive";
    return { host, zone, address, incarnation, state };
  }
}
