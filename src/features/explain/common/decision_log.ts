/** Bounded record of what was decided about each request of this daemon. */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { RequestId } from "../../../base/common/ids.ts";
import type { OutcomeKind } from "../../../services/metrics/common/metrics.ts";
import type { GrantEndReason } from "../../dispatch/common/dispatcher.ts";

const MAX_REQUESTS = 4_096;
const MAX_DECISIONS_PER_REQUEST = 24;

/** One decision about a request; it never holds a prompt or a body. */
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

/** A decision with its wall-clock time. */
export type TimedDecision = Decision & { readonly atMs: number };

/** Keeps the decisions of the newest requests. */
export class DecisionLog {
  readonly #clock: Clock;
  readonly #decisions = new BoundedMap<RequestId, TimedDecision[]>(
    MAX_REQUESTS,
  );

  /** @param clock - Time of the decisions. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param requestId - The request.
   * @param decision - What was decided; dropped when there are too many, but
   * for the end of the request.
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

  /** @returns The decisions in order, or `undefined` when none are kept. */
  find(requestId: RequestId): readonly TimedDecision[] | undefined {
    return this.#decisions.get(requestId);
  }
}
