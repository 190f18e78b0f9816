/** Matches requests to routes and selects the target service of a route. */

import type { ServiceId } from "../../../../base/common/ids.ts";
import type { GatewayRoute } from "./gateway_configuration.ts";

/** Routes by host name, longest prefix first. */
export class RouteTable {
  readonly #byHost = new Map<string, GatewayRoute[]>();

  /** @param routes - All routes of a configuration. */
  constructor(routes: readonly GatewayRoute[]) {
    for (const route of routes) {
      const sameHostRoutes = this.#byHost.get(route.host.toLowerCase());
      if (sameHostRoutes) sameHostRoutes.push(route);
      else this.#byHost.set(route.host.toLowerCase(), [route]);
    }
    for (const list of this.#byHost.values()) {
      list.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /**
   * Finds the route of a request.
   *
   * @param host - Host name of the request, with or without a port.
   * @param target - Request path with its query.
   * @returns The route with the longest matching prefix.
   */
  find(host: string, target: string): GatewayRoute | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    return this.#byHost.get(name)?.find(({ prefix }) =>
      path.startsWith(prefix)
    );
  }
}

/**
 * Selects a target of a route in proportion to the weights.
 *
 * @param route - The route of the request.
 * @param fraction - A number in `[0, 1)`, the same for all attempts of the
 * request.
 * @returns The service that the request goes to.
 */
export function selectTarget(route: GatewayRoute, fraction: number): ServiceId {
  const { targets } = route;
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = fraction * totalWeight;
  for (const { service, weight } of targets) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return targets[targets.length - 1]!.service;
}
