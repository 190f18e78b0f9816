/**
 * Polls the reports of engines, each engine from one daemon, and marks engines
 * that are about to shut down. During an outage of the store
 * this is the only source of that information.
 */

import { type Clock, runPeriodically } from "../../../../base/common/clock.ts";
import {
  type Hasher,
  rendezvousOrder,
} from "../../../../base/common/hasher.ts";
import type { HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "../endpoints/endpoint_registry.ts";
import type { EngineControl } from "../protocol/engine_control.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { LeavingMarks } from "../endpoints/leaving_marks.ts";

/**
 * Period of the polls. Reports lag by some hundred milliseconds anyway, and
 * each read has a cost.
 */
const POLL_PERIOD_MS = 500;
/** Time between two reads of an engine with a limit; these count against it. */
const LIMITED_READ_INTERVAL_MS = 2_000;

/** Polls the engines that are assigned to this daemon. */
export class EngineReportPoller implements Disposable {
  readonly #self: HostId;
  readonly #clock: Clock;
  readonly #hasher: Hasher;
  readonly #logger: Logger;
  readonly #overlay: PeerOverlay;
  readonly #registry: EndpointRegistry;
  readonly #control: EngineControl;
  readonly #isEngine: (endpoint: RegisteredEndpoint) => boolean;
  readonly #leavingMarks: LeavingMarks;
  readonly #limits: EndpointLimits;
  readonly #lastReadMs = new WeakMap<RegisteredEndpoint, number>();
  readonly #disposables = new DisposableStore();
  readonly #pendingReads = new Set<RegisteredEndpoint>();

  /**
   * @param self - Id of this host.
   * @param clock - Clock for the polls.
   * @param hasher - Assigns engines to daemons.
   * @param logger - Logs reports that could not be read.
   * @param leavingMarks - Marks the engines that leave, on all daemons.
   * @param limits - Limits that reports name.
   * @param overlay - Determines the hubs, which divide the engines among
   * themselves.
   * @param registry - The registered endpoints.
   * @param control - Reads the reports.
   * @param isEngine - Returns whether an endpoint provides reports.
   */
  constructor(
    self: HostId,
    clock: Clock,
    hasher: Hasher,
    logger: Logger,
    leavingMarks: LeavingMarks,
    limits: EndpointLimits,
    overlay: PeerOverlay,
    registry: EndpointRegistry,
    control: EngineControl,
    isEngine: (endpoint: RegisteredEndpoint) => boolean,
  ) {
    this.#self = self;
    this.#clock = clock;
    this.#hasher = hasher;
    this.#logger = logger;
    this.#overlay = overlay;
    this.#registry = registry;
    this.#control = control;
    this.#isEngine = isEngine;
    this.#leavingMarks = leavingMarks;
    this.#limits = limits;
    this.#disposables.add(
      runPeriodically(clock, POLL_PERIOD_MS, () => this.#poll()),
    );
  }

  /** Stops the polls. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #poll(): void {
    if (!this.#overlay.isHub) return;
    const hosts = [this.#self, ...this.#overlay.linkedHubs()];
    const nowMs = this.#clock.monotonicMs();
    for (const endpoint of this.#registry.all) {
      if (!endpoint.isUsable || !this.#isEngine(endpoint)) continue;
      if (endpoint.isHeld(nowMs)) continue;
      const sinceReadMs = nowMs - (this.#lastReadMs.get(endpoint) ?? -Infinity);
      const isRecent = sinceReadMs < LIMITED_READ_INTERVAL_MS;
      if (isRecent && this.#limits.isLimited(endpoint)) continue;
      const [owner] = rendezvousOrder(this.#hasher, endpoint.id, hosts);
      if (owner === this.#self) void this.#read(endpoint);
    }
  }

  async #read(endpoint: RegisteredEndpoint): Promise<void> {
    if (this.#pendingReads.has(endpoint)) return;
    this.#pendingReads.add(endpoint);
    const sentMs = this.#clock.monotonicMs();
    this.#lastReadMs.set(endpoint, sentMs);
    const { address, bornMs, id } = endpoint.announcement;
    const report = await this.#control.readReport(address).finally(() =>
      this.#pendingReads.delete(endpoint)
    );
    report.caseOf({
      Left: (detail) =>
        this.#logger.log("warn", "report-missing", { endpoint: id, detail }),
      Right: (read) => {
        const isOtherProcess = read.bornMs !== undefined &&
          read.bornMs !== bornMs;
        const isDraining = read.isDraining || read.shutdownInMs !== undefined;
        if (isOtherProcess) return;
        this.#limits.observe(endpoint, read.limit, sentMs);
        this.#limits.observeBrittleness(endpoint, read.brittleness, sentMs);
        if (!isDraining || !endpoint.isUsable) return;
        this.#leavingMarks.mark(endpoint, "report");
      },
    });
  }
}
