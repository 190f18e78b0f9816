/** Regions to which a route and a workspace restrict a request. */

import type { RegionName } from "../../../../base/common/ids.ts";

/** Names of allowed regions; never empty. */
export type RegionList = ReadonlySet<RegionName>;

/** The list, or lists, that do not contain a region. */
export type RegionBound = "route" | "workspace" | "both";

/** Lists that apply to a request. A region has to be on each of them. */
export interface RegionRestriction {
  readonly route: RegionList | undefined;
  readonly workspace: RegionList | undefined;
}

/**
 * @param restriction - Lists that apply to a request.
 * @param region - A region; `undefined` if it is not known, which no list
 * allows.
 * @returns The lists that do not allow the region; `undefined` if all do.
 */
export function regionBound(
  { route, workspace }: RegionRestriction,
  region: RegionName | undefined,
): RegionBound | undefined {
  const isAllowed = (list: RegionList | undefined): boolean =>
    list === undefined || (region !== undefined && list.has(region));
  if (isAllowed(route)) return isAllowed(workspace) ? undefined : "workspace";
  return isAllowed(workspace) ? "route" : "both";
}

/** @returns The bound that two bounds make together. */
export function joinBounds(left: RegionBound, right: RegionBound): RegionBound {
  return left === right ? left : "both";
}
