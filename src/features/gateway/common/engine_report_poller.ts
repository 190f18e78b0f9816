/**
 * Reads the reports of engines, each by one daemon, and tells the peers which
 * engines are about to leave. While the store is away this is the only word.
 */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { EndpointId, HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../services/peers/common/peer_overlay.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "./endpoint_registry.ts";
import type { EngineControl } from "./engine_control.ts";

/** Reports lag by some hundred ms anyway, and each read is paid for. */
const POLL_PERIOD_MS = 500;

interface DrainingMessage {
  readonly endpoint: EndpointId;
  readonly bornMs: number;
}

const DRAINING_CHANNEL: PeerChannelSpec<DrainingMessage> = {
  name: "leaving.v1",
  decode: (body) => {
    const { endpoint, bornMs } = (body ?? {}) as Record<string, unknown>;
    if (typeof endpoint !== "string" || typeof bornMs !== "number") {
      return Left("no endpoint with its start");
    }
    return Right({ endpoint: endpoint as EndpointId, bornMs });
  },
};

/** Polls the engines that fall to this daemon. */
export class EngineReportPoller implements Disposable {
  readonly #self: HostId;
  readonly #hasher: Hasher;
  readonly #logger: Logger;
  readonly #overlay: PeerOverlay;
  readonly #registry: EndpointRegistry;
  readonly #control: EngineControl;
  readonly #isEngine: (endpoint: RegisteredEndpoint) => boolean;
  readonly #channel: PeerChannel<DrainingMessage>;
  readonly #disposables = new DisposableStore();
  readonly #pendingReads = new Set<RegisteredEndpoint>();

  /**
   * @param self - This host.
   * @param clock - Clock of the polls.
   * @param hasher - Deals the engines out.
   * @param logger - Where reports without an answer are told.
   * @param links - Links to the peers.
   * @param overlay - Hubs, which share the engines among them.
   * @param registry - The endpoints.
   * @param control - Reads reports.
   * @param isEngine - Whether an endpoint gives reports.
   */
  constructor(
    self: HostId,
    clock: Clock,
    hasher: Hasher,
    logger: Logger,
    links: PeerLinks,
    overlay: PeerOverlay,
    registry: EndpointRegistry,
    control: EngineControl,
    isEngine: (endpoint: RegisteredEndpoint) => boolean,
  ) {
    this.#self = self;
    this.#hasher = hasher;
    this.#logger = logger;
    this.#overlay = overlay;
    this.#registry = registry;
    this.#control = control;
    this.#isEngine = isEngine;
    this.#channel = this.#disposables.add(links.openChannel(DRAINING_CHANNEL));
    this.#disposables.add(this.#channel.onDidReceive(({ body }) => {
      const known = registry.get(body.endpoint);
      if (known?.announcement.bornMs !== body.bornMs || !known.isUsable) return;
      registry.markDraining(body.endpoint, "told by a peer");
      this.#channel.multicast(overlay.linkedLeaves(), body);
    }));
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
    for (const endpoint of this.#registry.all) {
      if (!endpoint.isUsable || !this.#isEngine(endpoint)) continue;
      const [owner] = rendezvousOrder(this.#hasher, endpoint.id, hosts);
      if (owner === this.#self) void this.#read(endpoint);
    }
  }

  async #read(endpoint: RegisteredEndpoint): Promise<void> {
    if (this.#pendingReads.has(endpoint)) return;
    this.#pendingReads.add(endpoint);
    const { address, bornMs, id } = endpoint.announcement;
    const report = await this.#control.readReport(address);
    this.#pendingReads.delete(endpoint);
    report.caseOf({
      Left: (detail) =>
        this.#logger.log("warn", "report-missing", { endpoint: id, detail }),
      Right: (read) => {
        const isOtherProcess = read.bornMs !== undefined &&
          read.bornMs !== bornMs;
        const isDraining = read.isDraining || read.shutdownInMs !== undefined;
        if (isOtherProcess || !isDraining || !endpoint.isUsable) return;
        this.#registry.markDraining(id, "report");
        this.#channel.broadcast({ endpoint: id, bornMs });
      },
    });
  }
}
