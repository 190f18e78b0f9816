/**
 * Tracks until when each endpoint is cold: slow, and unable to bear more than a
 * low rate of requests. An endpoint states it in its entry. Where that is not
 * known in time, it is estimated.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import type { Clock } from "../../../../base/common/clock.ts";
import type {
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type {
  ColdBehavior,
  GatewayService,
} from "../configuration/gateway_configuration.ts";
import type {
  EndpointAnnounced,
  EndpointRegistry,
  RegisteredEndpoint,
} from "./endpoint_registry.ts";

/**
 * Age that an entry has at most when it arrives. One that arrives sooner after
 * an estimate may have been written before its cause, and only extends it.
 */
const MAX_ENTRY_AGE_MS = 1_000;
const MAX_ABSENT = 1_000;

/** Dependencies of {@link ColdEndpoints}. */
export interface ColdEndpointsServices {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  /** @returns The configuration of a service, if there is one. */
  findService(id: ServiceId): GatewayService | undefined;
}

/** One process of an endpoint that is cold. */
export interface ColdProcess {
  readonly endpoint: EndpointId;
  readonly bornMs: number;
  /** Requests a second that it bears from all hosts together. */
  readonly requestsPerS: number;
}

interface ColdState {
  readonly endpoint: RegisteredEndpoint;
  /** Monotonic time in milliseconds. */
  readonly untilMs: number;
  /** Monotonic time of the latest estimate in milliseconds. */
  readonly estimatedMs: number;
}

/** Cold endpoints, as one daemon knows them. */
export class ColdEndpoints implements Disposable {
  readonly #services: ColdEndpointsServices;
  readonly #disposables = new DisposableStore();
  readonly #states = new Map<EndpointId, ColdState>();
  /** Start times of the processes that get no requests at present. */
  readonly #absent = new BoundedMap<EndpointId, number | undefined>(MAX_ABSENT);

  /** @param services - Dependencies of the class. */
  constructor(services: ColdEndpointsServices) {
    this.#services = services;
    const { registry } = services;
    this.#disposables.add(
      registry.onDidAnnounce((announced) => this.#onAnnounced(announced)),
    );
    this.#disposables.add(registry.onDidRetire(({ announcement }) => {
      this.#absent.set(announcement.id, announcement.bornMs);
    }));
  }

  /** Number of endpoints that are cold now. */
  get count(): number {
    return [...this.#states.values()].filter((state) => this.#isCurrent(state))
      .length;
  }

  /**
   * @returns Whether an endpoint is cold, or `undefined` if the cold endpoints
   * of its service have no limit.
   */
  isCold(endpoint: RegisteredEndpoint): boolean | undefined {
    if (!this.#behaviorOf(endpoint)) return undefined;
    const state = this.#states.get(endpoint.id);
    return state?.endpoint === endpoint && this.#isCurrent(state);
  }

  /**
   * Returns the rate that a cold process bears.
   *
   * @param process - Id and start time of a process.
   * @returns Requests a second from all hosts together, or `undefined` if the
   * process is not cold or has no limit.
   */
  rateOf(
    { endpoint, bornMs }: Omit<ColdProcess, "requestsPerS">,
  ): number | undefined {
    const state = this.#states.get(endpoint);
    if (state?.endpoint.announcement.bornMs !== bornMs) return undefined;
    if (this.#isCurrent(state)) {
      return this.#behaviorOf(state.endpoint)?.requestsPerS;
    }
    this.#states.delete(endpoint);
    return undefined;
  }

  /**
   * @param process - Id and start time of a process.
   * @returns Time for which the process stays cold, in milliseconds.
   */
  remainingMs(
    { endpoint, bornMs }: Omit<ColdProcess, "requestsPerS">,
  ): number {
    const state = this.#states.get(endpoint);
    if (state?.endpoint.announcement.bornMs !== bornMs) return 0;
    return Math.max(0, state.untilMs - this.#services.clock.monotonicMs());
  }

  /** @returns The cold processes that have a limit. */
  limited(): readonly ColdProcess[] {
    return [...this.#states.values()].flatMap(({ endpoint }) => {
      const { bornMs, id } = endpoint.announcement;
      const requestsPerS = this.rateOf({ endpoint: id, bornMs });
      return requestsPerS === undefined
        ? []
        : [{ endpoint: id, bornMs, requestsPerS }];
    });
  }

  /**
   * Counts all endpoints of a zone as cold from now on, for the time that their
   * service states, unless their entries say otherwise later.
   *
   * @param zone - Availability zone that gets requests again.
   */
  markZoneCold(zone: ZoneName): void {
    for (const endpoint of this.#services.registry.all) {
      if (endpoint.announcement.zone === zone) this.#estimate(endpoint, 0);
    }
  }

  /** Stops following the registry. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onAnnounced({ announcement, endpoint }: EndpointAnnounced): void {
    const { bornMs, id, warmUpRemainingMs } = announcement;
    const nowMs = this.#services.clock.monotonicMs();
    const statedMs = nowMs + warmUpRemainingMs;
    if (endpoint.isUsable && this.#absent.get(id) === bornMs) {
      this.#absent.set(id, undefined);
      this.#estimate(endpoint, statedMs);
      return;
    }
    const known = this.#states.get(id);
    const estimatedMs = known?.endpoint === endpoint
      ? known.estimatedMs
      : -Infinity;
    const mayBeOlder = nowMs - estimatedMs < MAX_ENTRY_AGE_MS;
    const untilMs = mayBeOlder
      ? Math.max(known?.untilMs ?? 0, statedMs)
      : statedMs;
    this.#set({ endpoint, untilMs, estimatedMs });
  }

  #estimate(endpoint: RegisteredEndpoint, statedMs: number): void {
    const behavior = this.#behaviorOf(endpoint);
    const nowMs = this.#services.clock.monotonicMs();
    const durationMs = behavior?.durationMs ?? 0;
    const known = this.#states.get(endpoint.id);
    const knownMs = known?.endpoint === endpoint ? known.untilMs : 0;
    const untilMs = Math.max(nowMs + durationMs, statedMs, knownMs);
    this.#set({ endpoint, untilMs, estimatedMs: nowMs });
  }

  #set(state: ColdState): void {
    const { id } = state.endpoint;
    if (this.#isCurrent(state)) {
      this.#states.set(id, state);
      return;
    }
    // The time was that of the limit before.
    if (this.#states.delete(id)) state.endpoint.limitedUntilMs = -Infinity;
  }

  #isCurrent({ endpoint, untilMs }: ColdState): boolean {
    return endpoint.isPresent && this.#services.clock.monotonicMs() < untilMs;
  }

  #behaviorOf({ announcement }: RegisteredEndpoint): ColdBehavior | undefined {
    return this.#services.findService(announcement.service)?.cold;
  }
}
