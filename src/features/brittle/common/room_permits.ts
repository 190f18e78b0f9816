/**
 * Permits to send to brittle endpoints. The number of requests that such an
 * endpoint can turn away is that of all hosts together, so that one hub, the
 * same for all hosts, gives away its places. A host that cannot reach that hub
 * sends so little that all its requests may be turned away.
 */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { EndpointId, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../services/peers/common/peer_overlay.ts";
import { PeerQuestions } from "../../../services/peers/common/peer_questions.ts";
import { BRITTLE_CHANNEL, type BrittleMessage } from "./brittle_messages.ts";
import type {
  BrittleChange,
  BrittleProcess,
  BrittleRecord,
  BrittleTable,
} from "./brittle_table.ts";
import { type HeldPlaces, HeldPlacesTable } from "./held_places.ts";
import { holderHost, RoomGate, type RoomOffer } from "./room_gate.ts";

/** A process that is asked for a place, with what is known of its size. */
export interface RoomProcess extends BrittleProcess {
  /** Requests that it runs at the same time. */
  readonly slots: number;
}

/** A place at a brittle endpoint. */
export interface RoomPermit {
  /**
   * Returns the place.
   *
   * @param wasRejected - Whether the endpoint turned the request away for want
   * of room.
   */
  release(wasRejected: boolean): void;
}

/** Result of taking a permit. */
export type PermitOffer =
  | { readonly kind: "granted"; readonly permit: RoomPermit }
  | { readonly kind: "denied"; readonly freeInMs: number };

/** Dependencies of {@link RoomPermits}. */
export interface RoomPermitsServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hasher: Hasher;
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay;
  readonly reach: {
    readonly fleetSize: number;
    /** Share of the hosts that this daemon reaches, itself included. */
    readonly reachableShare: number;
  };
  readonly table: BrittleTable;
  /** @returns Runs of all hosts at an endpoint, as far as they report them. */
  reportedRuns(endpoint: EndpointId): number;
  /** Counts an event for the metrics. */
  count(event: "granted" | "denied" | "rejected" | "unanswered"): void;
}

/** A brittle endpoint, as listed for operators. */
export interface ListedBrittle {
  readonly endpoint: EndpointId;
  readonly rejectionsPerS: number;
  /** Host that gives away the places, as this daemon knows it. */
  readonly granter: HostId;
  /** Places that this daemon has given away and not got back. */
  readonly taken: number;
}

/** From a daemon to a hub of its zone, and from there to the granter. */
const MAX_HOPS = 2;
const MAX_GATES = 2_000;
/** Bounds a message about places, which receivers bound too. */
const MAX_HELD = 2_000;
const MAX_LEASE_MS = 60_000;
/** Share of the bearable rejections that hosts without a granter risk. */
const UNGRANTED_SHARE = 0.25;
const MS_PER_SECOND = 1_000;
const HASH_RANGE = 2 ** 32;

/** What a host asks for. */
type RoomAsk = Omit<BrittleMessage & { kind: "asked" }, "kind" | "number">;

/** Permits as one daemon takes and grants them. */
export class RoomPermits implements Disposable {
  readonly #services: RoomPermitsServices;
  readonly #channel: PeerChannel<BrittleMessage>;
  readonly #questions: PeerQuestions<RoomOffer>;
  readonly #held = new HeldPlacesTable();
  readonly #gates = new BoundedMap<string, RoomGate>(MAX_GATES);
  /** Monotonic time of the next request without a granter. */
  readonly #ungrantedNextMs = new BoundedMap<string, number>(MAX_GATES);
  readonly #disposables = new DisposableStore();
  #permitCount = 0;

