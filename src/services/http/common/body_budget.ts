/** Memory for the bodies of requests, of which each request reserves a part. */

import type { Disposable } from "../../../base/common/lifecycle.ts";

/** Bodies up to this size may use all of the budget, in bytes. */
const MAX_SMALL_BODY_BYTES = 65_536;
/** Fraction of the budget beyond which no larger body is accepted. */
const LARGE_BODY_RATIO = 0.9;

/** Limits the memory that the bodies of all requests use at the same time. */
export class BodyBudget {
  readonly #maxBytes: () => number;
  #usedBytes = 0;

  /** @param maxBytes - Returns the current limit in bytes. */
  constructor(maxBytes: () => number) {
    this.#maxBytes = maxBytes;
  }

  /** Memory that is reserved, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** @returns The reservation of one request, which is empty at first. */
  reserve(): BodyReservation {
    return new BodyReservation((fromBytes, toBytes) => {
      const usedBytes = this.#usedBytes - fromBytes + toBytes;
      if (toBytes > fromBytes && usedBytes > this.#limitFor(toBytes)) {
        return false;
      }
      this.#usedBytes = usedBytes;
      return true;
    });
  }

  /** A part of the budget is left to small bodies. */
  #limitFor(sizeBytes: number): number {
    const maxBytes = this.#maxBytes();
    return sizeBytes <= MAX_SMALL_BODY_BYTES
      ? maxBytes
      : maxBytes * LARGE_BODY_RATIO;
  }
}

/** Changes the size of a reservation; returns whether the new one fits. */
type Resize = (fromBytes: number, toBytes: number) => boolean;

/** Memory that the body of one request uses, also while it arrives. */
export class BodyReservation implements Disposable {
  readonly #resize: Resize;
  #sizeBytes = 0;
  #isDisposed = false;

  /** @param resize - Changes the size. */
  constructor(resize: Resize) {
    this.#resize = resize;
  }

  /** Whether the request has ended, so that nothing may be reserved. */
  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /**
   * Reserves more memory.
   *
   * @param sizeBytes - The memory that the body uses in total.
   * @returns Whether that much is reserved now; otherwise nothing has changed.
   */
  tryGrowTo(sizeBytes: number): boolean {
    if (this.#isDisposed) return false;
    if (sizeBytes <= this.#sizeBytes) return true;
    if (!this.#resize(this.#sizeBytes, sizeBytes)) return false;
    this.#sizeBytes = sizeBytes;
    return true;
  }

  /** Releases what exceeds a size in bytes. */
  shrinkTo(sizeBytes: number): void {
    if (sizeBytes >= this.#sizeBytes) return;
    this.#resize(this.#sizeBytes, sizeBytes);
    this.#sizeBytes = sizeBytes;
  }

  /** Releases all of it. */
  dispose(): void {
    this.#isDisposed = true;
    this.shrinkTo(0);
  }
}
