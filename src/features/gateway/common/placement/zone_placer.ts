/**
 * Delegates the placement of generations to one daemon per availability zone.
 * On a full fleet, daemons that each choose by updates that are tens of
 * milliseconds old choose the same engine at the same time, which then preempts
 * generations and prefills their prompts again. A daemon places requests
 * locally while no daemon answers for its zone.
 */

import { type Clock, PeriodicTask } from "../../../../base/common/clock.ts";
import type {
  EndpointId,
  HostId,
  ServiceId,
} from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../../../../base/common/lifecycle.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import type { EndpointChooser, EndpointCriteria } from "./endpoint_chooser.ts";
import type { EndpointEligibility } from "../endpoints/endpoint_eligibility.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { GatewayService } from "../configuration/gateway_configuration.ts";
import type { LoadTable } from "../load/load_table.ts";
import {
  fromDetailFields,
  toDetailFields,
  toPlacementAsk,
} from "./placement_conversion.ts";
import {
  PLACEMENT_CHANNEL,
  type PlacementAsk,
  type PlacementDetailFields,
  type PlacementMessage,
} from "./placement_message.ts";
import type {
  GenerationPlacer,
  PlacementDetails,
  PlacementRequest,
} from "./placement_queue.ts";

/**
 * Time for which a granted placement is claimed here, until the rows of the
 * daemon that received it arrive.
 */
const GRANT_CLAIM_LIFETIME_MS = 60;
/**
 * Period of the messages that tell daemons their requests are still waiting.
 */
const WAITING_MESSAGE_PERIOD_MS = 100;
/**
 * Time without a message after which a placer counts as unresponsive: three
 * missed messages, a fifth of the shortest objective.
 */
const PLACER_TIMEOUT_MS = 300;
/**
 * Time for which an unresponsive placer gets no requests; a link to a dead
 * daemon is closed after 3 s.
 */
const PLACER_COOLDOWN_MS = 3_000;
const INACTIVITY_CHECK_PERIOD_MS = 50;
/** Time for which the statement of a placer that capacity is scarce holds. */
const SCARCITY_LIFETIME_MS = 3_000;

/** Dependencies of `ZonePlacer`. */
export interface ZonePlacerServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay;
  readonly registry: EndpointRegistry;
  readonly loadTable: LoadTable;
  readonly chooser: EndpointChooser;
  readonly eligibility: EndpointEligibility;
  /** Places requests of the whole zone, or only those of this daemon. */
  readonly localPlacer: GenerationPlacer;
  /** @returns The configured service, if it exists. */
  findService(id: ServiceId): GatewayService | undefined;
}

/** A request of this daemon that waits at another daemon. */
interface DelegatedRequest {
  readonly request: PlacementRequest;
  readonly placer: HostId;
  readonly requestedMs: number;
  /** Placement in the local queue, once the placer no longer answers. */
  localPlacement: Disposable | undefined;
}

/**
 * Requests placements from the placer of the zone, and decides them if this
 * daemon is the placer.
 */
export class ZonePlacer implements GenerationPlacer, Disposable {
  readonly #services: ZonePlacerServices;
  readonly #channel: PeerChannel<PlacementMessage>;
  readonly #disposables = new DisposableStore();
  readonly #waitingMessages: PeriodicTask;
  readonly #inactivityChecks: PeriodicTask;
  readonly #delegatedRequests = new Map<number, DelegatedRequest>();
  /** Requests of other daemons that wait here, by daemon and request number. */
  readonly #remote = new Map<HostId, Map<number, Disposable>>();
  readonly #lastReceivedMs = new Map<HostId, number>();
  readonly #cooldownEndMs = new Map<HostId, number>();
  /** Monotonic time until which capacity counts as scarce, in milliseconds. */
  readonly #scarceUntilMs = new Map<ServiceId, number>();
  #nextNumber = 0;
  #remoteRecentWaitMs = 0;

