/**
 * The endpoints that exist: from their announcements, from what is missing
 * after an outage of the store, and from how their answers turned out.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type {
  EndpointAnnouncement,
  EndpointPhase,
} from "./endpoint_announcement.ts";
import { EndpointHealth } from "./endpoint_health.ts";

/** Time after an outage for entries to come back; the store's promise. */
const REANNOUNCE_WINDOW_MS = 2_000;
/** How long a leaving endpoint is remembered; drains take a few seconds. */
const DRAINING_RETENTION_MS = 15_000;

/** One start of one endpoint. */
export class RegisteredEndpoint {
  readonly announcement: EndpointAnnouncement;
  readonly health: EndpointHealth;
  readonly firstSeenMs: number;
  phase: EndpointPhase = { kind: "ready" };

  /**
   * @param announcement - What the endpoint said of itself.
   * @param nowMs - Monotonic time.
   */
  constructor(announcement: EndpointAnnouncement, nowMs: number) {
    this.announcement = announcement;
    this.firstSeenMs = nowMs;
    this.health = new EndpointHealth();
  }

  /** Id of the endpoint. */
  get id(): EndpointId {
    return this.announcement.id;
  }

  /** Whether new requests may go there. */
  get isUsable(): boolean {
    return this.phase.kind === "ready" || this.phase.kind === "lapsed";
  }

  /** Whether it still works on what it has. */
  get isPresent(): boolean {
    return this.phase.kind !== "gone";
  }
}

/** Keeps the endpoints. */
export class EndpointRegistry {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #endpoints = new Map<EndpointId, RegisteredEndpoint>();
  readonly #retired = new Emitter<RegisteredEndpoint>();

  /** Fires when an endpoint is known to leave or to have gone. */
  readonly onDidRetire = this.#retired.event;

  /**
   * @param clock - Clock of the windows.
   * @param logger - Where changes are told.
   */
  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** @returns Everything known of an endpoint. */
  get(id: EndpointId): RegisteredEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** All endpoints that have not gone. */
  get all(): readonly RegisteredEndpoint[] {
    return [...this.#endpoints.values()];
  }

  /** @returns Endpoints of a service that may get requests. */
  usable(service: ServiceId): RegisteredEndpoint[] {
    return [...this.#endpoints.values()].filter((endpoint) =>
      endpoint.isUsable && endpoint.announcement.service === service
    );
  }

  /** Takes in an announcement. */
  announce(announcement: EndpointAnnouncement): void {
    const { id } = announcement;
    let endpoint = this.#endpoints.get(id);
    if (endpoint && !isSameProcess(endpoint.announcement, announcement)) {
      this.#remove(endpoint, "restarted");
      endpoint = undefined;
    }
    endpoint ??= this.#add(announcement);
    const { phase } = endpoint;
    if (announcement.isDraining) this.markDraining(id, "draining");
    else if (phase.kind === "lapsed") endpoint.phase = { kind: "ready" };
    else if (phase.kind === "leaving" && phase.reason === "removed") {
      // A lapsed announcement was written again by a server that lives.
      endpoint.phase = { kind: "ready" };
      this.#logger.log("info", "endpoint-back", { endpoint: id });
    }
  }

  /**
   * The announcement of an endpoint is missing.
   *
   * @param id - The endpoint.
   * @param sinceDisruptionMs - Time since the store was last disturbed.
   */
  withdraw(id: EndpointId, sinceDisruptionMs: number): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint || !endpoint.isUsable) return;
    if (sinceDisruptionMs >= REANNOUNCE_WINDOW_MS) {
      this.markDraining(id, "removed");
      return;
    }
    if (endpoint.phase.kind === "lapsed") return;
    const remainingMs = REANNOUNCE_WINDOW_MS - sinceDisruptionMs;
    endpoint.phase = {
      kind: "lapsed",
      expiresMs: this.#clock.monotonicMs() + remainingMs,
    };
    this.#logger.log("info", "endpoint-lapsed", {
      endpoint: id,
      sinceTroubleMs: Math.round(sinceDisruptionMs),
      waitMs: Math.round(remainingMs),
    });
  }

  /** An endpoint is known to leave; it keeps what it runs. */
  markDraining(id: EndpointId, reason: string): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint || !endpoint.isUsable) return;
    endpoint.phase = {
      kind: "leaving",
      sinceMs: this.#clock.monotonicMs(),
      reason,
    };
    this.#logger.log("info", "endpoint-leaving", { endpoint: id, reason });
    this.#retired.fire(endpoint);
  }

  /** Ends the windows that have passed. Called periodically. */
  expirePhases(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const endpoint of [...this.#endpoints.values()]) {
      const { phase } = endpoint;
      if (phase.kind === "lapsed" && nowMs >= phase.expiresMs) {
        this.markDraining(endpoint.id, "missing");
      } else if (
        phase.kind === "leaving" &&
        nowMs - phase.sinceMs > DRAINING_RETENTION_MS
      ) {
        this.#remove(endpoint, "forgotten");
      }
    }
  }

  #add(announcement: EndpointAnnouncement): RegisteredEndpoint {
    const { address, bornMs, id, service, zone } = announcement;
    const nowMs = this.#clock.monotonicMs();
    const endpoint = new RegisteredEndpoint(announcement, nowMs);
    this.#endpoints.set(id, endpoint);
    this.#logger.log("info", "endpoint-up", {
      endpoint: id,
      service,
      address,
      zone,
      bornMs,
    });
    return endpoint;
  }

  #remove(endpoint: RegisteredEndpoint, reason: string): void {
    const wasUsable = endpoint.isUsable;
    endpoint.phase = { kind: "gone" };
    if (this.#endpoints.get(endpoint.id) === endpoint) {
      this.#endpoints.delete(endpoint.id);
    }
    this.#logger.log("info", "endpoint-gone", {
      endpoint: endpoint.id,
      reason,
    });
    if (wasUsable) this.#retired.fire(endpoint);
  }
}

/** Whether two announcements are of one start of one endpoint. */
function isSameProcess(
  left: EndpointAnnouncement,
  right: EndpointAnnouncement,
): boolean {
  return left.bornMs === right.bornMs && left.address === right.address &&
    left.service === right.service;
}
