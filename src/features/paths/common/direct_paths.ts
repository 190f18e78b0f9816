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

/**
 * Why a direct path is lost: how the latest connection failed, or `silent` if
 * connections open and carry no response.
 */
export type PathLoss = ConnectFailure | "silent";

/** A direct path that was lost or has returned. */
export interface DirectPathChange {
  readonly address: Address;
  /** Why the path is lost; `undefined` if it has returned. */
  readonly loss: PathLoss | undefined;
  /** Time for which the path was lost, in milliseconds; 0 when it is lost. */
  readonly lostForMs: number;
}

interface DirectPath {
  /** Monotonic time of the latest data or new connection, in milliseconds. */
  receivedMs: number;
  lost: { readonly loss: PathLoss; readonly sinceMs: number } | undefined;
}

const MAX_PATHS = 2_000;
/**
 * Lost paths to a group of endpoints from which the others of the group are in
 * doubt as well.
 */
const MIN_LOST_FOR_DOUBT = 2;

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

  /** @returns Why the path to an address is lost, or `undefined`. */
  lossOf(address: Address): PathLoss | undefined {
    return this.#paths.get(address)?.lost?.loss;
  }

  /**
   * @returns Since when the path to an address is lost, as a monotonic time in
   * milliseconds, or `undefined`.
   */
  lostSinceMs(address: Address): number | undefined {
    return this.#paths.get(address)?.lost?.sinceMs;
  }

  /** @returns Whether no new connection to an address can be used. */
  isLost(address: Address): boolean {
    return this.#lost.has(address);
  }

  /**
   * Returns since when the path to an address is lost or in doubt. It is in
   * doubt while paths to other endpoints of its group are lost and nothing has
   * arrived from any of them since.
   *
   * @param address - Address of an endpoint.
   * @param group - Addresses of all endpoints of its service.
   * @returns Monotonic time in milliseconds, or `undefined` if the path is
   * taken for open.
   */
  doubtedSinceMs(
    address: Address,
    group: readonly Address[],
  ): number | undefined {
    if (this.#lost.size === 0) return undefined;
    const lost = this.#paths.get(address)?.lost;
    if (lost) return lost.sinceMs;
    const lostSinceMs = group.flatMap((other) =>
      this.#paths.get(other)?.lost?.sinceMs ?? []
    );
    if (lostSinceMs.length < MIN_LOST_FOR_DOUBT) return undefined;
    const sinceMs = Math.min(...lostSinceMs);
    const hasReceived = group.some((other) =>
      (this.#paths.get(other)?.receivedMs ?? -Infinity) > sinceMs
    );
    return hasReceived ? undefined : sinceMs;
  }

  /** {@inheritDoc ConnectionObserver.onOpened} */
  onOpened(address: Address): void {
    const path = this.#pathOf(address);
    // A connection that opens proves nothing if earlier ones carried no data.
    if (path.lost?.loss === "silent") return;
    this.onUsable(address);
  }

  /** Records that the endpoint has responded on a new connection. */
  onUsable(address: Address): void {
    const nowMs = this.#clock.monotonicMs();
    const path = this.#pathOf(address);
    path.receivedMs = nowMs;
    const { lost } = path;
    if (!lost) return;
    path.lost = undefined;
    this.#lost.delete(address);
    const lostForMs = nowMs - lost.sinceMs;
    this.#changed.fire({ address, loss: undefined, lostForMs });
  }

  /** {@inheritDoc ConnectionObserver.onOpenFailed} */
  onOpenFailed(
    address: Address,
    failure: ConnectFailure,
    startedMs = this.#clock.monotonicMs(),
  ): void {
    // Something has arrived since the connection was tried.
    if (this.#pathOf(address).receivedMs > startedMs) return;
    this.#lose(address, failure);
  }

  /** Records that a new connection carried no response. */
  onSilent(address: Address): void {
    this.#lose(address, "silent");
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
    path.lost = undefined;
    this.#lost.delete(address);
  }

  #lose(address: Address, loss: PathLoss): void {
    const path = this.#pathOf(address);
    if (path.lost) return;
    path.lost = { loss, sinceMs: this.#clock.monotonicMs() };
    this.#lost.add(address);
    this.#changed.fire({ address, loss, lostForMs: 0 });
  }

  #pathOf(address: Address): DirectPath {
    const known = this.#paths.get(address);
    if (known) return known;
    const path = { receivedMs: -Infinity, lost: undefined };
    this.#paths.set(address, path);
    return path;
  }
}