  /** @param services - Dependencies of the placer. */
  constructor(services: ZonePlacerServices) {
    const { clock, links } = services;
    this.#services = services;
    this.#channel = this.#disposables.add(links.openChannel(PLACEMENT_CHANNEL));
    this.#disposables.add(this.#channel.onDidReceive(({ from, body }) => {
      this.#lastReceivedMs.set(from, clock.monotonicMs());
      this.#onMessage(from, body);
    }));
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) return;
      this.#reclaim(host, "its link is down");
      this.#dropRemote(host);
    }));
    this.#waitingMessages = this.#disposables.add(
      new PeriodicTask(
        clock,
        WAITING_MESSAGE_PERIOD_MS,
        () => this.#sendWaiting(),
      ),
    );
    this.#inactivityChecks = this.#disposables.add(
      new PeriodicTask(
        clock,
        INACTIVITY_CHECK_PERIOD_MS,
        () => this.#checkInactivity(),
      ),
    );
  }

  /** {@inheritDoc GenerationPlacer.length} */
  get length(): number {
    return this.#services.localPlacer.length + this.#delegatedRequests.size;
  }

  /** {@inheritDoc GenerationPlacer.recentWaitMs} */
  get recentWaitMs(): number {
    return Math.max(
      this.#services.localPlacer.recentWaitMs,
      this.#remoteRecentWaitMs,
    );
  }

  /** {@inheritDoc GenerationPlacer.reserveTokens} */
  get reserveTokens(): number {
    return this.#services.localPlacer.reserveTokens;
  }

  /** {@inheritDoc GenerationPlacer.isScarce} */
  isScarce(service: ServiceId): boolean {
    const { clock, localPlacer } = this.#services;
    const untilMs = this.#scarceUntilMs.get(service) ?? -Infinity;
    return clock.monotonicMs() < untilMs || localPlacer.isScarce(service);
  }

  /** {@inheritDoc GenerationPlacer.add} */
  add(request: PlacementRequest): Disposable {
    const { clock, overlay, localPlacer, self } = this.#services;
    const placer = overlay.zoneHubFor("placement");
    const nowMs = clock.monotonicMs();
    const isAvailable = nowMs >= (this.#cooldownEndMs.get(placer) ?? 0);
    if (placer === self || !isAvailable) return localPlacer.add(request);
    const number = this.#nextNumber++;
    const ask = toPlacementAsk(
      request,
      number,
      nowMs,
      this.#avoidedEndpoints(request),
    );
    if (this.#channel.send(placer, ask) !== "queued") {
      return localPlacer.add(request);
    }
    const delegated: DelegatedRequest = {
      request,
      placer,
      requestedMs: nowMs,
      localPlacement: undefined,
    };
    this.#delegatedRequests.set(number, delegated);
    this.#inactivityChecks.start();
    return toDisposable(() => {
      delegated.localPlacement?.dispose();
      if (!this.#delegatedRequests.delete(number)) return;
      this.#channel.send(placer, { kind: "withdrawn", number });
    });
  }

  /**
   * Endpoints that failed this request, that are not eligible for it as far as
   * this daemon knows, or that were recently ejected by this daemon.
   */
  #avoidedEndpoints({ criteria }: PlacementRequest): readonly EndpointId[] {
    const { clock, eligibility, registry } = this.#services;
    const nowMs = clock.monotonicMs();
    const usableEndpoints = registry.usable(criteria.service).filter(({ id }) =>
      !criteria.excluded.has(id)
    );
    const ejected = usableEndpoints.filter(({ health }) =>
      health.isEjected(nowMs)
    );
    // If all are ejected, one of them is still better than none.
    const avoidedEndpoints = ejected.length < usableEndpoints.length
      ? ejected
      : [];
    const ineligible = usableEndpoints.filter((endpoint) => {
      const reason = eligibility.check(endpoint, criteria)?.kind;
      // The placer checks the version itself.
      return reason !== undefined && reason !== "other-version";
    });
    const avoided = new Set([...avoidedEndpoints, ...ineligible]);
    return [...criteria.excluded, ...[...avoided].map(({ id }) => id)];
  }

  /** Discards all waiting requests and stops all messages. */
  dispose(): void {
    this.#disposables.dispose();
    this.#delegatedRequests.clear();
    for (const host of [...this.#remote.keys()]) this.#dropRemote(host);
  }

  #onMessage(from: HostId, message: PlacementMessage): void {
    switch (message.kind) {
      case "asked":
        this.#addRemoteRequest(from, message);
        return;
      case "withdrawn":
        this.#remote.get(from)?.get(message.number)?.dispose();
        this.#remote.get(from)?.delete(message.number);
        return;
      case "granted":
        this.#onGranted(from, message);
        return;
      case "rejected": {
        this.#remoteRecentWaitMs = message.recentWaitMs;
        const delegated = this.#takeDelegated(from, message.number);
        if (!delegated) return;
        const { isEarly, reason, retryAfterMs } = message;
        delegated.request.onRejected(reason, {
          ...this.#readDetails(delegated, message),
          isEarly,
          retryAfterMs,
        });
        return;
      }
      case "declined": {
        const delegated = this.#takeDelegated(from, message.number);
        if (delegated) this.#placeLocally(delegated);
        return;
      }
      case "waiting":
    }
  }

  #onGranted(
    from: HostId,
    message: PlacementMessage & { readonly kind: "granted" },
  ): void {
    this.#remoteRecentWaitMs = message.recentWaitMs;
    const delegated = this.#takeDelegated(from, message.number);
    if (!delegated) return;
    const { eligibility, registry } = this.#services;
    const endpoint = registry.get(message.endpoint);
    const { softwareVersion } = delegated.request.criteria;
    const isOtherVersion = softwareVersion !== undefined &&
      endpoint?.softwareVersion !== softwareVersion;
    const isAllowed = endpoint &&
      !eligibility.checkRules(endpoint, delegated.request.criteria.regions);
    if (!endpoint?.isUsable || isOtherVersion || !isAllowed) {
      this.#placeLocally(delegated);
      return;
    }
    const { backup, candidates, cost } = message;
    const grant = {
      placer: from,
      backup: backup && registry.get(backup),
    };
    delegated.request.onPlaced(
      { endpoint, cost, candidates, grant },
      this.#readDetails(delegated, message),
    );
  }

  #readDetails(
    { request }: DelegatedRequest,
    fields: PlacementDetailFields,
  ): PlacementDetails {
    if (fields.isScarce !== undefined) {
      const nowMs = this.#services.clock.monotonicMs();
      const untilMs = fields.isScarce ? nowMs + SCARCITY_LIFETIME_MS : nowMs;
      this.#scarceUntilMs.set(request.service.id, untilMs);
    }
    return fromDetailFields(fields);
  }

  #takeDelegated(from: HostId, number: number): DelegatedRequest | undefined {
    const delegated = this.#delegatedRequests.get(number);
    if (delegated?.placer !== from) return undefined;
    this.#delegatedRequests.delete(number);
    return delegated;
  }

  #placeLocally(delegated: DelegatedRequest): void {
    delegated.localPlacement = this.#services.localPlacer.add(
      delegated.request,
    );
  }

  /** Places locally the requests that wait at an unresponsive daemon. */
  #reclaim(placer: HostId, reason: string): void {
    const { clock, logger } = this.#services;
    const delegatedToPlacer = [...this.#delegatedRequests].filter((
      [, delegated],
    ) => delegated.placer === placer);
    if (delegatedToPlacer.length === 0) return;
    this.#cooldownEndMs.set(placer, clock.monotonicMs() + PLACER_COOLDOWN_MS);
    logger.log("warn", "placer-lost", {
      peer: placer,
      reason,
      waiting: delegatedToPlacer.length,
    });
    for (const [number, delegated] of delegatedToPlacer) {
      this.#channel.send(placer, { kind: "withdrawn", number });
      this.#delegatedRequests.delete(number);
      this.#placeLocally(delegated);
    }
  }

  /** @returns Whether requests still wait at another daemon. */
  #checkInactivity(): boolean {
    const nowMs = this.#services.clock.monotonicMs();
    const unresponsive = new Set<HostId>();
    for (const { requestedMs, placer } of this.#delegatedRequests.values()) {
      const lastReceivedMs = Math.max(
        requestedMs,
        this.#lastReceivedMs.get(placer) ?? 0,
      );
      if (nowMs - lastReceivedMs > PLACER_TIMEOUT_MS) unresponsive.add(placer);
    }
    for (const placer of unresponsive) this.#reclaim(placer, "timed out");
    return this.#delegatedRequests.size > 0;
  }

  /** Queues a request of another daemon together with the local ones. */
  #addRemoteRequest(from: HostId, ask: PlacementAsk): void {
    const { loadTable, chooser, clock, localPlacer } = this.#services;
    const { number, unreadTokens: prefillTokens } = ask;
    const service = this.#services.findService(ask.service);
    const { softwareVersion } = ask;
    const isKnown = this.#services.registry.usable(ask.service).some(
      (endpoint) =>
        softwareVersion === undefined ||
        endpoint.softwareVersion === softwareVersion,
    );
    // The other daemon may have loaded them already.
    if (!service || !isKnown) {
      this.#channel.send(from, { kind: "declined", number });
      return;
    }
    const requests = this.#remote.get(from) ??
      new Map<number, Disposable>();
    this.#remote.set(from, requests);
    const nowMs = clock.monotonicMs();
    const criteria: EndpointCriteria = {
      service: ask.service,
      memoryTokens: ask.memoryTokens,
      excluded: new Set(ask.excluded),
      softwareVersion,
      outputTokens: Math.max(0, ask.memoryTokens - prefillTokens),
      gapObjectiveMs: ask.gapObjectiveMs,
      ignoresHolds: true,
    };
    let isAnswered = false;
    const respond = (message: PlacementMessage): void => {
      isAnswered = true;
      requests.delete(number);
      this.#channel.send(from, message);
    };
    const placement = localPlacer.add({
      criteria,
      wantsBackup: ask.wantsBackup,
      pendingPrefillTokens: prefillTokens,
      service,
      priority: ask.priority,
      queuedMs: nowMs,
      firstEventDueMs: nowMs + ask.objectiveLeftMs,
      latestStartMs: nowMs + ask.startLeftMs,
      onPlaced: ({ endpoint, cost, candidates }, details) => {
        const claims = new DisposableStore();
        claims.add(
          loadTable.claim(
            endpoint.id,
            criteria.memoryTokens,
            prefillTokens,
          ),
        );
        const backup = ask.wantsBackup
          ? chooser.chooseBackup(criteria, service, endpoint)
          : undefined;
        if (backup) claims.add(loadTable.claimBackup(backup.id, prefillTokens));
        // Counted until the rows of the requesting daemon include them.
        clock.setTimer(GRANT_CLAIM_LIFETIME_MS, () => claims.dispose());
        respond({
          kind: "granted",
          number,
          endpoint: endpoint.id,
          ...(backup && { backup: backup.id }),
          cost,
          candidates,
          recentWaitMs: localPlacer.recentWaitMs,
          ...toDetailFields(details, localPlacer.isScarce(service.id)),
        });
      },
      onRejected: (reason, details) => {
        const { isEarly, retryAfterMs } = details;
        respond({
          kind: "rejected",
          number,
          reason,
          recentWaitMs: localPlacer.recentWaitMs,
          ...(isEarly !== undefined && { isEarly }),
          ...(retryAfterMs !== undefined && { retryAfterMs }),
          ...toDetailFields(details, localPlacer.isScarce(service.id)),
        });
      },
    });
    if (isAnswered) return;
    requests.set(number, placement);
    this.#waitingMessages.start();
  }

  #dropRemote(host: HostId): void {
    for (const place of this.#remote.get(host)?.values() ?? []) place.dispose();
    this.#remote.delete(host);
  }

  /** @returns Whether requests of other daemons still wait here. */
  #sendWaiting(): boolean {
    const waiting = [...this.#remote].filter(([, requests]) =>
      requests.size > 0
    )
      .map(([host]) => host);
    this.#channel.multicast(waiting, { kind: "waiting" });
    return waiting.length > 0;
  }
}
