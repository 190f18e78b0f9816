/**
 * A dispatcher that decides alone: the endpoint of this zone with the fewest
 * grants of this daemon, and a bounded queue in order of class.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { asId, type HostId, type ZoneName } from "../../../base/common/ids.ts";
import { type Eventually, Left, Right } from "../../../base/common/result.ts";
import type { EndpointDirectory } from "../../endpoints/common/endpoint_directory.ts";
import type { Endpoint } from "../../../platform/endpoints/common/engine_client.ts";
import type {
  Configuration,
  KnownService,
} from "../../configuration/common/configuration.ts";
import type {
  Dispatcher,
  Grant,
  GrantId,
  GrantRequest,
  Refusal,
} from "./dispatcher.ts";

const MAX_GRANTS_PER_ENDPOINT = 64;
const MAX_QUEUED = 1_000;
const QUEUE_FULL_RETRY_MS = 2_000;

/** What the dispatcher works with. */
export interface LocalDispatcherServices {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly endpoints: EndpointDirectory;
  readonly host: HostId;
  readonly zone: ZoneName;
}

interface Waiting {
  readonly request: GrantRequest;
  readonly enqueuedMs: number;
  readonly priority: number;
  readonly settle: (refusal: Refusal | undefined, grant?: Grant) => void;
}

/** Decides on the knowledge of this daemon alone. */
export class LocalDispatcher implements Dispatcher {
  readonly #services: LocalDispatcherServices;
  readonly #running = new Map<GrantId, string>();
  readonly #runningByEndpoint = new Map<string, number>();
  readonly #waiting: Waiting[] = [];
  #sequence = 0;

  /** @param services - What the dispatcher works with. */
  constructor(services: LocalDispatcherServices) {
    this.#services = services;
  }

  /** {@inheritDoc Dispatcher.acquire} */
  acquire(
    request: GrantRequest,
    signal: AbortSignal,
  ): Eventually<Refusal, Grant> {
    const { clock, configuration } = this.#services;
    const priority =
      configuration.classOf(request.service, request.className)?.priority ?? 0;
    return new Promise((resolve) => {
      const waiting: Waiting = {
        request,
        enqueuedMs: clock.monotonicMs(),
        priority,
        settle: (refusal, grant) =>
          resolve(grant ? Right(grant) : Left(refusal!)),
      };
      if (this.#tryGrant(waiting)) return;
      this.#enqueue(waiting, signal);
    });
  }

  /** {@inheritDoc Dispatcher.reportProgress} */
  reportProgress(): void {
    // The number of grants alone decides here.
  }

  /** {@inheritDoc Dispatcher.release} */
  release(id: GrantId): void {
    const key = this.#running.get(id);
    if (key === undefined) return;
    this.#running.delete(id);
    this.#runningByEndpoint.set(
      key,
      (this.#runningByEndpoint.get(key) ?? 1) - 1,
    );
    this.#serveQueue();
  }

  #enqueue(waiting: Waiting, signal: AbortSignal): void {
    if (this.#waiting.length >= MAX_QUEUED) {
      waiting.settle({
        reason: "queue-full",
        detail: `${MAX_QUEUED} requests wait already`,
        retryAfterMs: QUEUE_FULL_RETRY_MS,
      });
      return;
    }
    this.#waiting.push(waiting);
    this.#waiting.sort((left, right) =>
      right.priority - left.priority || left.enqueuedMs - right.enqueuedMs
    );
    signal.addEventListener("abort", () =>
      this.#refuse(waiting, {
        reason: "cancelled",
        detail: "the caller went away",
        retryAfterMs: undefined,
      }), { once: true });
    this.#watchDeadline(waiting);
  }

  #watchDeadline(waiting: Waiting): void {
    const { deadlineMs } = waiting.request;
    if (deadlineMs === undefined) return;
    const { clock } = this.#services;
    clock.setTimer(deadlineMs - clock.nowMs(), () =>
      this.#refuse(waiting, {
        reason: "deadline",
        detail: "no endpoint became free in time",
        retryAfterMs: QUEUE_FULL_RETRY_MS,
      }));
  }

  #refuse(waiting: Waiting, refusal: Refusal): void {
    const index = this.#waiting.indexOf(waiting);
    if (index < 0) return;
    this.#waiting.splice(index, 1);
    waiting.settle(refusal);
  }

  #serveQueue(): void {
    for (const waiting of [...this.#waiting]) {
      if (!this.#tryGrant(waiting)) continue;
      this.#waiting.splice(this.#waiting.indexOf(waiting), 1);
    }
  }

  /** @returns Whether the request was settled, by a grant or a refusal. */
  #tryGrant(waiting: Waiting): boolean {
    const { configuration, clock, host } = this.#services;
    const service = configuration.service(waiting.request.service);
    const candidates = service
      ? this.#candidates(service, waiting.request)
      : [];
    if (!service || candidates.length === 0) {
      waiting.settle({
        reason: "no-endpoint",
        detail: "no endpoint of the service can take the request",
        retryAfterMs: QUEUE_FULL_RETRY_MS,
      });
      return true;
    }
    const endpoint = this.#leastLoaded(service, candidates);
    const key = `${service.id}/${endpoint.id}`;
    const count = this.#runningByEndpoint.get(key) ?? 0;
    if (count >= MAX_GRANTS_PER_ENDPOINT) return false;
    const id = asId<GrantId>(`${host}-${this.#sequence++}`);
    this.#running.set(id, key);
    this.#runningByEndpoint.set(key, count + 1);
    const waitMs = clock.monotonicMs() - waiting.enqueuedMs;
    waiting.settle(undefined, {
      id,
      endpoint,
      priority: waiting.priority,
      waitMs,
    });
    return true;
  }

  /** Endpoints of the own zone, or else those of the others. */
  #candidates(service: KnownService, request: GrantRequest): Endpoint[] {
    const usable = this.#services.endpoints.endpointsOf(service.id).filter(
      ({ id, isLeaving }) =>
        !isLeaving && !request.excludedEndpoints.includes(id),
    );
    const near = usable.filter(({ zone }) => zone === this.#services.zone);
    return near.length > 0 ? near : usable;
  }

  #leastLoaded(
    service: KnownService,
    candidates: readonly Endpoint[],
  ): Endpoint {
    const loadOf = (endpoint: Endpoint): number =>
      this.#runningByEndpoint.get(`${service.id}/${endpoint.id}`) ?? 0;
    return candidates.reduce((best, next) =>
      loadOf(next) < loadOf(best) ? next : best
    );
  }
}
