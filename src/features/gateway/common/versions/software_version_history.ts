/**
 * Knows which software versions of a service may have begun the streams that
 * callers take up. A process sees only the endpoints that are there after its
 * start; what was there before, it learns from the store or from its peers.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import { Emitter } from "../../../../base/common/event.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { GatewayRoute } from "../configuration/gateway_configuration.ts";
import { StreamLifetimes } from "./stream_lifetimes.ts";

/**
 * Entries of endpoints stay in the store for longer than this, so that a view
 * which is not older has missed none.
 */
export const MAX_VIEW_AGE_MS = 3_000;

/** Software versions that may have begun the current streams of a service. */
export interface ServiceVersions {
  readonly service: ServiceId;
  readonly versions: readonly {
    readonly softwareVersion: string;
    /**
     * Time since an endpoint with this version was last present, in
     * milliseconds; 0 if one is.
     */
    readonly absentForMs: number;
  }[];
}

/** How current this process's view of the endpoints is. */
export interface EndpointView {
  /** Time since the view was last confirmed, in milliseconds. */
  readonly ageMs: number;
  /**
   * Adds what is new.
   *
   * @returns Whether the view has all that was announced before this call.
   */
  confirm(): Promise<boolean>;
}

/** A version whose endpoints left before this process could see them. */
interface LearnedVersion {
  /** Monotonic time in milliseconds at which it was last present. */
  readonly lastPresentMs: number;
  readonly source: LearnedFrom;
}

/**
 * Who has told of a version. `peer`: a peer, with the time at which it left.
 * `first-entry`: the store, before this process knew the versions of the
 * service; `later-entry`: the store, which another host has told of a version
 * that this one has not seen. The store states no times: the latest possible one
 * is taken.
 */
type LearnedFrom = "peer" | "first-entry" | "later-entry";

/** Software versions of the services, as far back as this process knows. */
export class SoftwareVersionHistory {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #view: EndpointView;
  readonly #lifetimes: StreamLifetimes;
  readonly #learned = new Map<ServiceId, Map<string, LearnedVersion>>();
  /** Services whose versions of before the observation were learned. */
  readonly #completed = new Set<ServiceId>();
  readonly #didLearn = new Emitter<ServiceId>();
  /** Monotonic time since which the endpoints of all services are seen. */
  #observedSinceMs = Infinity;

  /** Fires when the earlier versions of a service become known. */
  readonly onDidLearn = this.#didLearn.event;

  /**
   * @param clock - Clock for the ages of versions.
   * @param registry - The endpoints that this process sees.
   * @param view - How current the registry is.
   */
  constructor(
    clock: Clock,
    registry: EndpointRegistry,
    view: EndpointView,
  ) {
    this.#clock = clock;
    this.#lifetimes = new StreamLifetimes(clock);
    this.#registry = registry;
    this.#view = view;
  }

  /**
   * Time since the endpoints that this process sees were last confirmed to be
   * all there are, in milliseconds.
   */
  get viewAgeMs(): number {
    return this.#view.ageMs;
  }

  /**
   * Adds all endpoints to the registry that were announced before this call.
   *
   * @returns Whether it has them; false if that cannot be found out.
   */
  confirmView(): Promise<boolean> {
    return this.#view.confirm();
  }

  /** Updates how long streams last on each service. */
  setRoutes(routes: readonly GatewayRoute[]): void {
    this.#lifetimes.setRoutes(routes);
  }

