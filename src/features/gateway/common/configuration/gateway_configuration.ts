/**
 * Routes, services, limits and API keys of the gateway. The operator publishes
 * them as one versioned document.
 */

import type { ServiceId, WorkspaceId } from "../../../../base/common/ids.ts";
import type { CallerLimits } from "../../../../services/http/common/caller_exchange.ts";
import type { RegionList } from "./region_restriction.ts";

/** Kind of requests on a route, which decides what may be retried. */
export type RouteKind =
  /** A call that may run more than once. */
  | { readonly kind: "idempotent" }
  /** A call that must run at most once. */
  | { readonly kind: "non-idempotent" }
  /**
   * A generation. With `isResumable`, another run may continue it after a given
   * event.
   */
  | { readonly kind: "generation"; readonly isResumable: boolean };

/** A service and its weight among the targets of a route. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A rule that maps requests to services. */
export interface GatewayRoute {
  readonly name: string;
  /** Host name that requests must have. */
  readonly host: string;
  /** Path prefix, which begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number;
  /**
   * Target time to the response, or to the first event of a generation, in
   * milliseconds.
   */
  readonly objectiveMs: number;
  /** Target for the longest gap between two events, in milliseconds. */
  readonly eventGapObjectiveMs: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Regions in which requests may run; any if absent. */
  readonly allowedRegions?: RegionList | undefined;
}

/**
 * Capacity and features of a service's engines, as configured by the operator.
 */
export interface EngineCapabilities {
  /** Maximum number of requests that run concurrently. */
  readonly slots: number;
  /** KV memory for prompts and outputs, in tokens. */
  readonly memoryTokens: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether a running generation can be copied to another engine. */
  readonly canMigrate: boolean;
  /**
   * Whether the KV state of a generation can be backed up to another engine as
   * it grows.
   */
  readonly canBackUp: boolean;
}

/** What the endpoints of a service bear while they are cold. */
export interface ColdBehavior {
  /** Time for which an endpoint is cold after a start, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second that a cold endpoint bears from all hosts together. */
  readonly requestsPerS: number;
}

/** A service that is a target of routes. */
export interface GatewayService {
  readonly id: ServiceId;
  /** Path of the health checks of its endpoints; unknown if absent. */
  readonly healthPath?: string | undefined;
  /**
   * Maximum number of connections that one endpoint accepts from all daemons
   * together.
   */
  readonly maxConnections: number;
  /** `undefined` for services that do not run generations. */
  readonly engine: EngineCapabilities | undefined;
  /** Absent for services whose cold endpoints have no limit. */
  readonly cold?: ColdBehavior | undefined;
}

/** Workspace that an API key belongs to. */
export interface KeyHolder {
  readonly workspace: WorkspaceId;
  /** Priority that overrides the route's, if the workspace has one. */
  readonly priority: number | undefined;
  /** Regions in which requests of the workspace may run; any if absent. */
  readonly allowedRegions?: RegionList | undefined;
}

/** One version of the gateway configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: ReadonlyMap<ServiceId, GatewayService>;
  readonly limits: CallerLimits;
  /** API keys with their holders; `undefined` where requests carry no keys. */
  readonly keys: ReadonlyMap<string, KeyHolder> | undefined;
}
