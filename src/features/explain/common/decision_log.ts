/**
 * Bounded in-memory log of the decisions about each request of this daemon,
 * from which the `explain` command describes how a request was handled.
 */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { RequestId } from "../../../base/common/ids.ts";
import type { OutcomeKind } from "../../../services/metrics/common/metrics.ts";
import type { GrantEndReason } from "../../dispatch/common/dispatcher.ts";

const MAX_REQUESTS = 4_096;
const MAX_DECISIONS_PER_REQUEST = 24;

/** A decision about a request. Must not contain a prompt or a request body. */
export type Decision =
  | {
    readonly kind: "asked";
    readonly service: string;
    readonly workspace: string;
    readonly className: string;
    readonly sizeBytes: number;
    readonly maxTokens: number;
    readonly excludedEndpoints: readonly string[];
  }
  | {
    readonly kind: "granted";
    readonly endpoint: string;
    readonly address: string;
    readonly priority: number;
    readonly waitMs: number;
  }
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly detail: string;
  }
  | {
    readonly kind: "released";
    readonly endpoint: string;
    readonly end: GrantEndReason;
    readonly generatedTokens: number;
  }
  | { readonly kind: "started"; readonly generation: string }
  | {
    readonly kind: "resumed";
    readonly generation: string;
    readonly fromOffset: number;
  }
  | { readonly kind: "caller-gone" }
  | {
    readonly kind: "ended";
    readonly outcome: OutcomeKind;
    readonly detail: string;
    readonly deliveredTokens: number;
  };

/** A decision and its wall-clock time, in milliseconds since the epoch. */
export type TimedDecision = Decision & { readonly atMs: number };

/** Stores the decisions about the most recent requests. */
export class DecisionLog {
  readonly #clock: Clock;
  readonly #decisions = new BoundedMap<RequestId, TimedDecision[]>(
    MAX_REQUESTS,
  );

  /** @param clock - Clock that timestamps the decisions. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a decision.
   *
   * @param requestId - The request.
   * @param decision - The decision. Ignored if the request has reached the
   * maximum number of decisions, unless it is the end of the request.
   */
  add(requestId: RequestId, decision: Decision): void {
    let decisions = this.#decisions.get(requestId);
    if (!decisions) {
      decisions = [];
      this.#decisions.set(requestId, decisions);
    }
    const isFull = decisions.length >= MAX_DECISIONS_PER_REQUEST;
    if (isFull && decision.kind !== "ended") return;
    decisions.push({ ...decision, atMs: this.#clock.nowMs() });
  }

  /**
   * Finds the decisions about a request.
   *
   * @param requestId - The request.
   * @returns The decisions in order, or `undefined` if none are stored.
   */
  find(requestId: RequestId): readonly TimedDecision[] | undefined {
    return this.#decisions.get(requestId);
  }
}
