/**
 * Checks that endpoints of evacuated zones get no requests once the evacuation
 * must be in effect, and that no stream is cut by an evacuation.
 */

import type { EndpointArrival } from "./endpoint_rules.ts";

/** Time in milliseconds within which an entry must take effect; `evac-ms`. */
const EVACUATION_DELAY_MS = 5_000;
/**
 * Time in milliseconds around the end of a stream in which another disturbance
 * may explain it. Killed daemons start again within 700 ms.
 */
const CALM_MS = 1_000;

/** A time during which the store held the entry of a zone. */
interface Evacuation {
  readonly zone: string;
  readonly sinceMs: number;
  untilMs: number;
}

/** A request that an endpoint received. */
export interface ZoneArrival extends
  Pick<
    EndpointArrival,
    "atMs" | "contactMs" | "daemon" | "endpoint"
  > {
  readonly zone: string;
  /** Wall-clock time at which the store last failed its daemon. */
  readonly storeFailedMs: number;
}

/** A run of a stream, or of a part of it. */
export interface ZoneRun {
  /** Id of the request. */
  readonly request: string;
  readonly zone: string;
  readonly atMs: number;
  /**
   * @param sinceMs - Wall-clock time shortly before the stream was cut.
   * @returns Whether a host was disturbed since then, or the own host, the endpoint
   * or its link since the run began.
   */
  wasDisturbed(sinceMs: number): boolean;
}

/** Records evacuations, and finds what they do not allow. */
export class EvacuationRules {
  readonly #evacuations: Evacuation[] = [];
  readonly #runs = new Map<string, ZoneRun[]>();
  /** Wall-clock times at which streams were found cut. */
  readonly #cutsMs = new Map<string, number>();
  readonly #violations = new Set<string>();
  #checkedCount = 0;

  /** Number of evacuations; one that is extended counts once. */
  get evacuationCount(): number {
    return this.#evacuations.length;
  }

  /** Number of evacuations that lasted longer than their delay. */
  get longCount(): number {
    const nowMs = Date.now();
    return this.#evacuations.filter(({ sinceMs, untilMs }) =>
      Math.min(untilMs, nowMs) > sinceMs + EVACUATION_DELAY_MS
    ).length;
  }

  /** Number of cut streams whose runs overlapped an evacuation of their zone. */
  get checkedCutCount(): number {
    return this.#checkedCount;
  }

  /** Records that the store accepted the entry of a zone. */
  begin(zone: string, atMs: number): void {
    this.#evacuations.push({ zone, sinceMs: atMs, untilMs: Infinity });
  }

  /** Records that the entry of a zone was removed. */
  end(zone: string, atMs: number): void {
    const evacuation = this.#current(zone, atMs);
    if (evacuation) evacuation.untilMs = atMs;
  }

  /** Checks a request of a caller. */
  recordArrival(
    { atMs, contactMs, daemon, endpoint, storeFailedMs, zone }: ZoneArrival,
  ): void {
    const evacuation = this.#current(zone, atMs);
    if (!evacuation) return;
    const sinceMs = Math.max(evacuation.sinceMs, storeFailedMs);
    const isLate = atMs > sinceMs + EVACUATION_DELAY_MS;
    // A daemon that was cut off, paused or started anew has the whole delay.
    if (!isLate || contactMs <= EVACUATION_DELAY_MS) return;
    this.#violations.add(
      `evacuated: ${daemon} sent to ${endpoint} ${
        atMs - evacuation.sinceMs
      } ms after the evacuation of ${zone}`,
    );
  }

  /** Records a run of a stream. */
  recordRun(run: ZoneRun): void {
    const runs = this.#runs.get(run.request) ?? [];
    this.#runs.set(run.request, runs);
    runs.push(run);
  }

  /** Records that a stream ended before it was complete; the first call counts. */
  recordCut(request: string, atMs: number): void {
    if (!this.#cutsMs.has(request)) this.#cutsMs.set(request, atMs);
  }

  /** @returns One line per violation. */
  findViolations(nowMs = Date.now()): readonly string[] {
    for (const [request, cutMs] of this.#cutsMs) {
      const runs = this.#runs.get(request);
      if (!runs || nowMs < cutMs + CALM_MS) continue;
      this.#runs.delete(request);
      const evacuated = runs.find((run) => this.#wasEvacuated(run, cutMs));
      if (!evacuated) continue;
      this.#checkedCount++;
      if (runs.some((run) => run.wasDisturbed(cutMs - CALM_MS))) continue;
      this.#violations.add(
        `evacuated: ${request} was cut in ${evacuated.zone}`,
      );
    }
    return [...this.#violations];
  }

  #current(zone: string, atMs: number): Evacuation | undefined {
    return this.#evacuations.find((evacuation) =>
      evacuation.zone === zone && atMs >= evacuation.sinceMs &&
      atMs < evacuation.untilMs
    );
  }

  #wasEvacuated({ atMs, zone }: ZoneRun, cutMs: number): boolean {
    return this.#evacuations.some((evacuation) =>
      evacuation.zone === zone && evacuation.sinceMs <= cutMs &&
      evacuation.untilMs >= atMs
    );
  }
}
