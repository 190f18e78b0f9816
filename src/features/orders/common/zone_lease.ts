/**
 * The lease that makes one daemon of a zone the giver of orders. Its fencing
 * number is the store's revision at which the lease was taken.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NO_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import type {
  LeaseId,
  StoreClient,
} from "../../../services/store/common/store_client.ts";

/** Time to live of the lease. */
export const LEASE_TTL_MS = 15_000;
const RENEW_PERIOD_MS = 4_000;
const RETRY_PERIOD_MS = 5_000;

/** What the lease works with. */
export interface ZoneLeaseServices {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly host: HostId;
  readonly zone: ZoneName;
  createNonce(): string;
}

/** A lease that is held. */
export interface HeldLease {
  readonly fence: number;
  /** When the lease was taken, in monotonic milliseconds. */
  readonly sinceMs: number;
}

/** Takes the lease when it is free and renews it while it is held. */
export class ZoneLease implements Disposable {
  readonly #services: ZoneLeaseServices;
  readonly #key: string;
  #held: HeldLease | undefined;
  #leaseId: LeaseId | undefined;
  #validUntilMs = -Infinity;
  #timer: Disposable = NO_DISPOSABLE;
  #isStarted = false;
  #isDisposed = false;

  /** @param services - Store, clock and names. */
  constructor(services: ZoneLeaseServices) {
    this.#services = services;
    this.#key = `orders/lease/${services.zone}`;
  }

  /** The lease, while it is surely held. */
  get held(): HeldLease | undefined {
    return this.remainingMs > 0 ? this.#held : undefined;
  }

  /** Time for which the lease is surely held, in milliseconds. */
  get remainingMs(): number {
    return this.#validUntilMs - this.#services.clock.monotonicMs();
  }

  /** Starts to take and renew the lease; a second start does nothing. */
  start(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    void this.#acquireOrRenew();
  }

  /** Gives the lease up at once, for example after a stale fencing number. */
  release(): void {
    this.#validUntilMs = -Infinity;
    this.#held = undefined;
    const leaseId = this.#leaseId;
    this.#leaseId = undefined;
    if (leaseId !== undefined) void this.#services.store.revokeLease(leaseId);
  }

  /** Gives the lease up and takes it no more. */
  dispose(): void {
    this.#isDisposed = true;
    this.#timer.dispose();
    this.release();
  }

  async #acquireOrRenew(): Promise<void> {
    if (this.held && this.#leaseId !== undefined) {
      await this.#renew(this.#leaseId);
    } else await this.#acquire();
    if (this.#isDisposed) return;
    const periodMs = this.held ? RENEW_PERIOD_MS : RETRY_PERIOD_MS;
    this.#timer = this.#services.clock.setTimer(
      periodMs,
      () => void this.#acquireOrRenew(),
    );
  }

  /** Time counts from before the call, since the store counts from within it. */
  async #renew(leaseId: LeaseId): Promise<void> {
    const requestedMs = this.#services.clock.monotonicMs();
    const renewed = await this.#services.store.renewLease(leaseId);
    if (renewed.isLeft() || leaseId !== this.#leaseId) return;
    const lease = rightOf(renewed);
    if (lease) this.#validUntilMs = requestedMs + lease.ttlMs;
    else this.release();
  }

  async #acquire(): Promise<void> {
    const { clock, store, host, createNonce } = this.#services;
    this.release();
    const current = await store.get(this.#key);
    if (current.isLeft() || rightOf(current) || this.#isDisposed) return;
    const requestedMs = clock.monotonicMs();
    const lease = rightOf(await store.grantLease(LEASE_TTL_MS));
    if (!lease || this.#isDisposed) return;
    this.#leaseId = lease.id;
    const value = `${host} ${createNonce()}`;
    const fence = await this.#writeKey(value, lease.id);
    if (fence === undefined) {
      this.release();
      return;
    }
    this.#validUntilMs = requestedMs + lease.ttlMs;
    this.#held = { fence, sinceMs: clock.monotonicMs() };
  }

  /** @returns The revision of our write, also when its answer was lost. */
  async #writeKey(
    value: string,
    leaseId: LeaseId,
  ): Promise<number | undefined> {
    const { store } = this.#services;
    const written = await store.put({
      key: this.#key,
      value,
      expectedRevision: 0,
      leaseId,
    });
    const result = rightOf(written);
    if (result) return result.kind === "written" ? result.revision : undefined;
    if (leftOf(written)?.kind !== "unknown") return undefined;
    const entry = rightOf(await store.get(this.#key));
    return entry?.value === value ? entry.revision : undefined;
  }
}
