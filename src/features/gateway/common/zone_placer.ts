/**
 * Lets one daemon of each availability zone place the generations of its zone.
 * Answers the load of a full fleet: daemons that each choose by what they heard
 * from the others tens of milliseconds ago choose the same engine together, which
 * then preempts generations and reads their prompts again. A daemon places by
 * itself as long as nobody answers for its zone.
 */

import { type Clock, PeriodicTask } from "../../../base/common/clock.ts";
import type {
  EndpointId,
  HostId,
  ServiceId,
} from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../services/peers/common/peer_overlay.ts";
import type { EndpointChooser, Need } from "./endpoint_choice.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { GatewayService } from "./gateway_configuration.ts";
import type { LoadBoard } from "./load_board.ts";
import {
  type PlaceAsked,
  PLACEMENT_CHANNEL,
  type PlacementMessage,
} from "./placement_message.ts";
import type { GenerationPlacer, PlacementRequest } from "./placement_queue.ts";

/** Time for the rows of the daemon that was granted a place to arrive here. */
const GRANT_LIFETIME_MS = 60;
/** How often daemons hear that their requests still wait. */
const WAITING_PERIOD_MS = 100;
/** Three missed messages; a fifth of the shortest objective. */
const SILENCE_LIMIT_MS = 300;
/** Time for which a silent daemon is not asked; a link to a dead one is closed after 3 s. */
const DISTRUST_MS = 3_000;
const CHECK_PERIOD_MS = 50;

/** What placing is made from. */
export interface ZonePlacerServices {
  readonly self: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay;
  readonly registry: EndpointRegistry;
  readonly board: LoadBoard;
  readonly chooser: EndpointChooser;
  /** Places the requests of this daemon's zone, or only its own. */
  readonly queue: GenerationPlacer;
  /** @returns The service as configured, if it is. */
  findService(id: ServiceId): GatewayService | undefined;
}

/** A request of this daemon that waits at another. */
interface Delegated {
  readonly request: PlacementRequest;
  readonly placer: HostId;
  readonly askedMs: number;
  /** Its place in the own queue, once nobody else answers. */
  own: Disposable | undefined;
}

/** Asks for places, and gives them where this daemon is the one that does. */
export class ZonePlacer implements GenerationPlacer, Disposable {
  readonly #services: ZonePlacerServices;
  readonly #channel: PeerChannel<PlacementMessage>;
  readonly #owned = new DisposableStore();
  readonly #reminders: PeriodicTask;
  readonly #checks: PeriodicTask;
  readonly #delegated = new Map<number, Delegated>();
  /** Requests of other daemons that wait here, by daemon and number. */
  readonly #hosted = new Map<HostId, Map<number, Disposable>>();
  readonly #heardMs = new Map<HostId, number>();
  readonly #distrustedUntilMs = new Map<HostId, number>();
  #count = 0;
  #remoteWaitMs = 0;

