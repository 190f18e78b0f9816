/** Gives orders to the engines of a zone while this daemon holds its lease. */

import { assertNever } from "../../../base/common/errors.ts";
import type {
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import {
  type Disposable,
  NO_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";
import type {
  Endpoint,
  EngineClient,
  EngineOrder,
} from "../../../services/endpoints/common/engine_client.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { Configuration } from "../../configuration/common/configuration.ts";
import { serviceIdOf } from "../../configuration/common/configuration.ts";
import type {
  DirectoryEndpoint,
  EndpointDirectory,
} from "../../endpoints/common/endpoint_directory.ts";
import {
  desiredKeyOf,
  type DesiredState,
  type ObservedEndpoint,
  type RolloutStatus,
  type RolloutStep,
} from "./rollout.ts";
import { RolloutPlanner } from "./rollout_planner.ts";
import { StopRecords } from "./stop_records.ts";
import { RateGate } from "./rate_gate.ts";
import {
  LEASE_TTL_MS,
  ZoneLease,
  type ZoneLeaseServices,
} from "./zone_lease.ts";

const ROUND_PERIOD_MS = 1_000;
/** A service whose engines are as desired is read less often. */
const SETTLED_PERIOD_MS = 10_000;
/** An order that has no answer within this time is not running any more. */
const ORDER_TIMEOUT_MS = 3_000;
const DOWNLOAD_PERIOD_MS = 10_000;

/** What the service works with. */
export interface OrderServices extends ZoneLeaseServices {
  readonly engines: EngineClient;
  readonly configuration: Configuration;
  readonly endpoints: EndpointDirectory;
  readonly logger: Logger;
}

/** A service of the configuration with a desired state. */
interface OrderedService {
  readonly id: ServiceId;
  readonly desired: DesiredState;
  readonly honoursFence: boolean;
}

/** One rollout with what was last seen of it. */
interface Rollout {
  readonly planner: RolloutPlanner;
  /** Desired state whose recorded stop has been looked up. */
  checkedKey: string;
  status: RolloutStatus | undefined;
  /** Monotonic time of the next look while nothing is to be changed. */
  nextLookMs: number;
}

/** Reconciles desired and observed states, one step a round. */
export class OrderService implements Disposable {
  readonly #services: OrderServices;
  readonly #zone: ZoneName;
  readonly #lease: ZoneLease;
  readonly #stops: StopRecords;
  readonly #rollouts = new Map<ServiceId, Rollout>();
  #downloads: RateGate;
  #fence = 0;
  #timer: Disposable = NO_DISPOSABLE;
  #isDisposed = false;

  /** @param services - What the service works with. */
  constructor(services: OrderServices) {
    this.#services = services;
    this.#zone = services.zone;
    this.#lease = new ZoneLease(services);
    this.#stops = new StopRecords(services.store, services.zone);
    this.#downloads = new RateGate(services.clock, DOWNLOAD_PERIOD_MS);
  }

  /** Whether this daemon gives the zone's orders. */
  get isHolder(): boolean {
    return this.#lease.held !== undefined;
  }

  /** Rollouts of the zone, when this daemon gives its orders. */
  statuses(): readonly RolloutStatus[] {
    if (!this.isHolder) return [];
    return [...this.#rollouts.values()].flatMap(({ status }) => status ?? []);
  }

  /** Starts to take the lease when services have a desired state. */
  start(): void {
    this.#scheduleRound();
  }

  /** Gives the lease up and orders nothing more. */
  dispose(): void {
    this.#isDisposed = true;
    this.#timer.dispose();
    this.#lease.dispose();
  }

  #scheduleRound(): void {
    if (this.#isDisposed) return;
    this.#timer = this.#services.clock.setTimer(ROUND_PERIOD_MS, () => {
      void this.#runRound().finally(() => this.#scheduleRound());
    });
  }

  async #runRound(): Promise<void> {
    const ordered = this.#orderedServices();
    if (ordered.length > 0) this.#lease.start();
    const held = this.#lease.held;
    if (!held) return;
    if (held.fence !== this.#fence) this.#adoptLease(held.fence);
    for (const service of ordered) {
      if (this.#mayOrder(service, held.takenMs)) await this.#reconcile(service);
    }
  }

  #adoptLease(fence: number): void {
    const { clock, logger } = this.#services;
    this.#fence = fence;
    this.#rollouts.clear();
    this.#downloads = new RateGate(clock, DOWNLOAD_PERIOD_MS);
    logger.log("info", "orders-lease-taken", { zone: this.#zone, fence });
  }

  /**
   * Engines that ignore the fencing number may still run an order of the last
   * holder, so a new holder waits until none can be under way.
   */
  #mayOrder(service: OrderedService, takenMs: number): boolean {
    if (service.honoursFence) return true;
    const heldMs = this.#services.clock.monotonicMs() - takenMs;
    return heldMs >= LEASE_TTL_MS + ORDER_TIMEOUT_MS;
  }

  #orderedServices(): OrderedService[] {
    return this.#services.configuration.revisions().flatMap((
      { team, document },
    ) =>
      Object.entries(document?.services ?? {}).flatMap(([name, config]) => {
        if (config.kind !== "engine" || !config.desired) return [];
        const { desired, honoursFence } = config;
        return [{ id: serviceIdOf(team, name), desired, honoursFence }];
      })
    );
  }

  async #reconcile(service: OrderedService): Promise<void> {
    const rollout = this.#rolloutOf(service.id);
    if (this.#mayWait(service, rollout)) return;
    if (!await this.#restoreStop(service, rollout)) return;
    const all = this.#services.endpoints.endpointsOf(service.id);
    const near = all.filter(({ zone }) => zone === this.#zone);
    const observed = await Promise.all(
      near.map((endpoint) => this.#observe(endpoint)),
    );
    const step = rollout.planner.plan({
      nowMs: this.#services.clock.monotonicMs(),
      desired: service.desired,
      endpoints: observed,
      mayDownload: this.#downloads.isOpen,
      servingElsewhere: all.filter(({ zone, isLeaving }) =>
        zone !== this.#zone && !isLeaving
      ).length,
    });
    await this.#carryOut(service, near, step);
    rollout.nextLookMs = this.#services.clock.monotonicMs() + SETTLED_PERIOD_MS;
    rollout.status = {
      service: service.id,
      desired: service.desired,
      stage: rollout.planner.stage,
      endpoints: observed,
    };
  }

  /** @returns Whether nothing is to be done until the next look. */
  #mayWait(
    service: OrderedService,
    { checkedKey, planner, nextLookMs }: Rollout,
  ): boolean {
    return checkedKey === desiredKeyOf(service.desired) &&
      planner.stage.kind === "settled" &&
      this.#services.clock.monotonicMs() < nextLookMs;
  }

  /** @returns Whether the store has said if the rollout was stopped. */
  async #restoreStop(
    service: OrderedService,
    rollout: Rollout,
  ): Promise<boolean> {
    const key = desiredKeyOf(service.desired);
    if (rollout.checkedKey === key) return true;
    const read = await this.#stops.read(service.id, service.desired);
    if (read.isLeft()) return false;
    rollout.checkedKey = key;
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

  async #carryOut(
    service: OrderedService,
    near: readonly DirectoryEndpoint[],
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
        await this.#give(near, step.endpoint, step.order);
        return;
      case "stop":
        await this.#recordStop(service, step.endpoint, step.reason);
        return;
      default:
        assertNever(step);
    }
  }

  /** Gives an order only while the lease surely outlives it. */
  async #give(
    near: readonly Endpoint[],
    id: EndpointId,
    order: EngineOrder,
  ): Promise<void> {
    const endpoint = near.find((candidate) => candidate.id === id);
    if (!endpoint || this.#lease.remainingMs < ORDER_TIMEOUT_MS) return;
    if (order.kind === "load-model") this.#downloads.take();
    const { engines, logger } = this.#services;
    const answer = await engines.order(endpoint, { fence: this.#fence, order });
    const failure = leftOf(answer);
    if (!failure) return;
    logger.log("warn", "order-failed", {
      endpoint: id,
      detail: failure.detail,
    });
    if (failure.kind === "stale-fence") this.#lease.giveUp();
  }

  /** The failed endpoint gets no work until the desired state changes. */
  async #recordStop(
    service: OrderedService,
    endpoint: EndpointId,
    reason: string,
  ): Promise<void> {
    this.#services.endpoints.markDraining(service.id, endpoint, reason);
    const desiredKey = desiredKeyOf(service.desired);
    const written = await this.#stops.write(service.id, {
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

  #rolloutOf(service: ServiceId): Rollout {
    let rollout = this.#rollouts.get(service);
    if (!rollout) {
      rollout = {
        planner: new RolloutPlanner(),
        checkedKey: "",
        status: undefined,
        nextLookMs: -Infinity,
      };
      this.#rollouts.set(service, rollout);
    }
    return rollout;
  }
}
