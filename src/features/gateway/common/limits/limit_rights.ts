/**
 * Grants the rights to send to endpoints that name a limit. The limit is that
 * of all hosts together, and often below one request a second, so that fixed
 * shares would neither be used nor kept. One hub, the same for all hosts,
 * therefore grants the rights of an endpoint one by one to the hosts that have
 * a request for it. A host that cannot reach that hub sends no more than an
 * equal share.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import { type Clock, sleep } from "../../../../base/common/clock.ts";
import {
  type Hasher,
  rendezvousOrder,
} from "../../../../base/common/hasher.ts";
import type { EndpointId, HostId } from "../../../../base/common/ids.ts";
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
import { LIMIT_CHANNEL, type LimitMessage } from "./limit_messages.ts";
import type {
  LimitChange,
  LimitedProcess,
  LimitRecord,
  LimitTable,
} from "./limit_table.ts";
import { type RightOffer, RightSchedule } from "./right_schedule.ts";

/** Reach of this daemon among the hosts of the fleet. */
export interface FleetReach {
  /** Number of registered daemons in the fleet. */
  readonly fleetSize: number;
  /** Share of them that this daemon reaches, itself included. */
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
  /** Requests a second that the endpoint named; absent once it has ended. */
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

/** Rights that this daemon grants for one process. */
interface GrantedRights {
  readonly schedule: RightSchedule;
  granted: number;
  denied: number;
}

/** Rights of all limited endpoints, as one daemon takes and grants them. */
export class LimitRights implements Disposable {
  readonly #services: LimitRightsServices;
  readonly #channel: PeerChannel<LimitMessage>;
  readonly #disposables = new DisposableStore();
  readonly #granted = new BoundedMap<string, GrantedRights>(MAX_SCHEDULES);
  /** Rights of this host alone, for when the granter does not answer. */
  readonly #ownShares = new BoundedMap<string, RightSchedule>(MAX_SCHEDULES);
  readonly #questions: PeerQuestions<RightOffer>;

  /** @param services - Dependencies of the rights. */
  constructor(services: LimitRightsServices) {
    this.#services = services;
    const { clock, links, table } = services;
    this.#questions = new PeerQuestions(clock);
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
      if (!isUp) return;
      this.#questions.forgive(host);
      const { records } = table;
      if (records.length > 0) {
        this.#channel.send(host, { kind: "limits", records });
      }
    }));
  }

  /** @returns Whether a right is needed to send to a process. */
  isLimited(process: LimitedProcess): boolean {
    return this.#services.table.rateOf(process) !== undefined;
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
    const record = table.get(process);
    if (!record) return { kind: "granted", waitMs: 0 };
    const startMs = clock.monotonicMs();
    const offer = await this.#request(record, Math.max(0, maxWaitMs), 0);
    metrics.count("limit_rights", offer.kind);
    if (offer.kind === "denied") return offer;
    if (offer.waitMs > 0) await sleep(clock, offer.waitMs);
    const lateMs = clock.monotonicMs() - startMs - offer.waitMs;
    if (lateMs <= MAX_LATENESS_MS) return offer;
    metrics.count("limit_rights", "late");
    return { kind: "denied", freeInMs: 0, retryAfterMs: 0 };
  }

  /** @returns The limits in force, as this daemon knows them. */
  list(): readonly ListedLimit[] {
    const { table } = this.#services;
    return table.records.flatMap((record) => {
      const ratePerS = table.rateOf(record);
      if (ratePerS === undefined) return [];
      const { endpoint, requestsPerS } = record;
      const { granted, denied } = this.#granted.get(keyOf(record)) ??
        { granted: 0, denied: 0 };
      return [{
        endpoint,
        ...(requestsPerS !== undefined && { requestsPerS }),
        ratePerS,
        granter: this.#granterOf(record),
        granted,
        denied,
      }];
    });
  }

  /** Stops taking and granting rights. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onMessage(from: HostId, message: LimitMessage): void {
    const { table } = this.#services;
    switch (message.kind) {
      case "limits":
        for (const record of message.records) table.merge(record);
        return;
      case "asked":
        table.merge(message.record);
        void this.#answer(from, message);
        return;
      case "offered":
        this.#questions.settle(message.number, message.offer);
    }
  }

  async #answer(
    from: HostId,
    { number, record, maxWaitMs, hops }: LimitMessage & { kind: "asked" },
  ): Promise<void> {
    const offer = await this.#request(record, maxWaitMs, hops);
    this.#channel.send(from, { kind: "offered", number, offer });
  }

  /** Gets an offer from the granter, which may be this daemon. */
  async #request(
    record: LimitRecord,
    maxWaitMs: number,
    hops: number,
  ): Promise<RightOffer> {
    const { clock, reach, self, table } = this.#services;
    const ratePerS = table.rateOf(record);
    if (ratePerS === undefined) return { kind: "granted", waitMs: 0 };
    const granter = hops < MAX_HOPS ? this.#granterOf(record) : self;
    if (granter === self) return this.#grant(record, ratePerS, maxWaitMs);
    const current = table.get(record) ?? record;
    const offer = await this.#ask(granter, {
      kind: "asked",
      record: current,
      maxWaitMs,
      hops: hops + 1,
    });
    if (offer) return offer;
    const key = keyOf(record);
    const nowMs = clock.monotonicMs();
    const ownShare = this.#ownShares.get(key) ?? new RightSchedule(nowMs);
    this.#ownShares.set(key, ownShare);
    return ownShare.take(nowMs, ratePerS / reach.fleetSize, maxWaitMs);
  }

  #grant(
    record: LimitRecord,
    ratePerS: number,
    maxWaitMs: number,
  ): RightOffer {
    const { clock, reach } = this.#services;
    const key = keyOf(record);
    const nowMs = clock.monotonicMs();
    const rights = this.#granted.get(key) ??
      { schedule: new RightSchedule(nowMs), granted: 0, denied: 0 };
    this.#granted.set(key, rights);
    // Hosts that this daemon does not reach may have a granter of their own.
    const reachablePerS = ratePerS * reach.reachableShare;
    const offer = rights.schedule.take(nowMs, reachablePerS, maxWaitMs);
    rights[offer.kind]++;
    return offer;
  }

  /** @returns The offer, or `undefined` if the host does not answer. */
  #ask(
    host: HostId,
    message: Omit<LimitMessage & { kind: "asked" }, "number">,
  ): Promise<RightOffer | undefined> {
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
    if (!overlay.isHub) return overlay.homeHub() ?? self;
    const hubs = [self, ...overlay.linkedHubs()];
    return rendezvousOrder(hasher, `limits/${endpoint}`, hubs)[0]!;
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

function keyOf({ endpoint, bornMs }: LimitedProcess): string {
  return `${endpoint}/${bornMs}`;
}
