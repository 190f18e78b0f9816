/** Routes, services and keys of the gateway, as one version of the operator. */

import type { ServiceId, WorkspaceId } from "../../../base/common/ids.ts";
import type { CallerLimits } from "../../../services/http/common/caller_exchange.ts";

/** What may be repeated on a route, and what its answers are. */
export type RouteKind =
  /** A call that may run more than once. */
  | { readonly kind: "idempotent" }
  /** A call that runs at most once. */
  | { readonly kind: "non-idempotent" }
  /** A generation; `isResumable` allows another run to go on after an event. */
  | { readonly kind: "generation"; readonly isResumable: boolean };

/** A service and its part of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A rule that sends requests to services. */
export interface GatewayRoute {
  readonly name: string;
  /** Host name of the requests. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number;
  /** Time within which an answer, or its first event, is wanted. */
  readonly objectiveMs: number;
  /** Longest pause between events that is wanted. */
  readonly eventGapObjectiveMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** What the operator says of a service's engines. */
export interface EngineCapabilities {
  /** Requests that run at one time. */
  readonly slots: number;
  /** Memory for prompts and answers, in tokens. */
  readonly memoryTokens: number;
  /** Tokens that an event of a stream holds. */
  readonly tokensPerEvent: number;
  /** Whether a running generation can be copied to another engine. */
  readonly canMigrate: boolean;
  /** Whether an engine can keep a copy of a generation elsewhere as it grows. */
  readonly canBackUp: boolean;
}

/** A service that routes lead to. */
export interface GatewayService {
  readonly id: ServiceId;
  /** Connections that one endpoint accepts from all daemons together. */
  readonly maxConnections: number;
  /** Left out for plain services. */
  readonly engine: EngineCapabilities | undefined;
}

/** Who holds a key. */
export interface KeyHolder {
  readonly workspace: WorkspaceId;
  /** Rank that goes before the route's, if the workspace has one. */
  readonly priority: number | undefined;
}

/** One version of the operator's configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: ReadonlyMap<ServiceId, GatewayService>;
  readonly limits: CallerLimits;
  /** Left out where requests carry no keys. */
  readonly keys: ReadonlyMap<string, KeyHolder> | undefined;
}
