/**
 * Checks what the fleet sends again: the repeats of each service within a
 * window, the endpoints that one request runs on, and the time that endpoints
 * are given.
 */

/** Service that requests are sent to; `solo` has one endpoint. */
export type SoakService = "app" | "llm" | "solo";

/** A request of a caller that reached an endpoint. */
export interface RequestArrival {
  readonly id: string;
  readonly service: SoakService;
  readonly atMs: number;
  /** Whether it continues another run from its KV state. */
  readonly isContinuation: boolean;
  /** Time that the endpoint is given in milliseconds, if it is told. */
  readonly givenMs: number | undefined;
}

interface RequestRecord {
  readonly sentMs: number;
  /** Time at which the caller gives up. */
  readonly endMs: number;
  arrivals: number;
}

/** Retries allowed to the whole fleet, as in the settings of the daemons. */
export const RETRY_SETTINGS = {
  "retry-ratio": 0.2,
  "retry-extra": 50,
  "retry-window-s": 10,
} as const;

const WINDOW_MS = RETRY_SETTINGS["retry-window-s"] * 1_000;
/** Time over the caller's own that an endpoint may be given. */
const TIME_SLACK_MS = 500;
const MAX_LONG_GRANTS = 20;
const MAX_LONG_GRANT_SHARE = 0.2;

/** Records requests and arrivals, and finds what was not allowed. */
export class RetryRules {
  readonly #requests = new Map<string, RequestRecord>();
  readonly #sentMs = new Map<SoakService, number[]>();
  readonly #repeatsMs = new Map<SoakService, number[]>();
  #arrivalCount = 0;
  #longGrantCount = 0;
  #mostRepeats = 0;

  /** Most repeats of one service in any window. */
  get mostRepeats(): number {
    return this.#mostRepeats;
  }

  /** Records a request that a caller sends. */
  recordRequest(
    id: string,
    service: SoakService,
    sentMs: number,
    timeoutMs: number,
  ): void {
    const endMs = sentMs + timeoutMs;
    this.#requests.set(id, { sentMs, endMs, arrivals: 0 });
    listOf(this.#sentMs, service).push(sentMs);
  }

  /** Records an arrival, also one that the endpoint turns away. */
  recordArrival(arrival: RequestArrival): void {
    const { atMs, givenMs, id, isContinuation, service } = arrival;
    const request = this.#requests.get(id);
    if (!request) return;
    this.#arrivalCount++;
    const isLong = givenMs === undefined ||
      atMs + givenMs > request.endMs + TIME_SLACK_MS;
    if (isLong) this.#longGrantCount++;
    // A continuation is the same run.
    if (isContinuation) return;
    request.arrivals++;
    if (request.arrivals > 1) listOf(this.#repeatsMs, service).push(atMs);
  }

  /** @returns One line per violation. */
  findViolations(): readonly string[] {
    const found: string[] = [];
    for (const [service, repeatsMs] of this.#repeatsMs) {
      const excess = this.#findExcess(service, repeatsMs);
      if (excess !== undefined) found.push(`budget: ${service} got ${excess}`);
    }
    const isOften = this.#longGrantCount > MAX_LONG_GRANTS &&
      this.#longGrantCount > this.#arrivalCount * MAX_LONG_GRANT_SHARE;
    if (isOften) found.push("budget: endpoints got more time than was left");
    return found;
  }

  #findExcess(
    service: SoakService,
    repeatsMs: readonly number[],
  ): string | undefined {
    const sentMs = this.#sentMs.get(service) ?? [];
    const countIn = (times: readonly number[], fromMs: number) =>
      times.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .length;
    for (const startMs of repeatsMs) {
      const repeats = countIn(repeatsMs, startMs);
      this.#mostRepeats = Math.max(this.#mostRepeats, repeats);
      if (repeats <= RETRY_SETTINGS["retry-extra"]) continue;
      const requests = Math.max(
        countIn(sentMs, startMs),
        countIn(sentMs, startMs - WINDOW_MS / 2),
        countIn(sentMs, startMs - WINDOW_MS),
      );
      const allowed = requests * RETRY_SETTINGS["retry-ratio"] +
        RETRY_SETTINGS["retry-extra"];
      if (repeats > allowed) {
        return `more repeats in 10 s than allowed (${repeats} at ${
          Math.round(startMs)
        }, ${allowed.toFixed(0)} allowed)`;
      }
    }
    return undefined;
  }
}

function listOf(
  lists: Map<SoakService, number[]>,
  service: SoakService,
): number[] {
  const list = lists.get(service) ?? [];
  lists.set(service, list);
  return list;
}
