/**
 * Registers this host in the store under a leased key, so that the entry
 * expires after the process has died.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import { runRounds } from "../../../base/common/rounds.ts";
import { leftOf } from "../../../base/common/result.ts";
import type { Logger } from "../../log/common/logger.ts";
import type {
  LeaseStore,
  StoreCallFailure,
} from "../../mirror/common/revisioned_store.ts";

/**
 * Time to live of the entry after its host has died. Peer links detect a dead
 * host within seconds, so the lease can be long enough to survive most outages
 * of the store.
 */
const LEASE_TTL_MS = 24_000;
/** Two consecutive renewals may fail before the lease expires. */
const RENEWALS_PER_TTL = 3;
/** Delay before a failed registration or renewal is retried. */
const RETRY_DELAY_MS = 400;
/**
 * Time over which the hosts register again after the store was restored from a
 * copy, so that they stay within the rate of writes.
 */
const RESTORE_SPREAD_MS = 1_000;

/** Registers one key under a lease and renews the lease until disposed. */
export class HostLease implements Disposable {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #store: LeaseStore;
  readonly #key: string;
  readonly #value: Uint8Array;
  #lease: number | undefined;
  #ttlMs = LEASE_TTL_MS;
  #isDisposed = false;
  #hasFailed = false;
  #restoreCount = 0;
  #pause: { readonly timer: Disposable; readonly end: () => void } | undefined;

  /**
   * @param clock - The clock that schedules the renewals.
   * @param logger - The logger for lost and regained leases.
   * @param store - The store.
   * @param key - The key of this host's entry.
   * @param value - The encoded entry of this host.
   */
  constructor(
    clock: Clock,
    logger: Logger,
    store: LeaseStore,
    key: string,
    value: Uint8Array,
  ) {
    this.#clock = clock;
    this.#logger = logger;
    this.#store = store;
    this.#key = key;
    this.#value = value;
  }

  /** Registers the entry and renews its lease until disposed. */
  run(): Promise<void> {
    return runRounds(
      this.#clock,
      () => this.#isDisposed,
      () => this.#runRound(),
    );
  }

  /**
   * Registers the entry under a new lease after the store was restored from a
   * copy, in which the lease may be missing or belong to another host.
   *
   * @param fraction - Position of this host among those that register again,
   * from 0 to 1.
   */
  onStoreRestored(fraction: number): void {
    this.#lease = undefined;
    this.#restoreCount++;
    const delayMs = fraction * RESTORE_SPREAD_MS;
    this.#clock.setTimer(delayMs, () => this.#endPause());
  }

  async #runRound(): Promise<void> {
    const failure = this.#lease === undefined
      ? await this.#announce()
      : await this.#renew(this.#lease);
    this.#logTransition(failure);
    const isRegistered = !failure && this.#lease !== undefined;
    const delayMs = isRegistered
      ? this.#ttlMs / RENEWALS_PER_TTL
      : RETRY_DELAY_MS;
    await this.#pauseFor(delayMs);
  }

  #pauseFor(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#clock.setTimer(delayMs, () => this.#endPause());
      this.#pause = { timer, end: resolve };
    });
  }

  #endPause(): void {
    const pause = this.#pause;
    this.#pause = undefined;
    pause?.timer.dispose();
    pause?.end();
  }

  /**
   * Stops renewing and revokes the lease, so that the entry is removed at once,
   * as on a graceful shutdown.
   */
  async withdraw(): Promise<void> {
    this.dispose();
    const lease = this.#lease;
    if (lease === undefined) return;
    const revoked = await this.#store.revokeLease(lease);
    revoked.ifLeft(({ message }) =>
      this.#logger.log("warn", "host-lease-not-ended", { detail: message })
    );
  }

  /** Stops renewing; the entry then expires with its lease. */
  dispose(): void {
    this.#isDisposed = true;
  }

  async #announce(): Promise<StoreCallFailure | undefined> {
    const restoreCount = this.#restoreCount;
    const granted = await this.#store.grantLease(LEASE_TTL_MS);
    if (granted.isLeft()) return granted.extract();
    const { lease, ttlMs } = granted.unsafeCoerce();
    const stored = await this.#store.putLeased(this.#key, this.#value, lease);
    if (stored.isLeft()) return stored.extract();
    // A lease from before a restore is not used any more.
    if (restoreCount !== this.#restoreCount) return undefined;
    this.#lease = lease;
    this.#ttlMs = ttlMs;
    return undefined;
  }

  async #renew(lease: number): Promise<StoreCallFailure | undefined> {
    const renewed = await this.#store.renewLease(lease);
    const failure = leftOf(renewed);
    if (failure?.kind === "not-found") this.#lease = undefined;
    return failure;
  }

  #logTransition(failure: StoreCallFailure | undefined): void {
    if (failure && !this.#hasFailed) {
      const { kind, message } = failure;
      const fields = { reason: kind, detail: message };
      this.#logger.log("warn", "host-lease-lost", fields);
    } else if (!failure && this.#hasFailed) {
      this.#logger.log("info", "host-lease-regained", {});
    }
    this.#hasFailed = failure !== undefined;
  }
}
