/**
 * Grants the rights to send to endpoints that have a limit. The limit is that
 * of all hosts together, and often below one request a second, so that fixed
 * shares would neither be used nor kept. One hub, the same for all hosts,
 * therefore grants the rights of an endpoint one by one to the hosts that have
 * a request for it. A host that cannot reach that hub sends no more than an
 * equal share.
 *
 * Rights are granted ahead, and those of a granter that has gone are still used
 * while another one takes over. All daemons therefore remember how far the
 * rights of an endpoint were granted, and report it to the granter that they ask.
 *
 * A cold endpoint crashes if its limit is exceeded in a single second, also
 * while hubs change. Its rights are therefore not granted far ahead, a hub that
 * takes over waits until those of its predecessor are used, and what is sent
 * without the granter is less than half of the limit.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import { type Clock, sleep } from "../../../../base/common/clock.ts";
import {
  type Hasher,
  rendezvousOrder,
} from "../../../../base/common/hasher.ts";
import {
  asId,
  type EndpointId,
  type HostId,
} from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import { PeerQuestions } from "../../../../services/peers/common/peer_questions.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import { GrantedRights } from "./granted_rights.ts";
import { HubReach } from "./hub_reach.ts";
import {
  askedRecord,
  LIMIT_CHANNEL,
  type LimitMessage,
} from "./limit_messages.ts";
import {
  keyOf,
  type LimitChange,
  type LimitedProcess,
  type LimitSource,
  type LimitTable,
  lowerRate,
} from "./limit_table.ts";
import { OwnRights } from "./own_rights.ts";
import type { RightOffer } from "./right_schedule.ts";
import {
  type GranterId,
  laterPosition,
  type SchedulePosition,
  SchedulePositions,
} from "./schedule_positions.ts";
import type { HostShare } from "./share_schedule.ts";

/** Reach of this daemon among the hosts of the fleet. */
export interface FleetReach extends HostShare {
  /** Hubs of all these daemons, also those that this one does not reach. */
  readonly plannedHubs: ReadonlySet<HostId>;
  /** Share of the daemons that this one reaches, itself included. */
  readonly reachableShare: number;
}

/** Dependencies of {@link LimitRights}. */
export interface LimitRightsServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly hasher: Hasher;
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay;
  readonly reach: FleetReach;
  readonly table: LimitTable;
}

/** Limit of one endpoint, as listed for operators. */
export interface ListedLimit {
  readonly endpoint: EndpointId;
  /** Absent from daemons of an earlier version, which know no other. */
  readonly source?: LimitSource;
  /**
   * Requests a second of the limit in force; absent once a stated one has ended.
   */
  readonly requestsPerS?: number;
  /** Requests a second that all hosts together may send now. */
  readonly ratePerS: number;
  /** Host that grants the rights, as this daemon knows it. */
  readonly granter: HostId;
  /** Rights that this daemon has granted, to all hosts. */
  readonly granted: number;
  readonly denied: number;
}

/** A right that is used later than this after its time may be in excess. */
const MAX_LATENESS_MS = 500;
/** From a daemon to a hub of its zone, and from there to the granter. */
const MAX_HOPS = 2;
const MAX_SCHEDULES = 2_000;
const MS_PER_SECOND = 1_000;
/**
 * Longest time that a right to send to a cold endpoint is granted ahead. A
 * granter that takes over waits as long.
 */
export const MAX_COLD_WAIT_MS = 1_000;
/** Unused rights of a cold endpoint that may be taken at once after a pause. */
const MAX_UNUSED_COLD_RIGHTS = 1;
/**
 * Part of the rate of a cold endpoint that hosts share which reach no granter,
 * and that a hub grants in place of one that it does not reach. Others may still
 * reach that hub, which grants all of the rate. An endpoint bears half of its
 * rate in addition; the rest of that is for both at once while hosts learn which
 * hubs are reached.
 */
const COLD_SHARE = 0.4;
/**
 * Share of the hosts that a granter of a cold endpoint must reach. Several
 * granters of a divided fleet add one right each to what the endpoint gets in a
 * second, so that there must be few of them.
 */
const MIN_GRANTER_REACH = 0.25;

/** What a daemon asks for. */
type Ask = Pick<
  LimitMessage & { kind: "asked" },
  "record" | "coldPerS" | "maxWaitMs" | "hops" | "position"
>;

/** What a daemon answers. */
type Answer = Pick<LimitMessage & { kind: "offered" }, "offer" | "position">;

