/**
 * Limits of the registered endpoints, as requests meet them: what answers say,
 * the rights that are needed to send, and the places at brittle endpoints.
 */

import type {
  BrittleTable,
  NamedBrittleness,
} from "../../../brittle/common/brittle_table.ts";
import type {
  PermitOffer,
  RoomPermits,
} from "../../../brittle/common/room_permits.ts";
import type { Clock } from "../../../../base/common/clock.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "../endpoints/endpoint_registry.ts";
import type { LimitRights } from "./limit_rights.ts";
import type { LimitedProcess, LimitTable, NamedLimit } from "./limit_table.ts";
import type { RightOffer } from "./right_schedule.ts";

/** Dependencies of {@link EndpointLimits}. */
export interface EndpointLimitsServices {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  readonly table: LimitTable;
  readonly rights: Pick<LimitRights, "isCold" | "isLimited" | "take">;
  readonly brittle: Pick<BrittleTable, "observe">;
  readonly rooms: Pick<RoomPermits, "isNeeded" | "take" | "recordRejection">;
}

/** Applies the limits of endpoints. */
export class EndpointLimits implements Disposable {
  readonly #services: EndpointLimitsServices;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the limits. */
  constructor(services: EndpointLimitsServices) {
    this.#services = services;
    const { registry, table } = services;
    this.#disposables.add(table.onDidChange(({ record }) => {
      const endpoint = registry.get(record.endpoint);
      // The time was that of the limit before.
      if (endpoint?.announcement.bornMs === record.bornMs) {
        endpoint.limitedUntilMs = -Infinity;
      }
    }));
  }

  /** @returns Whether a right is needed to send to an endpoint. */
  isLimited(endpoint: RegisteredEndpoint): boolean {
    return this.#services.rights.isLimited(processOf(endpoint));
  }

  /** @returns Whether the right to send to an endpoint is that of a cold one. */
  isCold(endpoint: RegisteredEndpoint): boolean {
    return this.#services.rights.isCold(processOf(endpoint));
  }

  /**
   * Applies what an answer of an endpoint says.
   *
   * @param endpoint - The endpoint that answered.
   * @param limit - What the answer says of its limit.
   * @param sentMs - Monotonic time in milliseconds at which the request was
   * sent.
   */
  observe(
    endpoint: RegisteredEndpoint,
    limit: NamedLimit | undefined,
    sentMs: number,
  ): void {
    if (!limit) return;
    this.#services.table.observe(processOf(endpoint), limit, sentMs);
  }

  /**
   * Takes the right to send one request, and waits until it may be sent. After
   * a denial, the endpoint is not chosen until a right is free.
   *
   * @param endpoint - The endpoint to send to.
   * @param maxWaitMs - Longest useful wait in milliseconds.
   * @returns The right, which must be used at once, or when to come back.
   */
  async take(
    endpoint: RegisteredEndpoint,
    maxWaitMs: number,
  ): Promise<RightOffer> {
    const { clock, rights } = this.#services;
    const offer = await rights.take(processOf(endpoint), maxWaitMs);
    if (offer.kind === "denied") {
      const untilMs = clock.monotonicMs() + offer.freeInMs;
      endpoint.limitedUntilMs = Math.max(endpoint.limitedUntilMs, untilMs);
    }
    return offer;
  }

  /**
   * Applies what an answer says of rejections that the endpoint cannot bear.
   *
   * @param endpoint - The endpoint that answered.
   * @param named - What the answer says.
   * @param sentMs - Monotonic time in milliseconds at which the request was
   * sent.
   */
  observeBrittleness(
    endpoint: RegisteredEndpoint,
    named: NamedBrittleness | undefined,
    sentMs: number,
  ): void {
    if (named) {
      this.#services.brittle.observe(processOf(endpoint), named, sentMs);
    }
  }

  /** @returns Whether a place is needed to send a request to an endpoint. */
  needsRoom(endpoint: RegisteredEndpoint): boolean {
    return this.#services.rooms.isNeeded(processOf(endpoint));
  }

  /**
   * Takes a place for one request at a brittle endpoint.
   *
   * @param endpoint - The endpoint to send to.
   * @param leaseMs - Time that the request takes at most, in milliseconds.
   */
  takeRoom(
    endpoint: RegisteredEndpoint,
    leaseMs: number,
  ): Promise<PermitOffer> {
    const { slots } = endpoint.announcement;
    return this.#services.rooms.take(
      { ...processOf(endpoint), slots },
      leaseMs,
    );
  }

  /** Records that a brittle endpoint turned a request away without a place. */
  recordRejection(endpoint: RegisteredEndpoint): void {
    this.#services.rooms.recordRejection(processOf(endpoint));
  }

  /** Stops following changes. */
  dispose(): void {
    this.#disposables.dispose();
  }
}

function processOf({ announcement }: RegisteredEndpoint): LimitedProcess {
  return { endpoint: announcement.id, bornMs: announcement.bornMs };
}