  /** @param services - Dependencies of the permits. */
  constructor(services: RoomPermitsServices) {
    const { clock, links, overlay, table } = services;
    this.#services = services;
    this.#questions = new PeerQuestions(clock);
    this.#channel = this.#disposables.add(links.openChannel(BRITTLE_CHANNEL));
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) =>
        this.#onMessage(from, body)
      ),
    );
    this.#disposables.add(
      table.onDidChange((change) => this.#onChange(change)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) {
        this.#questions.forgive(host);
        this.#tell([host], table.records);
      } else this.#tell(overlay.linkedHubs(), []);
    }));
    this.#disposables.add(overlay.onDidChangeHomeHub(() => {
      const home = overlay.homeHub();
      if (home !== undefined) this.#tell([home], []);
    }));
  }

  /** @returns Whether a permit is needed to send to a process. */
  isNeeded(process: BrittleProcess): boolean {
    return this.#services.table.get(process) !== undefined;
  }

  /**
   * Takes a permit to send one request.
   *
   * @param process - The process to send to.
   * @param leaseMs - Time that the request takes at most, in milliseconds.
   */
  async take(process: RoomProcess, leaseMs: number): Promise<PermitOffer> {
    const { count, self, table } = this.#services;
    const record = table.get(process);
    if (!record) return { kind: "granted", permit: NO_PERMIT };
    const holder = `${self}#${this.#permitCount++}`;
    const offer = await this.#request({
      holder,
      record,
      slots: process.slots,
      leaseMs: Math.min(MAX_LEASE_MS, Math.max(1, leaseMs)),
      hops: 0,
      held: this.#held.get(record, self),
    });
    count(offer.kind);
    if (offer.kind === "denied") return offer;
    this.#held.add(record, self, 1);
    let isReleased = false;
    return {
      kind: "granted",
      permit: {
        release: (wasRejected) => {
          if (isReleased) return;
          isReleased = true;
          this.#held.add(record, self, -1);
          this.#release({ holder, record, wasRejected, hops: 0 });
        },
      },
    };
  }

  /** Records that a process has turned away a request without a permit. */
  recordRejection(process: BrittleProcess): void {
    const { self, table } = this.#services;
    const record = table.get(process);
    if (!record) return;
    const holder = `${self}#${this.#permitCount++}`;
    this.#release({ holder, record, wasRejected: true, hops: 0 });
  }

  /** @returns The brittle endpoints, as this daemon knows them. */
  list(): readonly ListedBrittle[] {
    return this.#services.table.records.flatMap((record) => {
      const { endpoint, rejectionsPerS } = record;
      if (rejectionsPerS === undefined) return [];
      const taken = this.#gates.get(keyOf(record))?.takenCount ?? 0;
      return [{
        endpoint,
        rejectionsPerS,
        granter: this.#granterOf(record),
        taken,
      }];
    });
  }

  /** Stops taking and granting permits. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onMessage(from: HostId, message: BrittleMessage): void {
    const { table } = this.#services;
    switch (message.kind) {
      case "records":
        for (const record of message.records) table.merge(record);
        this.#onHeld(from, message.held ?? []);
        return;
      case "asked":
        table.merge(message.record);
        void this.#answer(from, message);
        return;
      case "granted":
        this.#questions.settle(message.number, { kind: "granted" });
        return;
      case "denied": {
        const { freeInMs, number } = message;
        this.#questions.settle(number, { kind: "denied", freeInMs });
        return;
      }
      case "released":
        this.#countForLeaf(from, message, -1);
        this.#release(message);
    }
  }

  async #answer(
    from: HostId,
    message: BrittleMessage & { kind: "asked" },
  ): Promise<void> {
    const offer = await this.#request(message);
    if (offer.kind === "granted") this.#countForLeaf(from, message, 1);
    this.#channel.send(from, { ...offer, number: message.number });
  }

  /** Gets an offer from the granter, which may be this daemon. */
  async #request(asked: RoomAsk): Promise<RoomOffer> {
    const { count, logger, self, table } = this.#services;
    const { hops, record } = asked;
    const granter = hops < MAX_HOPS ? this.#granterOf(record) : self;
    if (granter === self) return this.#grant(asked);
    const current = table.get(record) ?? record;
    const offer = await this.#questions.ask(
      granter,
      (number) =>
        this.#channel.send(granter, {
          ...asked,
          kind: "asked",
          number,
          record: current,
          hops: hops + 1,
        }),
      () => {
        count("unanswered");
        logger.log("warn", "room-granter-silent", {
          endpoint: record.endpoint,
          peer: granter,
        });
      },
    );
    return offer ?? this.#takeUngranted(current);
  }

  #grant({ held, holder, leaseMs, record, slots }: RoomAsk): RoomOffer {
    const { clock, reach, reportedRuns, table } = this.#services;
    const { rejectionsPerS } = table.get(record) ?? record;
    if (rejectionsPerS === undefined) return { kind: "granted" };
    // Hosts that this daemon does not reach may have a granter of their own.
    const share = reach.reachableShare;
    if (slots * share < 1) return this.#takeUngranted(record);
    if (held !== undefined) this.#report(record, holderHost(holder), held);
    return this.#gateOf(record).take(holder, clock.monotonicMs(), leaseMs, {
      slots,
      rejectionsPerS,
      reportedRuns: reportedRuns(record.endpoint),
      share,
    });
  }

  #takeUngranted(record: BrittleRecord): RoomOffer {
    const { clock, hasher, reach, self } = this.#services;
    const { rejectionsPerS = 0 } = record;
    const perS = Math.max(rejectionsPerS, 1) * UNGRANTED_SHARE /
      reach.fleetSize;
    const intervalMs = MS_PER_SECOND / perS;
    const nowMs = clock.monotonicMs();
    const key = keyOf(record);
    // The hosts begin one after the other.
    const phase = hasher.hash32(`${self}/${key}`) / HASH_RANGE;
    const nextMs = this.#ungrantedNextMs.get(key) ?? nowMs + phase * intervalMs;
    const isDue = nowMs >= nextMs;
    this.#ungrantedNextMs.set(key, isDue ? nowMs + intervalMs : nextMs);
    return isDue
      ? { kind: "granted" }
      : { kind: "denied", freeInMs: nextMs - nowMs };
  }

  #release(
    { holder, hops, record, wasRejected }: Omit<
      BrittleMessage & { kind: "released" },
      "kind"
    >,
  ): void {
    const { clock, count, self } = this.#services;
    const granter = hops < MAX_HOPS ? this.#granterOf(record) : self;
    if (hops === 0 && wasRejected) count("rejected");
    if (granter === self) {
      this.#gateOf(record).release(holder, clock.monotonicMs(), wasRejected);
      return;
    }
    this.#channel.send(granter, {
      kind: "released",
      holder,
      record,
      wasRejected,
      hops: hops + 1,
    });
  }

  /**
   * Sends hosts the records of brittle endpoints, and the places that this host
   * and those that ask through it hold.
   */
  #tell(to: readonly HostId[], records: readonly BrittleRecord[]): void {
    const { overlay, self, table } = this.#services;
    const hosts = [self, ...overlay.linkedLeaves()];
    const held = table.records.flatMap((process) =>
      hosts.map((host) => this.#heldBy(process, host))
    );
    if (held.length === 0) return;
    // This hub may be the one that takes over.
    for (const report of held) this.#report(report, report.host, report.places);
    this.#channel.multicast(to, {
      kind: "records",
      records: [...records],
      held: held.slice(0, MAX_HELD),
    });
  }

  /** Learns of the places that hosts have, and passes on those of a leaf. */
  #onHeld(from: HostId, held: readonly HeldPlaces[]): void {
    const { overlay, self } = this.#services;
    const isLeaf = overlay.linkedLeaves().includes(from);
    for (const report of held) {
      const { host, places } = report;
      this.#report(report, host, places);
      if (!isLeaf || host !== from) continue;
      this.#held.set(report, host, places);
      const granter = this.#granterOf(report);
      if (granter === self) continue;
      this.#channel.send(granter, {
        kind: "records",
        records: [],
        held: [report],
      });
    }
  }

  /** Counts a place that a leaf took or returned through this hub. */
  #countForLeaf(
    from: HostId,
    { holder, record }: Pick<RoomAsk, "holder" | "record">,
    places: number,
  ): void {
    if (holderHost(holder) !== from) return;
    if (!this.#services.overlay.linkedLeaves().includes(from)) return;
    this.#held.add(record, from, places);
  }

  #heldBy({ bornMs, endpoint }: BrittleProcess, host: HostId): HeldPlaces {
    const places = this.#held.get({ endpoint, bornMs }, host);
    return { endpoint, bornMs, host, places };
  }

  #report(process: BrittleProcess, host: string, held: number): void {
    const nowMs = this.#services.clock.monotonicMs();
    this.#gateOf(process).report(host, held, nowMs);
  }

  #gateOf(process: BrittleProcess): RoomGate {
    const key = keyOf(process);
    const gate = this.#gates.get(key) ?? new RoomGate();
    this.#gates.set(key, gate);
    return gate;
  }

  /**
   * The hub that gives away the places of an endpoint. A daemon that is not a
   * hub asks through its own.
   */
  #granterOf({ endpoint }: BrittleProcess): HostId {
    const { hasher, overlay, self } = this.#services;
    if (!overlay.isHub) return overlay.homeHub() ?? self;
    const hubs = [self, ...overlay.linkedHubs()];
    return rendezvousOrder(hasher, `rooms/${endpoint}`, hubs)[0]!;
  }

  #onChange({ record, isLocal }: BrittleChange): void {
    const { logger, overlay } = this.#services;
    const { endpoint, rejectionsPerS } = record;
    const isBrittle = rejectionsPerS !== undefined;
    logger.log("info", isBrittle ? "endpoint-brittle" : "endpoint-sturdy", {
      endpoint,
      rejectionsPerS,
      isObservedHere: isLocal,
      granter: this.#granterOf(record),
    });
    if (!isLocal && !overlay.isHub) return;
    const hosts = [...overlay.linkedHubs(), ...overlay.linkedLeaves()];
    this.#channel.multicast(hosts, { kind: "records", records: [record] });
  }
}

const NO_PERMIT: RoomPermit = { release: () => undefined };

function keyOf({ endpoint, bornMs }: BrittleProcess): string {
  return `${endpoint}/${bornMs}`;
}
