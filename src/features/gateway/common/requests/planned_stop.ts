/**
 * Decides which requests a host that is about to stop may still begin: those
 * that end before it does. Others are refused, so that their callers can go to
 * another host at once instead of being cut off later.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import { Emitter } from "../../../../base/common/event.ts";
import type { CallerFields } from "../protocol/gateway_codec.ts";
import type {
  GatewayRoute,
  GatewayService,
} from "../configuration/gateway_configuration.ts";

/**
 * Timeout of a request whose caller states none; the longest that callers
 * usually set.
 */
const DEFAULT_CALLER_TIMEOUT_MS = 60_000;

/** Times of a planned stop, as monotonic times in milliseconds. */
export interface StopTimes {
  /**
   * Time until which callers may not know that the host stops. Until then a
   * request is begun if it is likely to end in time, later only if it cannot
   * outlast the host.
   */
  readonly lenientUntilMs: number;
  /** Time by which all requests must have ended. */
  readonly endMs: number;
}

/** What is known of a request before it is sent to an endpoint. */
export interface PendingRequest {
  /** Monotonic time of its receipt in milliseconds. */
  readonly receivedMs: number;
  readonly fields: Pick<CallerFields, "timeoutMs" | "prompt">;
  readonly route: GatewayRoute;
  /** Its service, if the configuration has it. */
  readonly service?: GatewayService | undefined;
}

/** @returns The monotonic time at which a response is due, in milliseconds. */
export function deadlineOf(
  { fields, receivedMs, route }: PendingRequest,
): number {
  const timeoutMs = fields.timeoutMs ?? DEFAULT_CALLER_TIMEOUT_MS;
  return receivedMs + Math.min(timeoutMs, route.timeoutMs);
}

/** The planned stop of a host, if one has begun. */
export class PlannedStop {
  readonly #clock: Clock;
  readonly #didProgress = new Emitter<void>();
  #times: StopTimes | undefined;
  #hasEnded = false;

  /** Fires when requests that could begin before may have to be refused. */
  readonly onDidProgress = this.#didProgress.event;

  /** @param clock - Clock for the times of the stop. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Begins the stop. */
  begin(times: StopTimes): void {
    this.#times = times;
    this.#didProgress.fire();
    const lenientForMs = times.lenientUntilMs - this.#clock.monotonicMs();
    this.#clock.setTimer(
      Math.max(0, lenientForMs),
      () => this.#didProgress.fire(),
    );
  }

  /** Lets no further request begin. */
  end(): void {
    this.#hasEnded = true;
    this.#didProgress.fire();
  }

  /**
   * @param request - A request that no endpoint has received.
   * @returns Whether it may begin.
   */
  mayBegin(request: PendingRequest): boolean {
    if (this.#hasEnded) return false;
    if (!this.#times) return true;
    const { endMs, lenientUntilMs } = this.#times;
    if (deadlineOf(request) <= endMs) return true;
    if (this.#clock.monotonicMs() >= lenientUntilMs) return false;
    const durationMs = likelyDurationMs(request);
    return durationMs !== undefined &&
      this.#clock.monotonicMs() + durationMs <= endMs;
  }
}

/**
 * Returns the time that a request takes when it meets the objectives of its
 * route, or `undefined` if that is unknown or the request must not be cut.
 */
function likelyDurationMs(
  { fields, route, service }: PendingRequest,
): number | undefined {
  const { eventGapObjectiveMs, kind, objectiveMs } = route;
  switch (kind.kind) {
    case "idempotent":
    case "non-idempotent":
      return objectiveMs;
    case "generation": {
      // One that cannot be resumed would be lost with its host.
      if (!kind.isResumable || eventGapObjectiveMs <= 0) return undefined;
      if (!fields.prompt) return undefined;
      const tokensPerEvent = service?.engine?.tokensPerEvent ?? 1;
      const eventCount = fields.prompt.maxOutputTokens / tokensPerEvent;
      return objectiveMs + eventCount * eventGapObjectiveMs;
    }
  }
}
