/** Which requests a connection has carried. */

import type { RequestId } from "../../../base/common/ids.ts";

/** Largest number of requests that may still be sent again. */
export const MAX_REPEATABLE = 4_096;
/** Number of requests from which those that are not sent again are forgotten. */
const MIN_SWEEP_SIZE = 128;

/**
 * Remembers the requests of one connection for as long as they may be sent
 * again. An endpoint may answer a request twice on its connection, and the second
 * answer cannot be distinguished from that to a later send of the same request.
 * So a connection carries each request once.
 */
export class ConnectionHistory {
  /** Monotonic times until which requests may be sent again, in milliseconds. */
  readonly #untilMs = new Map<RequestId, number>();
  #sweepSize = MIN_SWEEP_SIZE;
  #carriedCount = 0;

  /** Number of requests that the connection has carried. */
  get carriedCount(): number {
    return this.#carriedCount;
  }

  /** Whether the connection must carry no further requests. */
  get isFull(): boolean {
    return this.#untilMs.size >= MAX_REPEATABLE;
  }

  /** @returns Whether the connection has carried a request before. */
  hasCarried(request: RequestId): boolean {
    return this.#untilMs.has(request);
  }

  /**
   * Records that the connection carries a request from now on.
   *
   * @param request - Id of the request.
   * @param untilMs - Monotonic time until which it may be sent again, in
   * milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   */
  record(request: RequestId, untilMs: number, nowMs: number): void {
    this.#carriedCount++;
    this.#untilMs.set(request, untilMs);
    if (this.#untilMs.size < this.#sweepSize) return;
    for (const [other, otherUntilMs] of this.#untilMs) {
      if (otherUntilMs < nowMs) this.#untilMs.delete(other);
    }
    this.#sweepSize = Math.max(MIN_SWEEP_SIZE, 2 * this.#untilMs.size);
  }
}