/** Rights of all limited endpoints, as one daemon takes and grants them. */
export class LimitRights implements Disposable {
  readonly #services: LimitRightsServices;
  readonly #channel: PeerChannel<LimitMessage>;
  readonly #disposables = new DisposableStore();
  readonly #granted = new BoundedMap<string, GrantedRights>(MAX_SCHEDULES);
  /** For when the granter does not answer. */
  readonly #ownRights: OwnRights;
  readonly #questions: PeerQuestions<Answer>;
  readonly #hubReach: HubReach;
  /** This process as a granter. */
  readonly #granterId: GranterId;
  readonly #positions: SchedulePositions;
  /** This hub and those that it reaches; empty unless this daemon is a hub. */
  #hubs: readonly HostId[] = [];
  /** Monotonic time of the latest change of these hubs in milliseconds. */
  #hubsChangedMs: number;

  /** @param services - Dependencies of the rights. */
  constructor(services: LimitRightsServices) {
    this.#services = services;
    const { clock, links, reach, self, table } = services;
    this.#ownRights = new OwnRights(clock, reach);
    this.#granterId = asId(`${self}/${clock.nowMs()}`);
    this.#positions = new SchedulePositions(clock);
    this.#hubsChangedMs = clock.monotonicMs();
    this.#questions = new PeerQuestions(clock);
    this.#hubReach = this.#disposables.add(new HubReach(services));
    this.#channel = this.#disposables.add(links.openChannel(LIMIT_CHANNEL));
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) =>
        this.#onMessage(from, body)
      ),
    );
    this.#disposables.add(
      table.onDidChange((change) => this.#onChange(change)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      const wasHub = this.#hubs.includes(host);
      this.#updateHubs();
      if (this.#hubs.includes(host)) {
        this.#hubsChangedMs = clock.monotonicMs();
      }
      if (isUp) this.#onLinkUp(host);
      else if (wasHub) this.#onHubLost();
    }));
  }

  /** @returns Whether a right is needed to send to a process. */
  isLimited(process: LimitedProcess): boolean {
    return this.#services.table.rateOf(process) !== undefined;
  }

  /** @returns Whether a process has the limit of a cold endpoint. */
  isCold(process: LimitedProcess): boolean {
    return this.#services.table.coldRateOf(process) !== undefined;
  }

  /**
   * Takes the right to send one request, and waits until it may be sent.
   *
   * @param process - The process to send to.
   * @param maxWaitMs - Longest useful wait in milliseconds.
   * @returns The right, which must be used at once, or when to come back.
   */
  async take(process: LimitedProcess, maxWaitMs: number): Promise<RightOffer> {
    const { clock, metrics, table } = this.#services;
    const coldPerS = table.coldRateOf(process);
    const record = askedRecord(process, table.get(process), coldPerS);
    if (!record) return { kind: "granted", waitMs: 0 };
    const startMs = clock.monotonicMs();
    const offer = await this.#request({
      record,
      coldPerS,
      maxWaitMs: Math.max(0, maxWaitMs),
      hops: 0,
    });
    metrics.count("limit_rights", offer.kind);
    if (offer.kind === "denied") {
      if (coldPerS === undefined) return offer;
      // No right is needed once the endpoint is warm.
      const remainingMs = table.coldRemainingMs(process);
      return { ...offer, freeInMs: Math.min(offer.freeInMs, remainingMs) };
    }
    if (offer.waitMs > 0) await sleep(clock, offer.waitMs);
    const lateMs = clock.monotonicMs() - startMs - offer.waitMs;
    if (lateMs <= MAX_LATENESS_MS) return offer;
    metrics.count("limit_rights", "late");
    return { kind: "denied", freeInMs: 0, retryAfterMs: 0 };
  }

  /** @returns The limits in force, as this daemon knows them. */
  list(): readonly ListedLimit[] {
    const { table } = this.#services;
    return table.current().map((limit) => {
      const { endpoint, ratePerS, source } = limit;
      const requestsPerS = source === "cold"
        ? ratePerS
        : table.get(limit)?.requestsPerS;
      const { granted, denied } = this.#granted.get(keyOf(limit)) ??
        { granted: 0, denied: 0 };
      return {
        endpoint,
        source,
        ...(requestsPerS !== undefined && { requestsPerS }),
        ratePerS,
        granter: this.#granterOf(limit),
        granted,
        denied,
      };
    });
  }

  /** Stops taking and granting rights. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onLinkUp(host: HostId): void {
    const { records } = this.#services.table;
    const { ahead: positions } = this.#positions;
    this.#questions.forgive(host);
    if (records.length === 0 && positions.length === 0) return;
    this.#channel.send(host, { kind: "limits", records, positions });
  }

  /** Reports what was granted to the other hubs, which may take over. */
  #onHubLost(): void {
    const { ahead: positions } = this.#positions;
    if (positions.length === 0) return;
    const hubs = this.#services.overlay.linkedHubs();
    this.#channel.multicast(hubs, { kind: "limits", records: [], positions });
  }

  #onMessage(from: HostId, message: LimitMessage): void {
    const { table } = this.#services;
    switch (message.kind) {
      case "limits":
        for (const record of message.records) table.merge(record);
        for (const { process, ...position } of message.positions ?? []) {
          this.#positions.learn(process, position);
        }
        return;
      case "asked": {
        const { coldPerS, record } = message;
        // A cold limit does not end by an answer, as those in the table do.
        const isStated = coldPerS === undefined ||
          record.requestsPerS !== coldPerS;
        if (isStated) table.merge(record);
        void this.#answer(from, message);
        return;
      }
      case "offered":
        this.#questions.settle(message.number, message);
    }
  }

  async #answer(
    from: HostId,
    { number, ...ask }: LimitMessage & { kind: "asked" },
  ): Promise<void> {
    const offer = await this.#request(ask);
    const position = this.#positions.get(ask.record);
    this.#channel.send(from, { kind: "offered", number, offer, position });
  }

  /** Gets an offer from the granter, which may be this daemon. */
  async #request(asked: Ask): Promise<RightOffer> {
    const { self, table } = this.#services;
    const { record, hops } = asked;
    // The daemon that asks may know more of the endpoint than this one.
    const coldPerS = lowerRate(asked.coldPerS, table.coldRateOf(record));
    const ratePerS = lowerRate(table.rateOf(record), coldPerS);
    if (ratePerS === undefined) return { kind: "granted", waitMs: 0 };
    const isCold = coldPerS !== undefined;
    const maxWaitMs = isCold
      ? Math.min(asked.maxWaitMs, MAX_COLD_WAIT_MS)
      : asked.maxWaitMs;
    const position = laterPosition(this.#positions.get(record), asked.position);
    // Daemons of an earlier version do not say which rights were granted.
    const isUnknown = hops > 0 && !asked.position;
    const granter = this.#granterOf(record);
    if (granter === self) {
      return isCold
        ? this.#grantCold(record, ratePerS, maxWaitMs)
        : this.#grant(record, ratePerS, maxWaitMs, position, isUnknown);
    }
    if (hops >= MAX_HOPS) {
      // Another hub grants the rights at the same time.
      return isCold
        ? this.#takeColdShare(record, ratePerS, maxWaitMs)
        : this.#grant(record, ratePerS, maxWaitMs, position, isUnknown);
    }
    const current = askedRecord(record, table.get(record), coldPerS) ?? record;
    const answer = await this.#ask(granter, {
      kind: "asked",
      record: current,
      maxWaitMs,
      hops: hops + 1,
      coldPerS,
      // A question without a position is one of an earlier version.
      position: position ?? { granter: this.#granterId, aheadMs: 0 },
    });
    if (answer) {
      if (!isCold) this.#learn(record, ratePerS, granter, answer);
      return answer.offer;
    }
    // Answers may have come while this one was waited for.
    const aheadMs = this.#positions.get(record)?.aheadMs ?? 0;
    return isCold
      ? this.#takeColdShare(record, ratePerS, maxWaitMs)
      : this.#ownRights.take(record, ratePerS, maxWaitMs, aheadMs);
  }

  /** Learns from an answer how far the rights of a process are granted. */
  #learn(
    process: LimitedProcess,
    ratePerS: number,
    from: HostId,
    { offer, position }: Answer,
  ): void {
    this.#ownRights.end(process);
    if (position) this.#positions.learn(process, position);
    else if (offer.kind === "granted" && offer.waitMs > 0) {
      // A daemon of an earlier version; only the right itself is known.
      const aheadMs = offer.waitMs + MS_PER_SECOND / ratePerS;
      this.#positions.learn(process, { granter: asId(from), aheadMs });
    }
  }

  #grant(
    process: LimitedProcess,
    ratePerS: number,
    maxWaitMs: number,
    position: SchedulePosition | undefined,
    isUnknown: boolean,
  ): RightOffer {
    const { clock, reach } = this.#services;
    const nowMs = clock.monotonicMs();
    const rights = this.#rightsOf(process);
    rights.recordQuestion(nowMs, isUnknown, this.#hubsChangedMs);
    const isOther = position?.granter !== this.#granterId;
    if (position && isOther && position.aheadMs > 0) {
      rights.deferTo(nowMs + position.aheadMs);
    }
    // Hosts that this daemon does not reach may have a granter of their own.
    const reachablePerS = ratePerS * reach.reachableShare;
    const offer = rights.take(nowMs, reachablePerS, maxWaitMs);
    this.#positions.learn(process, {
      granter: this.#granterId,
      aheadMs: rights.nextMs - nowMs,
    });
    return offer;
  }

  #grantCold(
    process: LimitedProcess,
    ratePerS: number,
    maxWaitMs: number,
  ): RightOffer {
    const { clock, reach } = this.#services;
    const { reachableShare } = reach;
    if (reachableShare < MIN_GRANTER_REACH) {
      return this.#takeColdShare(process, ratePerS, maxWaitMs);
    }
    const rights = this.#rightsOf(process);
    const share = this.#isSubstitute(process)
      ? reachableShare * COLD_SHARE
      : reachableShare;
    // Another hub may have granted rights before the hubs changed.
    rights.deferTo(this.#hubsChangedMs + MAX_COLD_WAIT_MS);
    return rights.take(
      clock.monotonicMs(),
      ratePerS * share,
      maxWaitMs,
      share < 1 ? 0 : MAX_UNUSED_COLD_RIGHTS,
    );
  }

  /** Takes a right of this host alone, as no granter can be reached. */
  #takeColdShare(
    process: LimitedProcess,
    ratePerS: number,
    maxWaitMs: number,
  ): RightOffer {
    return this.#ownRights.takeCold(process, ratePerS * COLD_SHARE, maxWaitMs);
  }

  #rightsOf(process: LimitedProcess): GrantedRights {
    const key = keyOf(process);
    const nowMs = this.#services.clock.monotonicMs();
    const rights = this.#granted.get(key) ?? new GrantedRights(nowMs);
    this.#granted.set(key, rights);
    return rights;
  }

  /** @returns The answer, or `undefined` if the host does not answer. */
  #ask(
    host: HostId,
    message: Omit<LimitMessage & { kind: "asked" }, "number">,
  ): Promise<Answer | undefined> {
    const { logger, metrics } = this.#services;
    return this.#questions.ask(
      host,
      (number) => this.#channel.send(host, { ...message, number }),
      () => {
        metrics.count("limit_rights", "unanswered");
        logger.log("warn", "limit-granter-silent", {
          endpoint: message.record.endpoint,
          peer: host,
        });
      },
    );
  }

  /**
   * The hub that grants the rights of an endpoint. A daemon that is not a hub
   * asks through its own.
   */
  #granterOf({ endpoint }: LimitedProcess): HostId {
    const { hasher, overlay, self } = this.#services;
    this.#updateHubs();
    if (!overlay.isHub) return overlay.homeHub() ?? self;
    return rendezvousOrder(hasher, taskOf(endpoint), this.#hubs)[0]!;
  }

  /** Whether this hub grants in place of one that others may still reach. */
  #isSubstitute({ endpoint }: LimitedProcess): boolean {
    const { hasher, self } = this.#services;
    const missing = this.#hubReach.missingHubs().filter((hub) =>
      !this.#hubReach.isUnreached(hub)
    );
    if (missing.length === 0) return false;
    const candidates = [self, ...missing];
    return rendezvousOrder(hasher, taskOf(endpoint), candidates)[0] !== self;
  }

  #updateHubs(): void {
    const { clock, overlay, self } = this.#services;
    this.#hubReach.update();
    const hubs = overlay.isHub ? [self, ...overlay.linkedHubs()] : [];
    if (areEqual(hubs, this.#hubs)) return;
    this.#hubs = hubs;
    this.#hubsChangedMs = clock.monotonicMs();
  }

  #onChange({ record, isLocal }: LimitChange): void {
    const { logger, metrics, overlay, reach } = this.#services;
    const { endpoint, requestsPerS, lastRequestsPerS } = record;
    const isNamed = requestsPerS !== undefined;
    metrics.count("limits_changed", isNamed ? "named" : "ended");
    logger.log("info", isNamed ? "endpoint-limited" : "endpoint-limit-ended", {
      endpoint,
      requestsPerS: requestsPerS ?? lastRequestsPerS,
      isObservedHere: isLocal,
      granter: this.#granterOf(record),
      reachableShare: Number(reach.reachableShare.toFixed(2)),
    });
    if (!isLocal && !overlay.isHub) return;
    const hosts = [...overlay.linkedHubs(), ...overlay.linkedLeaves()];
    this.#channel.multicast(hosts, { kind: "limits", records: [record] });
  }
}

function taskOf(endpoint: EndpointId): string {
  return `limits/${endpoint}`;
}

function areEqual(left: readonly HostId[], right: readonly HostId[]): boolean {
  return left.length === right.length &&
    left.every((host, index) => host === right[index]);
}