  /** @param services - What placing is made from. */
  constructor(services: ZonePlacerServices) {
    const { clock, links } = services;
    this.#services = services;
    this.#channel = this.#owned.add(links.openChannel(PLACEMENT_CHANNEL));
    this.#owned.add(this.#channel.onDidReceive(({ from, body }) => {
      this.#heardMs.set(from, clock.monotonicMs());
      this.#onMessage(from, body);
    }));
    this.#owned.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) return;
      this.#takeBack(host, "its link is down");
      this.#dropHosted(host);
    }));
    this.#reminders = this.#owned.add(
      new PeriodicTask(clock, WAITING_PERIOD_MS, () => this.#tellWaiting()),
    );
    this.#checks = this.#owned.add(
      new PeriodicTask(clock, CHECK_PERIOD_MS, () => this.#checkSilence()),
    );
  }

  /** {@inheritDoc GenerationPlacer.length} */
  get length(): number {
    return this.#services.queue.length + this.#delegated.size;
  }

  /** {@inheritDoc GenerationPlacer.recentWaitMs} */
  get recentWaitMs(): number {
    return Math.max(this.#services.queue.recentWaitMs, this.#remoteWaitMs);
  }

  /** {@inheritDoc GenerationPlacer.add} */
  add(request: PlacementRequest): Disposable {
    const { clock, overlay, queue, self } = this.#services;
    const placer = overlay.zoneHub("placement");
    const nowMs = clock.monotonicMs();
    const isTrusted = nowMs >= (this.#distrustedUntilMs.get(placer) ?? 0);
    if (placer === self || !isTrusted) return queue.add(request);
    const number = this.#count++;
    const asked = toAsked(request, number, nowMs, this.#avoided(request));
    if (this.#channel.send(placer, asked) !== "queued") {
      return queue.add(request);
    }
    const delegated: Delegated = {
      request,
      placer,
      askedMs: nowMs,
      own: undefined,
    };
    this.#delegated.set(number, delegated);
    this.#checks.start();
    return toDisposable(() => {
      delegated.own?.dispose();
      if (!this.#delegated.delete(number)) return;
      this.#channel.send(placer, { kind: "withdrawn", number });
    });
  }

  /** Endpoints that failed the request, or this daemon lately. */
  #avoided({ need }: PlacementRequest): readonly EndpointId[] {
    const { clock, registry } = this.#services;
    const nowMs = clock.monotonicMs();
    const usable = registry.usable(need.service).filter(({ id }) =>
      !need.excluded.has(id)
    );
    const ejected = usable.filter(({ health }) => health.isEjected(nowMs));
    // Where all are ejected, one of them is still better than none.
    const avoided = ejected.length < usable.length ? ejected : [];
    return [...need.excluded, ...avoided.map(({ id }) => id)];
  }

  /** Forgets all that wait. */
  dispose(): void {
    this.#owned.dispose();
    this.#delegated.clear();
    for (const host of [...this.#hosted.keys()]) this.#dropHosted(host);
  }

  #onMessage(from: HostId, message: PlacementMessage): void {
    switch (message.kind) {
      case "asked":
        this.#host(from, message);
        return;
      case "withdrawn":
        this.#hosted.get(from)?.get(message.number)?.dispose();
        this.#hosted.get(from)?.delete(message.number);
        return;
      case "granted":
        this.#onGranted(from, message);
        return;
      case "rejected": {
        this.#remoteWaitMs = message.recentWaitMs;
        const delegated = this.#take(from, message.number);
        delegated?.request.onHopeless(message.reason);
        return;
      }
      case "declined": {
        const delegated = this.#take(from, message.number);
        if (delegated) this.#placeHere(delegated);
        return;
      }
      case "waiting":
    }
  }

  #onGranted(
    from: HostId,
    message: PlacementMessage & { readonly kind: "granted" },
  ): void {
    this.#remoteWaitMs = message.recentWaitMs;
    const delegated = this.#take(from, message.number);
    if (!delegated) return;
    const endpoint = this.#services.registry.get(message.endpoint);
    if (!endpoint?.isUsable) {
      this.#placeHere(delegated);
      return;
    }
    const { backup, candidates, cost } = message;
    const granted = {
      by: from,
      backup: backup && this.#services.registry.get(backup),
    };
    delegated.request.onPlaced({ endpoint, cost, candidates, granted });
  }

  #take(from: HostId, number: number): Delegated | undefined {
    const delegated = this.#delegated.get(number);
    if (delegated?.placer !== from) return undefined;
    this.#delegated.delete(number);
    return delegated;
  }

  #placeHere(delegated: Delegated): void {
    delegated.own = this.#services.queue.add(delegated.request);
  }

  /** Places by itself what waits at a daemon that does not answer. */
  #takeBack(placer: HostId, reason: string): void {
    const { clock, logger } = this.#services;
    const waiting = [...this.#delegated].filter(([, delegated]) =>
      delegated.placer === placer
    );
    if (waiting.length === 0) return;
    this.#distrustedUntilMs.set(placer, clock.monotonicMs() + DISTRUST_MS);
    logger.log("warn", "placer-lost", {
      peer: placer,
      reason,
      waiting: waiting.length,
    });
    for (const [number, delegated] of waiting) {
      this.#channel.send(placer, { kind: "withdrawn", number });
      this.#delegated.delete(number);
      this.#placeHere(delegated);
    }
  }

  /** @returns Whether requests still wait elsewhere. */
  #checkSilence(): boolean {
    const nowMs = this.#services.clock.monotonicMs();
    const silent = new Set<HostId>();
    for (const { askedMs, placer } of this.#delegated.values()) {
      const heardMs = Math.max(askedMs, this.#heardMs.get(placer) ?? 0);
      if (nowMs - heardMs > SILENCE_LIMIT_MS) silent.add(placer);
    }
    for (const placer of silent) this.#takeBack(placer, "it is silent");
    return this.#delegated.size > 0;
  }

  /** Lets a request of another daemon wait here, in the order of all. */
  #host(from: HostId, asked: PlaceAsked): void {
    const { board, chooser, clock, queue } = this.#services;
    const { number, unreadTokens } = asked;
    const service = this.#services.findService(asked.service);
    const usable = this.#services.registry.usable(asked.service);
    // A daemon that has just started may not know them yet.
    if (!service || usable.length === 0) {
      this.#channel.send(from, { kind: "declined", number });
      return;
    }
    const hosted = this.#hosted.get(from) ?? new Map<number, Disposable>();
    this.#hosted.set(from, hosted);
    const nowMs = clock.monotonicMs();
    const need: Need = {
      service: asked.service,
      memoryTokens: asked.memoryTokens,
      excluded: new Set(asked.excluded),
    };
    let isAnswered = false;
    const answer = (message: PlacementMessage): void => {
      isAnswered = true;
      hosted.delete(number);
      this.#channel.send(from, message);
    };
    const place = queue.add({
      need,
      wantsBackup: asked.wantsBackup,
      unreadTokens,
      service,
      priority: asked.priority,
      sinceMs: nowMs,
      objectiveDueMs: nowMs + asked.objectiveLeftMs,
      lastStartMs: nowMs + asked.startLeftMs,
      onPlaced: ({ endpoint, cost, candidates }) => {
        const claims = new DisposableStore();
        claims.add(board.claim(endpoint.id, need.memoryTokens, unreadTokens));
        const backup = asked.wantsBackup
          ? chooser.chooseBackup(need, service, endpoint)
          : undefined;
        if (backup) claims.add(board.claimCopy(backup.id, unreadTokens));
        // Counted until the other daemon's own rows tell of them.
        clock.setTimer(GRANT_LIFETIME_MS, () => claims.dispose());
        answer({
          kind: "granted",
          number,
          endpoint: endpoint.id,
          ...(backup && { backup: backup.id }),
          cost,
          candidates,
          recentWaitMs: queue.recentWaitMs,
        });
      },
      onHopeless: (reason) => {
        const { recentWaitMs } = queue;
        answer({ kind: "rejected", number, reason, recentWaitMs });
      },
    });
    if (isAnswered) return;
    hosted.set(number, place);
    this.#reminders.start();
  }

  #dropHosted(host: HostId): void {
    for (const place of this.#hosted.get(host)?.values() ?? []) place.dispose();
    this.#hosted.delete(host);
  }

  /** @returns Whether requests of other daemons still wait here. */
  #tellWaiting(): boolean {
    const waiting = [...this.#hosted].filter(([, hosted]) => hosted.size > 0)
      .map(([host]) => host);
    this.#channel.multicast(waiting, { kind: "waiting" });
    return waiting.length > 0;
  }
}

function toAsked(
  request: PlacementRequest,
  number: number,
  nowMs: number,
  excluded: readonly EndpointId[],
): PlaceAsked {
  const { need, priority, unreadTokens, wantsBackup } = request;
  return {
    kind: "asked",
    number,
    service: need.service,
    memoryTokens: need.memoryTokens,
    unreadTokens,
    wantsBackup,
    excluded,
    priority,
    objectiveLeftMs: request.objectiveDueMs - nowMs,
    startLeftMs: request.lastStartMs - nowMs,
  };
}
