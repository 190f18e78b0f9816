/** Checks that endpoints that name a limit get no more from all hosts. */

import type { EndpointArrival } from "./endpoint_rules.ts";

/** Time in milliseconds after the first naming from which the limit binds. */
const CONTACT_MS = 3_000;
/** Time in milliseconds from an answer until it binds its daemon. */
const TOLD_MS = 500;
const WINDOW_MS = 4_000;
const ALLOWED_SHARE = 1.5;
const ALLOWED_EXTRA = 5;

/** A limit that an endpoint names. */
interface NamedLimit {
  readonly requestsPerS: number;
  readonly sinceMs: number;
  untilMs: number;
  /** First answer that each daemon got. */
  readonly toldMs: Map<string, number>;
  readonly arrivalsMs: number[];
}

/** Records the limits and the arrivals of each endpoint. */
export class LimitRules {
  readonly #limits = new Map<string, NamedLimit>();
  readonly #violations = new Set<string>();

  /** Number of limits that were named. */
  get limitCount(): number {
    return this.#limits.size;
  }

  /** Records that an endpoint names a limit from now on. */
  begin(endpoint: string, requestsPerS: number, atMs: number): void {
    this.#limits.set(endpoint, {
      requestsPerS,
      sinceMs: atMs,
      untilMs: Infinity,
      toldMs: new Map(),
      arrivalsMs: [],
    });
  }

  /** Records that an endpoint names no limit any more. */
  end(endpoint: string, atMs: number): void {
    const limit = this.#limits.get(endpoint);
    if (limit) limit.untilMs = Math.min(limit.untilMs, atMs);
  }

  /** Records a request of a caller. */
  recordArrival({ atMs, calmMs, daemon, endpoint }: EndpointArrival): void {
    const limit = this.#limits.get(endpoint);
    if (!limit || atMs >= limit.untilMs) return;
    const toldMs = limit.toldMs.get(daemon);
    if (toldMs === undefined) limit.toldMs.set(daemon, atMs);
    const isTold = toldMs !== undefined && atMs >= toldMs + TOLD_MS;
    const isBinding = atMs >= limit.sinceMs + CONTACT_MS;
    // A restart or a suspension excuses the daemon.
    if (!isTold || !isBinding || calmMs < CONTACT_MS) return;
    limit.arrivalsMs.push(atMs);
    const count =
      limit.arrivalsMs.filter((earlierMs) => earlierMs > atMs - WINDOW_MS)
        .length;
    const allowed = ALLOWED_SHARE * limit.requestsPerS * WINDOW_MS / 1_000 +
      ALLOWED_EXTRA;
    if (count > allowed) {
      this.#violations.add(`limit: ${endpoint} got more than it allows`);
    }
  }

  /** @returns One line per violation. */
  findViolations(): readonly string[] {
    return [...this.#violations];
  }
}
