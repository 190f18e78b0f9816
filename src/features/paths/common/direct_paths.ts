/**
 * Tracks which endpoints this host can connect to itself. A failed connection
 * says nothing about the endpoint: other hosts may still reach it.
 */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { Address } from "../../../base/common/ids.ts";
import type {
  ConnectFailure,
  ConnectionObserver,
} from "../../../services/http/common/connection_observer.ts";

/** A direct path that was lost or has returned. */
export interface DirectPathChange {
  readonly address: Address;
  /** Why the latest connection could not be opened; `undefined` if it was. */
  readonly failure: ConnectFailure | undefined;
  /** Time for which the path was lost, in milliseconds; 0 when it is lost. */
  readonly lostForMs: number;
}

interface DirectPath {
  /** Monotonic time of the latest data or new connection, in milliseconds. */
  receivedMs: number;
  /** Monotonic time of the first of the failed connections, if it is lost. */
  lostSinceMs: number | undefined;
}

const MAX_PATHS = 2_000;

/** Direct paths of one host, by the address of the endpoint. */
export class DirectPaths implements ConnectionObserver {
  readonly #clock: Clock;
  readonly #paths = new BoundedMap<Address, DirectPath>(MAX_PATHS);
  readonly #lost = new Set<Address>();
  readonly #changed = new Emitter<DirectPathChange>();

  /** Fires when a path is lost or has returned. */
  readonly onDidChange = this.#changed.event;

  /** @param clock - Measures how long paths are lost. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Addresses to which no new connection can be opened. */
  get lostAddresses(): readonly Address[] {
    return [...this.#lost];
  }

  /** @returns Whether no new connection to an address can be opened. */
  isLost(address: Address): boolean {
    return this.#lost.has(address);
  }

  /** {@inheritDoc ConnectionObserver.onOpened} */
  onOpened(address: Address): void {
    const nowMs = this.#clock.monotonicMs();
    const path = this.#pathOf(address);
    path.receivedMs = nowMs;
    const { lostSinceMs } = path;
    if (lostSinceMs === undefined) return;
    path.lostSinceMs = undefined;
    this.#lost.delete(address);
    const lostForMs = nowMs - lostSinceMs;
    this.#changed.fire({ address, failure: undefined, lostForMs });
  }

  /** {@inheritDoc ConnectionObserver.onOpenFailed} */
  onOpenFailed(address: Address, failure: ConnectFailure): void {
    const path = this.#pathOf(address);
    if (path.lostSinceMs !== undefined) return;
    path.lostSinceMs = this.#clock.monotonicMs();
    this.#lost.add(address);
    this.#changed.fire({ address, failure, lostForMs: 0 });
  }

  /** {@inheritDoc ConnectionObserver.onReceived} */
  onReceived(address: Address): void {
    // An open connection may live on while no new one can be opened.
    this.#pathOf(address).receivedMs = this.#clock.monotonicMs();
  }

  /** Forgets an address, as when its endpoint is gone. */
  forget(address: Address): void {
    const path = this.#paths.get(address);
    if (!path) return;
    path.lostSinceMs = undefined;
    this.#lost.delete(address);
  }

  #pathOf(address: Address): DirectPath {
    const known = this.#paths.get(address);
    if (known) return known;
    const path = { receivedMs: -Infinity, lostSinceMs: undefined };
    this.#paths.set(address, path);
    return path;
  }
}
