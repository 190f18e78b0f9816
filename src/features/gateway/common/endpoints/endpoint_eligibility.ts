/**
 * Decides which endpoints may serve a request now. All choices of endpoints use
 * this check, so that a rule of the operator applies to first sends, retries,
 * placements, migrations, backups, continuations and relayed requests alike.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import type {
  EndpointId,
  RegionName,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import {
  joinBounds,
  type RegionBound,
  regionBound,
  type RegionRestriction,
} from "../configuration/region_restriction.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "./endpoint_registry.ts";

/** Requirements of a request that decide which endpoints are eligible. */
export interface EligibilityCriteria {
  readonly service: ServiceId;
  readonly excluded: ReadonlySet<EndpointId>;
  /** Software version that the endpoint must have; any if absent. */
  readonly softwareVersion?: string | undefined;
  /**
   * Whether the request is another host's, which has excluded what it must not
   * use now.
   */
  readonly ignoresHolds?: boolean;
  /** Regions to which the request is restricted; any if absent. */
  readonly regions?: RegionRestriction | undefined;
}

/** A rule of the operator that forbids an endpoint. */
export type RuleIneligibility =
  | { readonly kind: "other-region"; readonly boundBy: RegionBound }
  | { readonly kind: "evacuated"; readonly zone: ZoneName };

/** Why an endpoint may not serve a request now. */
export type Ineligibility =
  /** The endpoint drains or was removed. */
  | { readonly kind: "retired" }
  /** Neither this host nor a peer reaches the endpoint. */
  | { readonly kind: "unreachable" }
  /** The endpoint has failed this request. */
  | { readonly kind: "excluded" }
  | { readonly kind: "other-version" }
  | RuleIneligibility
  /** The endpoint wants no requests from this host until a monotonic time. */
  | { readonly kind: "held"; readonly untilMs: number }
  /** The rights to send to it are used up until a monotonic time. */
  | { readonly kind: "rate-limited"; readonly untilMs: number };

/** Rules of the operator that do not depend on the request. */
export interface EligibilityRules {
  /** @returns Whether nothing new may be sent to the endpoints of a zone. */
  isEvacuated(zone: ZoneName): boolean;
  /** @returns The region of a zone, if it is known. */
  regionOf(zone: ZoneName): RegionName | undefined;
}

/** Rules of a deployment without regions and evacuations. */
const NO_RULES: EligibilityRules = {
  isEvacuated: () => false,
  regionOf: () => undefined,
};

/** Checks endpoints against the requirements of requests. */
export class EndpointEligibility {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #rules: EligibilityRules;

  /**
   * @param clock - Clock for holds and limits.
   * @param registry - The registered endpoints.
   * @param rules - Rules of the operator; none by default.
   */
  constructor(
    clock: Clock,
    registry: EndpointRegistry,
    rules: EligibilityRules = NO_RULES,
  ) {
    this.#clock = clock;
    this.#registry = registry;
    this.#rules = rules;
  }

