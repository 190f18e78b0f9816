/**
 * Coordinates the rollouts of a zone. The daemon that holds the zone's lease
 * compares the desired state of each service with the state of its engines and
 * sends orders to the engines that differ.
 */

import { assertNever } from "../../../base/common/errors.ts";
import type {
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import type {
  Endpoint,
  EngineClient,
  EngineOrder,
} from "../../../services/endpoints/common/engine_client.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { Configuration } from "../../configuration/common/configuration.ts";
import { toServiceId } from "../../configuration/common/configuration.ts";
import type {
  DirectoryEndpoint,
  EndpointDirectory,
} from "../../endpoints/common/endpoint_directory.ts";
import {
  type DesiredState,
  type ObservedEndpoint,
  type RolloutStatus,
  type RolloutStep,
  toDesiredKey,
} from "./rollout.ts";
import { RolloutPlanner } from "./rollout_planner.ts";
import { StopRecords } from "./stop_records.ts";
import { IntervalLimiter } from "./interval_limiter.ts";
import {
  LEASE_TTL_MS,
  ZoneLease,
  type ZoneLeaseServices,
} from "./zone_lease.ts";

const RECONCILE_PERIOD_MS = 1_000;
/** Interval at which the engines of a settled service are read. */
const SETTLED_PERIOD_MS = 10_000;
/** Time after which an unanswered order is no longer being executed. */
const ORDER_TIMEOUT_MS = 3_000;
const DOWNLOAD_INTERVAL_MS = 10_000;

/** Dependencies of {@link RolloutCoordinator}. */
export interface RolloutCoordinatorServices extends ZoneLeaseServices {
  readonly engines: EngineClient;
  readonly configuration: Configuration;
  readonly endpoints: EndpointDirectory;
  readonly logger: Logger;
}

/** A configured service that has a desired state. */
interface ManagedService {
  readonly id: ServiceId;
  readonly desired: DesiredState;
  readonly honoursFence: boolean;
}

/** The rollout of one service. */
interface Rollout {
  readonly planner: RolloutPlanner;
  /** Key of the desired state for which a recorded stop has been looked up. */
  restoredStopKey: string;
  status: RolloutStatus | undefined;
  /**
   * Monotonic time of the next pass over a settled service, in milliseconds.
   */
  nextReconcileMs: number;
}

/**
 * Reconciles the observed state of each service with its desired state, at most
 * one step per service and pass.
 */
export class RolloutCoordinator implements Disposable {
  readonly #services: RolloutCoordinatorServices;
  readonly #zone: ZoneName;
  readonly #lease: ZoneLease;
  readonly #stopRecords: StopRecords;
  readonly #rollouts = new Map<ServiceId, Rollout>();
  #downloadLimiter: IntervalLimiter;
  #fence = 0;
  #timer: Disposable = NOOP_DISPOSABLE;
  #isDisposed = false;

  /** @param services - Dependencies of the coordinator. */
  constructor(services: RolloutCoordinatorServices) {
    this.#services = services;
    this.#zone = services.zone;
    this.#lease = new ZoneLease(services);
    this.#stopRecords = new StopRecords(services.store, services.zone);
    this.#downloadLimiter = new IntervalLimiter(
      services.clock,
      DOWNLOAD_INTERVAL_MS,
    );
  }

  /** Whether this daemon holds the lease and sends the zone's orders. */
  get isLeaseHolder(): boolean {
    return this.#lease.held !== undefined;
  }

  /**
   * Lists the rollouts of the zone.
   *
   * @returns One status per service, or none if this daemon does not hold the
   * lease.
   */
  listRolloutStatuses(): readonly RolloutStatus[] {
    if (!this.isLeaseHolder) return [];
    return [...this.#rollouts.values()].flatMap(({ status }) => status ?? []);
  }

  /**
   * Starts the reconciliation. The lease is requested as soon as a service has
   * a desired state.
   */
  start(): void {
    this.#scheduleReconcile();
  }

  /** Releases the lease and stops sending orders. */
  dispose(): void {
    this.#isDisposed = true;
    this.#timer.dispose();
    this.#lease.dispose();
  }

  #scheduleReconcile(): void {
    if (this.#isDisposed) return;
    this.#timer = this.#services.clock.setTimer(RECONCILE_PERIOD_MS, () => {
      void this.#reconcileAll().finally(() => this.#scheduleReconcile());
    });
  }

  async #reconcileAll(): Promise<void> {
    const managed = this.#listManagedServices();
    if (managed.length > 0) this.#lease.start();
    const held = this.#lease.held;
    if (!held) return;
    if (held.fence !== this.#fence) this.#adoptLease(held.fence);
    for (const service of managed) {
      if (this.#canOrder(service, held.sinceMs)) await this.#reconcile(service);
    }
  }

  #adoptLease(fence: number): void {
    const { clock, logger } = this.#services;
    this.#fence = fence;
    this.#rollouts.clear();
    this.#downloadLimiter = new IntervalLimiter(clock, DOWNLOAD_INTERVAL_MS);
    logger.log("info", "orders-lease-taken", { zone: this.#zone, fence });
  }

  /**
   * Whether orders may be sent to a service. Engines that ignore the fencing
   * token may still execute an order of the previous lease holder, so a new
   * holder waits until no such order can be in progress.
   */
  #canOrder(service: ManagedService, leaseSinceMs: number): boolean {
    if (service.honoursFence) return true;
    const heldMs = this.#services.clock.monotonicMs() - leaseSinceMs;
    return heldMs >= LEASE_TTL_MS + ORDER_TIMEOUT_MS;
  }

  #listManagedServices(): ManagedService[] {
    return this.#services.configuration.revisions().flatMap((
      { team, document },
    ) =>
      Object.entries(document?.services ?? {}).flatMap(([name, config]) => {
        if (config.kind !== "engine" || !config.desired) return [];
        const { desired, honoursFence } = config;
        return [{ id: toServiceId(team, name), desired, honoursFence }];
      })
    );
  }

  async #reconcile(service: ManagedService): Promise<void> {
    const rollout = this.#getOrCreateRollout(service.id);
    if (this.#canSkipReconcile(service, rollout)) return;
    if (!await this.#restoreStop(service, rollout)) return;
    const all = this.#services.endpoints.endpointsOf(service.id);
    const zoneEndpoints = all.filter(({ zone }) => zone === this.#zone);
    const observed = await Promise.all(
      zoneEndpoints.map((endpoint) => this.#observe(endpoint)),
    );
    const step = rollout.planner.plan({
      nowMs: this.#services.clock.monotonicMs(),
      desired: service.desired,
      endpoints: observed,
      canStartDownload: this.#downloadLimiter.isAllowed,
      servingInOtherZones: all.filter(({ zone, isLeaving }) =>
        zone !== this.#zone && !isLeaving
      ).length,
    });
    await this.#executeStep(service, zoneEndpoints, step);
    rollout.nextReconcileMs = this.#services.clock.monotonicMs() +
      SETTLED_PERIOD_MS;
    rollout.status = {
      service: service.id,
      desired: service.desired,
      stage: rollout.planner.stage,
      endpoints: observed,
    };
  }

  /** @returns Whether a settled service can be skipped in this pass. */
  #canSkipReconcile(
    service: ManagedService,
    { restoredStopKey, planner, nextReconcileMs }: Rollout,
  ): boolean {
    return restoredStopKey === toDesiredKey(service.desired) &&
      planner.stage.kind === "settled" &&
      this.#services.clock.monotonicMs() < nextReconcileMs;
  }

  /**
   * Restores a stop that was recorded for the desired state.
   *
   * @returns Whether the record could be looked up. If not, the service must
   * not be changed in this pass.
   */
  async #restoreStop(
    service: ManagedService,
    rollout: Rollout,
  ): Promise<boolean> {
    const key = toDesiredKey(service.desired);
    if (rollout.restoredStopKey === key) return true;
    const read = await this.#stopRecords.read(service.id, service.desired);
    if (read.isLeft()) return false;
    rollout.restoredStopKey = key;
    const stop = rightOf(read);
    if (stop) {
      rollout.planner.restoreStop(service.desired, stop.endpoint, stop.reason);
    }
    return true;
  }

  async #observe(endpoint: DirectoryEndpoint): Promise<ObservedEndpoint> {
    const { engines } = this.#services;
    const [state, load] = await Promise.all([
      engines.readState(endpoint),
      engines.readLoad(endpoint),
    ]);
    return { id: endpoint.id, state: rightOf(state), load: rightOf(load) };
  }

  async #executeStep(
    service: ManagedService,
    zoneEndpoints: readonly DirectoryEndpoint[],
    step: RolloutStep,
  ): Promise<void> {
    const { endpoints, logger } = this.#services;
    if (step.kind === "none") return;
    logger.log("info", `rollout-${step.kind}`, {
      service: service.id,
      endpoint: step.endpoint,
      reason: step.kind === "stop" ? step.reason : undefined,
    });
    switch (step.kind) {
      case "drain":
        endpoints.markDraining(service.id, step.endpoint, "rollout");
        return;
      case "undrain":
        endpoints.markAvailable(service.id, step.endpoint, "rollout");
        return;
      case "order":
        await this.#sendOrder(zoneEndpoints, step.endpoint, step.order);
        return;
      case "stop":
        await this.#recordStop(service, step.endpoint, step.reason);
        return;
      default:
        assertNever(step);
    }
  }

  /** Sends an order if the lease cannot expire before the order times out. */
  async #sendOrder(
    zoneEndpoints: readonly Endpoint[],
    id: EndpointId,
    order: EngineOrder,
  ): Promise<void> {
    const endpoint = zoneEndpoints.find((candidate) => candidate.id === id);
    if (!endpoint || this.#lease.remainingMs < ORDER_TIMEOUT_MS) return;
    if (order.kind === "load-model") this.#downloadLimiter.recordUse();
    const { engines, logger } = this.#services;
    const response = await engines.order(endpoint, {
      fence: this.#fence,
      order,
    });
    const failure = leftOf(response);
    if (!failure) return;
    logger.log("warn", "order-failed", {
      endpoint: id,
      detail: failure.detail,
    });
    if (failure.kind === "stale-fence") this.#lease.release();
  }

  /**
   * Drains the failed endpoint until the desired state changes, and records the
   * stop for later lease holders.
   */
  async #recordStop(
    service: ManagedService,
    endpoint: EndpointId,
    reason: string,
  ): Promise<void> {
    this.#services.endpoints.markDraining(service.id, endpoint, reason);
    const desiredKey = toDesiredKey(service.desired);
    const written = await this.#stopRecords.write(service.id, {
      desiredKey,
      endpoint,
      reason,
    });
    written.ifLeft((failure) =>
      this.#services.logger.log("error", "rollout-stop-not-recorded", {
        service: service.id,
        detail: failure.detail,
      })
    );
  }

  #getOrCreateRollout(service: ServiceId): Rollout {
    let rollout = this.#rollouts.get(service);
    if (!rollout) {
      rollout = {
        planner: new RolloutPlanner(),
        restoredStopKey: "",
        status: undefined,
        nextReconcileMs: -Infinity,
      };
      this.#rollouts.set(service, rollout);
    }
    return rollout;
  }
}
