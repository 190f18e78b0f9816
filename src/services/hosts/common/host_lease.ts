/** Announces this host under a leased key for as long as its process lives. */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import { leftOf } from "../../../base/common/result.ts";
import type { Logger } from "../../log/common/logger.ts";
import type {
  LeaseStore,
  StoreCallFailure,
} from "../../mirror/common/revisioned_store.ts";

/**
 * Lifetime of an entry after its host has died. Links notice death in seconds,
 * and a lease of this length outlives most outages of the store.
 */
const LEASE_TTL_MS = 24_000;
/** Two renewals may be lost before the entry goes. */
const RENEWALS_PER_TTL = 3;
const RETRY_DELAY_MS = 400;

/** Keeps one leased key. */
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

  /**
   * @param clock - Clock of the renewals.
   * @param logger - Where lost and regained leases are told.
   * @param store - The store.
   * @param key - Key of this host.
   * @param value - Its announcement.
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

  /** Runs until disposed. */
  async run(): Promise<void> {
    while (!this.#isDisposed) {
      const failure = this.#lease === undefined
        ? await this.#announce()
        : await this.#renew(this.#lease);
      this.#logTransition(failure);
      const delayMs = failure ? RETRY_DELAY_MS : this.#ttlMs / RENEWALS_PER_TTL;
      await sleep(this.#clock, delayMs);
    }
  }

  /** Withdraws the announcement, as when the host stops. */
  async withdraw(): Promise<void> {
    this.dispose();
    const lease = this.#lease;
    if (lease === undefined) return;
    const revoked = await this.#store.revokeLease(lease);
    revoked.ifLeft(({ message }) =>
      this.#logger.log("warn", "host-lease-not-ended", { detail: message })
    );
  }

  /** Stops renewing; the entry lapses. */
  dispose(): void {
    this.#isDisposed = true;
  }

  async #announce(): Promise<StoreCallFailure | undefined> {
    const granted = await this.#store.grantLease(LEASE_TTL_MS);
    if (granted.isLeft()) return granted.extract();
    const { lease, ttlMs } = granted.unsafeCoerce();
    const stored = await this.#store.putLeased(this.#key, this.#value, lease);
    if (stored.isLeft()) return stored.extract();
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
