/** Chooses the peer that passes a request on to an endpoint. */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import type { RelayPeer } from "../../../services/relay/common/relay_sender.ts";

/** Time for which a peer that did not answer is not asked again. */
const UNRESPONSIVE_COOLDOWN_MS = 1_000;
/** Time for which a peer that refused one endpoint is not asked for it again. */
const REFUSED_COOLDOWN_MS = 300;
/** Time for which a peer that has passed a request on is preferred. */
const PROVEN_MS = 2_000;
/**
 * Requests of this host at one peer from which peers of other zones are
 * considered too.
 */
const MAX_NEAR_REQUESTS = 8;
const MAX_PROVEN = 4_000;

/** Source of the tie-breaking choices. */
export interface ChoiceRandom {
  /** @returns A number from 0 up to 1. */
  float(): number;
}

/** Dependencies of {@link RelayChooser}. */
export interface RelayChooserServices {
  readonly clock: Clock;
  readonly random: ChoiceRandom;
  readonly zone: ZoneName;
  /** @returns The other hosts that pass requests on. */
  peers(): readonly RelayPeer[];
  /** @returns Whether a host cannot reach an address itself. */
  hasLost(host: HostId, address: Address): boolean;
  /** @returns The zone of the endpoint at an address, if it is known. */
  zoneOf(address: Address): ZoneName | undefined;
}

/** Spreads the requests over the peers that reach an endpoint. */
export class RelayChooser {
  readonly #services: RelayChooserServices;
  readonly #requestCounts = new Map<HostId, number>();
  readonly #coolUntilMs = new Map<string, number>();
  /** Monotonic time at which a peer has last reached an address. */
  readonly #provenMs = new BoundedMap<string, number>(MAX_PROVEN);

  /** @param services - Dependencies of the choice. */
  constructor(services: RelayChooserServices) {
    this.#services = services;
  }

  /**
   * Chooses the peer with fewer requests of this host out of two random ones.
   * Peers that have lately reached the endpoint are preferred, then those in
   * the zone of this host or of the endpoint, so that a request crosses between
   * zones once at most, each as long as they are not in heavy use.
   *
   * @param address - Address of the endpoint.
   * @param excluded - Peers that were asked before.
   * @param mayPassTo - Returns whether peers in a zone may be sent the request.
   * @returns The peer, or `undefined` if none reaches the endpoint.
   */
  choose(
    address: Address,
    excluded: ReadonlySet<HostId>,
    mayPassTo: (zone: ZoneName) => boolean = () => true,
  ): RelayPeer | undefined {
    const candidates = this.#candidates(address).filter(({ host, zone }) =>
      !excluded.has(host) && mayPassTo(zone)
    );
    const { clock, zone, zoneOf } = this.#services;
    const endpointZone = zoneOf(address);
    const minProvenMs = clock.monotonicMs() - PROVEN_MS;
    const light = candidates.filter((peer) =>
      this.#requestsAt(peer) < MAX_NEAR_REQUESTS
    );
    const proven = light.filter(({ host }) =>
      (this.#provenMs.get(`${host} ${address}`) ?? -Infinity) >= minProvenMs
    );
    const near = light.filter((peer) =>
      peer.zone === zone || peer.zone === endpointZone
    );
    const pool = [proven, near, candidates].find(({ length }) => length > 0) ??
      [];
    const [first, second] = [this.#pick(pool), this.#pick(pool)];
    if (!first || !second) return undefined;
    return this.#requestsAt(second) < this.#requestsAt(first) ? second : first;
  }

  /** @returns Whether some peer may reach an address. */
  canReach(address: Address): boolean {
    return this.#candidates(address).length > 0;
  }

  /**
   * Counts a request at a peer.
   *
   * @returns A function to call once when the request has ended.
   */
  begin({ host }: RelayPeer): () => void {
    this.#requestCounts.set(host, (this.#requestCounts.get(host) ?? 0) + 1);
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      const remaining = (this.#requestCounts.get(host) ?? 1) - 1;
      if (remaining > 0) this.#requestCounts.set(host, remaining);
      else this.#requestCounts.delete(host);
    };
  }

  /** Records that a peer has passed a request on to an address. */
  recordSuccess({ host }: RelayPeer, address: Address): void {
    const nowMs = this.#services.clock.monotonicMs();
    this.#provenMs.set(`${host} ${address}`, nowMs);
  }

  /** Records that a peer has refused to pass a request on to an address. */
  recordRefusal({ host }: RelayPeer, address: Address): void {
    this.#cool(`${host} ${address}`, REFUSED_COOLDOWN_MS);
  }

  /** Records that a peer did not answer, or passes on nothing now. */
  recordUnresponsive({ host }: RelayPeer): void {
    this.#cool(host, UNRESPONSIVE_COOLDOWN_MS);
  }

  #candidates(address: Address): readonly RelayPeer[] {
    const { clock, hasLost, peers } = this.#services;
    const nowMs = clock.monotonicMs();
    const isCool = (key: string) => nowMs < (this.#coolUntilMs.get(key) ?? 0);
    return peers().filter(({ host }) =>
      !hasLost(host, address) && !isCool(host) && !isCool(`${host} ${address}`)
    );
  }

  #requestsAt({ host }: RelayPeer): number {
    return this.#requestCounts.get(host) ?? 0;
  }

  #cool(key: string, durationMs: number): void {
    const nowMs = this.#services.clock.monotonicMs();
    for (const [other, untilMs] of this.#coolUntilMs) {
      if (untilMs <= nowMs) this.#coolUntilMs.delete(other);
    }
    this.#coolUntilMs.set(key, nowMs + durationMs);
  }

  #pick(peers: readonly RelayPeer[]): RelayPeer | undefined {
    return peers[Math.floor(this.#services.random.float() * peers.length)];
  }
}
