/** The peers of a daemon: found in the store or through seeds, and dealt roles. */

import { type Clock, setPeriodic } from "../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../base/common/hasher.ts";
import type { Address, HostId } from "../../base/common/ids.ts";
import { type Disposable } from "../../base/common/lifecycle.ts";
import { toPeerAddress } from "../../services/hosts/common/host_entry.ts";
import type { JsonClient } from "../../services/http/node/json_client.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";
import type {
  PeerAddress,
  PeerLinks,
} from "../../services/peers/common/peer_links.ts";
import {
  INTRODUCTION_PATH,
  type LinkPace,
} from "../../services/peers/node/ws_peer_links.ts";
import type { MirrorTopology } from "../../services/mirror/common/mirror_exchange.ts";
import type { PeerListener } from "../common/gateway_knowledge.ts";

/** Daemons of a zone that ask the store; the others step in when it stops. */
const RELAYS_PER_ZONE = 1;
/** Age of the contents from which any daemon asks the store itself. */
const OWN_WATCH_AGE_MS = 2_200;
const INTRODUCTION_TIMEOUT_MS = 700;
const INTRODUCTION_PERIOD_MS = 500;

/** Fleet up to which links are kept alive at the usual pace. */
const USUAL_FLEET = 30;
const KEEPALIVE_AFTER_MS = 1_200;
/** Silence that closes a link, in keepalives. */
const SILENT_KEEPALIVES = 2.5;

/** What the peers are made from. */
export interface GatewayPeersServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hasher: Hasher;
  readonly http: JsonClient;
  readonly links: PeerLinks;
  readonly mirror: StoreMirror;
  readonly self: PeerAddress;
  readonly seedAddresses: () => readonly Address[];
}

/** Keeps links to all daemons that are known. */
export class GatewayPeers implements PeerListener, MirrorTopology, Disposable {
  readonly #services: GatewayPeersServices;
  readonly #peers = new Map<HostId, PeerAddress>();
  readonly #timer: Disposable;

  /** @param services - What the peers are made from. */
  constructor(services: GatewayPeersServices) {
    this.#services = services;
    this.#timer = setPeriodic(
      services.clock,
      INTRODUCTION_PERIOD_MS,
      () => this.askSeeds(),
    );
  }

  /** Daemons in the fleet, as far as is known. */
  get fleetSize(): number {
    const linked = this.#services.links.connectedHosts().length + 1;
    return Math.max(linked, this.#peers.size);
  }

  /** {@inheritDoc PeerListener.onHostListed} */
  onHostListed(peer: PeerAddress): void {
    this.#peers.set(peer.host, peer);
    this.#dial();
  }

  /** {@inheritDoc PeerListener.onHostUnlisted} */
  onHostUnlisted(host: HostId): void {
    // A lease may lapse with the store while its host lives.
    if (this.#services.links.connectedHosts().includes(host)) return;
    this.#peers.delete(host);
    this.#dial();
  }

  /** Pace of the links: the cost of keepalives grows with the fleet. */
  linkPace(): LinkPace {
    const factor = Math.max(1, this.fleetSize / USUAL_FLEET);
    const keepaliveAfterMs = KEEPALIVE_AFTER_MS * factor;
    return {
      keepaliveAfterMs,
      silenceLimitMs: keepaliveAfterMs * SILENT_KEEPALIVES,
    };
  }

  /** Whether this daemon is one of those that ask the store for its zone. */
  isRelay(): boolean {
    const { mirror, self } = this.#services;
    if (mirror.confirmationAgeMs > OWN_WATCH_AGE_MS) return true;
    return this.#relayOrder().indexOf(self.host) < RELAYS_PER_ZONE;
  }

  /** {@inheritDoc MirrorTopology.source} */
  source(): HostId | undefined {
    const { self } = this.#services;
    return this.#relayOrder().find((host) => host !== self.host);
  }

  /** {@inheritDoc MirrorTopology.audience} */
  audience(): readonly HostId[] {
    return this.isRelay() ? this.#near() : [];
  }

  #relayOrder(): readonly HostId[] {
    const { hasher, self } = this.#services;
    return rendezvousOrder(hasher, self.zone, [self.host, ...this.#near()]);
  }

  /** Linked daemons of the own zone. */
  #near(): readonly HostId[] {
    const { links, self } = this.#services;
    return links.connectedHosts().filter((peer) =>
      this.#peers.get(peer)?.zone === self.zone
    );
  }

  /** @returns Text for a daemon that starts while the store is away. */
  introduction(): string {
    return JSON.stringify([this.#services.self, ...this.#peers.values()]);
  }

  /** Asks the seeds for their peers, while nothing else tells of any. */
  askSeeds(): void {
    const { links, mirror, self, seedAddresses } = this.#services;
    if (links.connectedHosts().length > 0) return;
    if (mirror.confirmationAgeMs < OWN_WATCH_AGE_MS) return;
    for (const seed of seedAddresses()) {
      if (seed !== self.address) void this.#askSeed(seed);
    }
  }

  /** Stops asking. */
  dispose(): void {
    this.#timer.dispose();
  }

  async #askSeed(seed: Address): Promise<void> {
    const { http, logger } = this.#services;
    const answer = await http.call(seed, {
      method: "GET",
      target: INTRODUCTION_PATH,
      timeoutMs: INTRODUCTION_TIMEOUT_MS,
    });
    answer.caseOf({
      Left: (detail) =>
        logger.log("info", "seed-silent", { peer: seed, detail }),
      Right: ({ body }) => this.#learnFrom(seed, body),
    });
  }

  #learnFrom(seed: Address, body: unknown): void {
    const values: readonly unknown[] = Array.isArray(body) ? body : [];
    for (const value of values) {
      toPeerAddress(value).caseOf({
        Left: (detail) =>
          this.#services.logger.log("warn", "introduction-unreadable", {
            peer: seed,
            detail,
          }),
        Right: (peer) => {
          if (!this.#peers.has(peer.host)) this.#peers.set(peer.host, peer);
        },
      });
    }
    this.#dial();
  }

  #dial(): void {
    const { links, self } = this.#services;
    links.setPeers(
      [...this.#peers.values()].filter(({ host }) => host !== self.host),
    );
  }
}