  /**
   * Checks whether an endpoint may serve a request now.
   *
   * @param endpoint - An endpoint of the service of the request.
   * @param criteria - Requirements of the request.
   * @returns The first reason against it; `undefined` if it is eligible.
   */
  check(
    endpoint: RegisteredEndpoint,
    criteria: EligibilityCriteria,
  ): Ineligibility | undefined {
    if (!endpoint.isUsable) return { kind: "retired" };
    if (criteria.excluded.has(endpoint.id)) return { kind: "excluded" };
    if (isOtherVersion(endpoint, criteria)) return { kind: "other-version" };
    const forbidden = this.checkRules(endpoint, criteria.regions);
    if (forbidden) return forbidden;
    if (!this.#registry.isReachable(endpoint)) return { kind: "unreachable" };
    return criteria.ignoresHolds ? undefined : this.#checkHolds(endpoint);
  }

  /**
   * Checks only the rules of the operator, which also apply to an endpoint that
   * was chosen earlier.
   *
   * @param endpoint - An endpoint.
   * @param regions - Regions to which the request is restricted.
   * @returns The rule that forbids the endpoint, if one does.
   */
  checkRules(
    { announcement }: RegisteredEndpoint,
    regions: RegionRestriction | undefined,
  ): RuleIneligibility | undefined {
    const { zone } = announcement;
    const boundBy = regions && regionBound(regions, this.#rules.regionOf(zone));
    if (boundBy) return { kind: "other-region", boundBy };
    return this.#rules.isEvacuated(zone)
      ? { kind: "evacuated", zone }
      : undefined;
  }

  /** @returns The endpoints that may serve a request now. */
  eligible(criteria: EligibilityCriteria): RegisteredEndpoint[] {
    return this.#registry.usable(criteria.service).filter((endpoint) =>
      this.check(endpoint, criteria) === undefined
    );
  }

  /**
   * @returns The monotonic time in milliseconds from which one of the endpoints
   * may serve a request that none may serve now because of holds and limits;
   * `undefined` if that is not the reason.
   */
  withheldUntilMs(criteria: EligibilityCriteria): number | undefined {
    let earliestMs = Infinity;
    for (const endpoint of this.#registry.usable(criteria.service)) {
      switch (this.check(endpoint, criteria)?.kind) {
        case undefined:
          return undefined;
        case "held":
        case "rate-limited":
          earliestMs = Math.min(earliestMs, endpoint.withheldUntilMs);
          break;
        case "retired":
        case "unreachable":
        case "excluded":
        case "other-version":
        case "other-region":
        case "evacuated":
      }
    }
    return Number.isFinite(earliestMs) ? earliestMs : undefined;
  }

  /**
   * Returns the rules of the operator that leave no endpoint for a request, as
   * opposed to endpoints that are full, lost or not there.
   *
   * @param criteria - Requirements of the request.
   * @returns The rules; `undefined` if they allow an endpoint, or if there is
   * none without them either.
   */
  blockingRules(criteria: EligibilityCriteria): AppliedRules | undefined {
    const isAllowed = this.#registry.usable(criteria.service).some((endpoint) =>
      !isOtherVersion(endpoint, criteria) &&
      this.checkRules(endpoint, criteria.regions) === undefined
    );
    return isAllowed ? undefined : this.appliedRules(criteria);
  }

  /**
   * @param criteria - Requirements of the request.
   * @returns The rules of the operator that forbid some of the endpoints;
   * `undefined` if none does.
   */
  appliedRules(criteria: EligibilityCriteria): AppliedRules | undefined {
    let boundBy: RegionBound | undefined;
    const evacuatedZones = new Set<ZoneName>();
    for (const endpoint of this.#registry.usable(criteria.service)) {
      if (isOtherVersion(endpoint, criteria)) continue;
      const rule = this.checkRules(endpoint, criteria.regions);
      switch (rule?.kind) {
        case undefined:
          break;
        case "other-region":
          boundBy = boundBy ? joinBounds(boundBy, rule.boundBy) : rule.boundBy;
          break;
        case "evacuated":
          evacuatedZones.add(rule.zone);
      }
    }
    if (!boundBy && evacuatedZones.size === 0) return undefined;
    return { boundBy, evacuatedZones };
  }

  /**
   * Counts the endpoints of a service by the reason why they may not serve a
   * request now. Reads all endpoints and is meant for refusals only.
   *
   * @param criteria - Requirements of the request.
   * @returns Counts by reason; those of eligible endpoints under `eligible`.
   */
  explain(criteria: EligibilityCriteria): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const endpoint of this.#registry.all) {
      if (endpoint.announcement.service !== criteria.service) continue;
      const reason = this.check(endpoint, criteria)?.kind ?? "eligible";
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
    }
    return counts;
  }

  #checkHolds(endpoint: RegisteredEndpoint): Ineligibility | undefined {
    const nowMs = this.#clock.monotonicMs();
    const { heldUntilMs, limitedUntilMs } = endpoint;
    if (nowMs < heldUntilMs) return { kind: "held", untilMs: heldUntilMs };
    return nowMs < limitedUntilMs
      ? { kind: "rate-limited", untilMs: limitedUntilMs }
      : undefined;
  }
}

/** Rules of the operator that forbid endpoints to a request. */
export interface AppliedRules {
  /** Lists that exclude regions of the endpoints, if some do. */
  readonly boundBy: RegionBound | undefined;
  /** Evacuated zones in regions that are allowed. */
  readonly evacuatedZones: ReadonlySet<ZoneName>;
}

function isOtherVersion(
  endpoint: RegisteredEndpoint,
  { softwareVersion }: EligibilityCriteria,
): boolean {
  return softwareVersion !== undefined &&
    endpoint.softwareVersion !== softwareVersion;
}
