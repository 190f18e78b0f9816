/**
 * How long the streams of each service may last, by the current routes and by
 * those under which current streams may have begun.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import type { GatewayRoute } from "../configuration/gateway_configuration.ts";

/** Lifetime of streams on services that no route is known for. */
const DEFAULT_LIFETIME_MS = 60_000;

interface StreamLifetime {
  /** Longest lifetime that a current route allows; 0 if none does. */
  readonly currentMs: number;
  /** Longest lifetime that an earlier route allowed. */
  readonly formerMs: number;
  /** Monotonic time in milliseconds at which those streams are over. */
  readonly formerUntilMs: number;
}

const NO_LIFETIME: StreamLifetime = {
  currentMs: 0,
  formerMs: 0,
  formerUntilMs: -Infinity,
};

/** Lifetimes of the streams that callers may take up. */
export class StreamLifetimes {
  readonly #clock: Clock;
  readonly #lifetimes = new Map<ServiceId, StreamLifetime>();

  /** @param clock - Clock for the end of streams of earlier routes. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The services that have, or may still have, such streams. */
  get services(): readonly ServiceId[] {
    return [...this.#lifetimes.keys()].filter((service) =>
      this.#longestMs(service) > 0
    );
  }

  /** Replaces the routes. */
  setRoutes(routes: readonly GatewayRoute[]): void {
    const longestMs = new Map<ServiceId, number>();
    for (const { kind, targets, timeoutMs } of routes) {
      if (kind.kind !== "generation" || !kind.isResumable) continue;
      for (const { service } of targets) {
        const knownMs = longestMs.get(service) ?? 0;
        longestMs.set(service, Math.max(knownMs, timeoutMs));
      }
    }
    const services = new Set([...this.#lifetimes.keys(), ...longestMs.keys()]);
    for (const service of services) {
      const next = this.#change(service, longestMs.get(service) ?? 0);
      if (next) this.#lifetimes.set(service, next);
      else this.#lifetimes.delete(service);
    }
  }

  /** @returns How long a current stream may last, in milliseconds. */
  lifetimeMs(service: ServiceId): number {
    return this.#longestMs(service) || DEFAULT_LIFETIME_MS;
  }

  #change(service: ServiceId, currentMs: number): StreamLifetime | undefined {
    const nowMs = this.#clock.monotonicMs();
    const earlier = this.#lifetimes.get(service) ?? NO_LIFETIME;
    const isShortened = currentMs < earlier.currentMs;
    const formerMs = Math.max(
      earlier.formerUntilMs > nowMs ? earlier.formerMs : 0,
      isShortened ? earlier.currentMs : 0,
    );
    if (currentMs === 0 && formerMs === 0) return undefined;
    const formerUntilMs = isShortened
      ? Math.max(earlier.formerUntilMs, nowMs + earlier.currentMs)
      : earlier.formerUntilMs;
    return { currentMs, formerMs, formerUntilMs };
  }

  #longestMs(service: ServiceId): number {
    const { currentMs, formerMs, formerUntilMs } =
      this.#lifetimes.get(service) ?? NO_LIFETIME;
    const hasFormer = formerUntilMs > this.#clock.monotonicMs();
    return hasFormer ? Math.max(currentMs, formerMs) : currentMs;
  }
}
