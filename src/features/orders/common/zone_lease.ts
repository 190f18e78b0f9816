/**
 * Lease that selects the daemon of a zone that sends orders to engines. The
 * store revision at which the lease was acquired serves as fencing token.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import type {
  LeaseId,
  StoreClient,
} from "../../../services/store/common/store_client.ts";

/** Time to live of the lease, in milliseconds. */
export const LEASE_TTL_MS = 15_000;
const RENEW_PERIOD_MS = 4_000;
const RETRY_PERIOD_MS = 5_000;

/** Dependencies of {@link ZoneLease}. */
export interface ZoneLeaseServices {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly host: HostId;
  readonly zone: ZoneName;
  createNonce(): string;
}

/** A lease that this daemon holds. */
export interface HeldLease {
  readonly fence: number;
  /** Monotonic time at which the lease was acquired, in milliseconds. */
  readonly sinceMs: number;
}

/** Acquires the lease when it is available and renews it while it is held. */
export class ZoneLease implements Disposable {
  readonly #services: ZoneLeaseServices;
  readonly #key: string;
  #held: HeldLease | undefined;
  #leaseId: LeaseId | undefined;
  #validUntilMs = -Infinity;
  #timer: Disposable = NOOP_DISPOSABLE;
  #isStarted = false;
  #isDisposed = false;

  /** @param services - Dependencies of the lease. */
  constructor(services: ZoneLeaseServices) {
    this.#services = services;
    this.#key = `orders/lease/${services.zone}`;
  }

  /** The lease, or `undefined` if it may have expired. */
  get held(): HeldLease | undefined {
    return this.remainingMs > 0 ? this.#held : undefined;
  }

  /** Time until the lease may expire, in milliseconds; negative afterwards. */
  get remainingMs(): number {
    return this.#validUntilMs - this.#services.clock.monotonicMs();
  }

  /** Starts to acquire and renew the lease. Further calls have no effect. */
  start(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    void this.#acquireOrRenew();
  }

  /**
   * Releases the lease immediately, for example after an engine rejected the
   * fencing token as stale.
   */
  release(): void {
    this.#validUntilMs = -Infinity;
    this.#held = undefined;
    const leaseId = this.#leaseId;
    this.#leaseId = undefined;
    if (leaseId !== undefined) void this.#services.store.revokeLease(leaseId);
  }

  /** Releases the lease and stops acquiring it. */
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

  /**
   * Renews the lease. The store extends the lease at some point during the
   * call, so the local validity is counted from before the call.
   */
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

  /**
   * Writes the key of the lease.
   *
   * @returns The revision of the write, also if its answer was lost, or
   * `undefined` if the key was not written.
   */
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
