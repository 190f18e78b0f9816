/**
 * The regions of zones, and the lists of regions that the configuration in force
 * allows to routes and workspaces.
 */

import type {
  RegionName,
  WorkspaceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import type {
  GatewayConfiguration,
  GatewayRoute,
  KeyHolder,
} from "./gateway_configuration.ts";
import {
  regionBound,
  type RegionList,
  type RegionRestriction,
} from "./region_restriction.ts";

/** Regions as the settings of this host state them. */
export interface RegionSettings {
  /** Region of this host. */
  readonly region?: RegionName | undefined;
  readonly zoneRegions?: ReadonlyMap<ZoneName, RegionName> | undefined;
}

/** Dependencies of {@link RegionPolicy}. */
export interface RegionPolicyServices {
  readonly logger: Logger;
  readonly state: ConfigurationState;
  /** Zone of this host. */
  readonly zone: ZoneName;
  /** @returns The current settings. */
  settings(): RegionSettings;
}

/** Regions that requests are restricted to. */
export class RegionPolicy {
  readonly #services: RegionPolicyServices;
  /** Lists of all routes of the configuration, by host and prefix. */
  #routeLists: ReadonlyMap<string, RegionList | undefined> = new Map();
  /** Lists of all workspaces of the configuration. */
  #workspaceLists: ReadonlyMap<WorkspaceId, RegionList | undefined> = new Map();
  #changeCount = 0;

  /** @param services - Sources of the settings and the configuration. */
  constructor(services: RegionPolicyServices) {
    this.#services = services;
    const { state } = services;
    if (state.current) this.#apply(state.current.configuration);
    state.onDidChange(({ configuration }) => this.#apply(configuration));
  }

  /** Number that grows with each change of the lists. */
  get changeCount(): number {
    return this.#changeCount;
  }

  /** @returns The region of a zone, if it is known. */
  regionOf(zone: ZoneName): RegionName | undefined {
    const { region, zoneRegions } = this.#services.settings();
    const isOwn = zone === this.#services.zone;
    return zoneRegions?.get(zone) ?? (isOwn ? region : undefined);
  }

  /**
   * @param admitted - Route at the admission of a request. Its list stays in
   * effect if the configuration no longer has the route.
   * @param holder - Holder of the key at the admission, for which the same
   * applies; `undefined` on a route without keys.
   * @returns The lists that apply now; `undefined` if none does.
   */
  restrictionOf(
    admitted: GatewayRoute,
    holder: KeyHolder | undefined,
  ): RegionRestriction | undefined {
    const key = routeKey(admitted);
    const route = this.#routeLists.has(key)
      ? this.#routeLists.get(key)
      : admitted.allowedRegions;
    const workspace = holder && this.#workspaceLists.has(holder.workspace)
      ? this.#workspaceLists.get(holder.workspace)
      : holder?.allowedRegions;
    return route || workspace ? { route, workspace } : undefined;
  }

  /**
   * Returns whether the body of a request may be sent to a peer: the lists allow
   * its region, or it is the region of this host.
   *
   * @param zone - Zone of the peer.
   * @param restriction - Lists that apply to the request.
   */
  mayPassTo(
    zone: ZoneName,
    restriction: RegionRestriction | undefined,
  ): boolean {
    if (!restriction || zone === this.#services.zone) return true;
    const region = this.regionOf(zone);
    if (region !== undefined && region === this.#ownRegion) return true;
    return regionBound(restriction, region) === undefined;
  }

  get #ownRegion(): RegionName | undefined {
    const { settings, zone } = this.#services;
    return settings().region ?? this.regionOf(zone);
  }

  #apply(configuration: GatewayConfiguration): void {
    this.#changeCount++;
    const { keys, routes } = configuration;
    // Of two routes with the same host and prefix, requests take the first.
    this.#routeLists = new Map(
      [...routes].reverse().map((route) => [
        routeKey(route),
        route.allowedRegions,
      ]),
    );
    this.#workspaceLists = new Map(
      [...keys?.values() ?? []].map(({ allowedRegions, workspace }) => [
        workspace,
        allowedRegions,
      ]),
    );
    this.#warnOfUnknown(configuration.version);
  }

  #warnOfUnknown(version: number): void {
    const { logger, settings } = this.#services;
    const known = new Set([
      ...settings().zoneRegions?.values() ?? [],
      this.#ownRegion,
    ]);
    const unknown = new Set<RegionName>();
    const lists = [
      ...this.#routeLists.values(),
      ...this.#workspaceLists.values(),
    ];
    for (const region of lists.flatMap((list) => [...list ?? []])) {
      if (!known.has(region)) unknown.add(region);
    }
    if (unknown.size === 0) return;
    logger.log("warn", "region-unknown", {
      version,
      regions: [...unknown].join(),
    });
  }
}

function routeKey({ host, prefix }: GatewayRoute): string {
  return `${host.toLowerCase()} ${prefix}`;
}