  /** Records that the registry contains all endpoints from now on. */
  startObserving(): void {
    // What a peer reported earlier does not reach up to now.
    this.#completed.clear();
    this.#observedSinceMs = Math.min(
      this.#observedSinceMs,
      this.#clock.monotonicMs(),
    );
  }

  /**
   * Records that endpoints may have come and gone unseen. As after the start of
   * the process, the versions until now have to be learned.
   */
  restartObserving(): void {
    this.#observedSinceMs = this.#clock.monotonicMs();
    this.#completed.clear();
  }

  /**
   * Records that all streams began at versions that the registry contains: no
   * daemon served before this process, or one that did has reported the
   * streams of all services with several versions.
   */
  markComplete(): void {
    if (this.#observedSinceMs === -Infinity) return;
    const unknown = this.#lifetimes.services.filter((service) =>
      !this.isKnown(service)
    );
    this.#observedSinceMs = -Infinity;
    for (const service of unknown) this.#didLearn.fire(service);
  }

  /**
   * @returns Whether all versions are known that may have begun the current
   * streams of a service.
   */
  isKnown(service: ServiceId): boolean {
    return this.#reachesBackTo(service, this.#lifetimeStartMs(service));
  }

  /**
   * @returns The versions that may have begun the current streams of a service,
   * or `undefined` if they are not known.
   */
  currentVersions(service: ServiceId): ReadonlySet<string> | undefined {
    const sinceMs = this.#lifetimeStartMs(service);
    if (!this.#reachesBackTo(service, sinceMs)) return undefined;
    const lastPresentMs = [...this.#lastPresentMs(service)];
    return new Set(
      lastPresentMs.filter(([, atMs]) => atMs >= sinceMs)
        .map(([softwareVersion]) => softwareVersion),
    );
  }

  /**
   * @returns The versions that may have begun the current streams of a service
   * and that this host or a peer has seen.
   */
  witnessedVersions(service: ServiceId): readonly string[] {
    const sinceMs = this.#lifetimeStartMs(service);
    const fromPeers = [...this.#learned.get(service) ?? []].filter(
      ([, { source }]) => source === "peer",
    ).map(([version, { lastPresentMs }]) => [version, lastPresentMs] as const);
    const witnessed = [...this.#registry.lastPresentMs(service), ...fromPeers];
    return witnessed.filter(([, atMs]) => atMs >= sinceMs)
      .map(([softwareVersion]) => softwareVersion);
  }

  /**
   * @returns The services whose current streams may have begun at several
   * versions, as far as this process knows.
   */
  servicesWithUnsureVersion(): ReadonlySet<ServiceId> {
    return new Set(this.#lifetimes.services.filter((service) => {
      const versions = this.currentVersions(service);
      return versions === undefined || versions.size > 1;
    }));
  }

  /** The services whose versions are known. */
  records(): readonly ServiceVersions[] {
    const nowMs = this.#clock.monotonicMs();
    return this.#lifetimes.services.flatMap((service) => {
      const sinceMs = this.#lifetimeStartMs(service);
      if (!this.#reachesBackTo(service, sinceMs)) return [];
      const versions = [...this.#lastPresentMs(service)]
        .filter(([, atMs]) => atMs >= sinceMs)
        .map(([softwareVersion, atMs]) => ({
          softwareVersion,
          absentForMs: Math.max(0, Math.round(nowMs - atMs)),
        }));
      return [{ service, versions }];
    });
  }

  /**
   * Learns from the store which versions other hosts have seen.
   *
   * @param service - The service.
   * @param softwareVersions - Its versions. Endpoints with them may have left
   * at any time since.
   */
  learnStored(service: ServiceId, softwareVersions: readonly string[]): void {
    const current = this.currentVersions(service);
    const source = current ? "later-entry" : "first-entry";
    const unseen = softwareVersions.filter((version) => !current?.has(version));
    if (current && unseen.length === 0) return;
    const learned = new Map(this.#learned.get(service));
    const lastPresentMs = this.#clock.monotonicMs();
    for (const version of unseen) {
      learned.set(version, { lastPresentMs, source });
    }
    this.#learned.set(service, learned);
    if (!current) this.#completed.add(service);
    this.#didLearn.fire(service);
  }

  /** Learns the versions that a peer has seen. */
  learnFromPeer({ service, versions }: ServiceVersions): void {
    const wasKnown = this.isKnown(service);
    const nowMs = this.#clock.monotonicMs();
    const earlier = [...this.#learned.get(service) ?? []];
    // The peer knows better when a version left.
    const learned = new Map(
      earlier.filter(([, { source }]) => source !== "first-entry"),
    );
    for (const { softwareVersion, absentForMs } of versions) {
      const lastPresentMs = Math.max(
        nowMs - absentForMs,
        learned.get(softwareVersion)?.lastPresentMs ?? -Infinity,
      );
      learned.set(softwareVersion, { lastPresentMs, source: "peer" });
    }
    this.#learned.set(service, learned);
    this.#completed.add(service);
    if (!wasKnown) this.#didLearn.fire(service);
  }

  #lifetimeStartMs(service: ServiceId): number {
    return this.#clock.monotonicMs() - this.#lifetimes.lifetimeMs(service);
  }

  #reachesBackTo(service: ServiceId, sinceMs: number): boolean {
    return this.#observedSinceMs <= sinceMs || this.#completed.has(service);
  }

  #lastPresentMs(service: ServiceId): ReadonlyMap<string, number> {
    const lastPresentMs = new Map(this.#registry.lastPresentMs(service));
    for (const [version, learned] of this.#learned.get(service) ?? []) {
      const seenMs = lastPresentMs.get(version) ?? -Infinity;
      lastPresentMs.set(version, Math.max(seenMs, learned.lastPresentMs));
    }
    return lastPresentMs;
  }
}
