/** Configuration of the gateway in the test harness. */

import type {
  RegionName,
  ServiceId,
  WorkspaceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import type {
  GatewayConfiguration,
  GatewayRoute,
  GatewayService,
} from "../../src/features/gateway/common/configuration/gateway_configuration.ts";

export const APP = "app" as ServiceId;
export const ENGINE = "engine" as ServiceId;
export const ZONE = "zone-a" as ZoneName;
export const OTHER_ZONE = "zone-b" as ZoneName;
export const REGION = "eu" as RegionName;
export const OTHER_REGION = "us" as RegionName;
/** Regions of the two zones, of which the host is in the first. */
export const REGION_SETTINGS = {
  region: REGION,
  zoneRegions: new Map([[ZONE, REGION], [OTHER_ZONE, OTHER_REGION]]),
};
export const KEY = "key-1";

const BASE_ROUTE: GatewayRoute = {
  name: "route",
  host: "app.example",
  prefix: "/",
  kind: { kind: "idempotent" },
  timeoutMs: 1_500,
  objectiveMs: 150,
  eventGapObjectiveMs: 180,
  priority: 1,
  targets: [{ service: APP, weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
};

const GENERATION_ROUTE: Partial<GatewayRoute> = {
  targets: [{ service: ENGINE, weight: 1 }],
  timeoutMs: 39_000,
  objectiveMs: 1_800,
};

/**
 * Routes of the harness: idempotent and non-idempotent calls, generations with
 * and without resumption, and a public route.
 */
export const ROUTES: readonly GatewayRoute[] = [
  { ...BASE_ROUTE, name: "read", prefix: "/read/" },
  {
    ...BASE_ROUTE,
    name: "book",
    prefix: "/book/",
    kind: { kind: "non-idempotent" },
    maxAttempts: 1,
  },
  {
    ...BASE_ROUTE,
    ...GENERATION_ROUTE,
    name: "draft",
    prefix: "/draft/",
    kind: { kind: "generation", isResumable: false },
    maxAttempts: 1,
  },
  {
    ...BASE_ROUTE,
    ...GENERATION_ROUTE,
    name: "check",
    prefix: "/check/",
    kind: { kind: "generation", isResumable: true },
  },
  {
    ...BASE_ROUTE,
    ...GENERATION_ROUTE,
    name: "short",
    prefix: "/short/",
    kind: { kind: "generation", isResumable: false },
    timeoutMs: 6_000,
    objectiveMs: 1_500,
    priority: 2,
    maxAttempts: 1,
  },
  { ...BASE_ROUTE, name: "open", prefix: "/open/", isPublic: true },
];

/** @returns The engine service with a given memory per engine. */
export function engineService(memoryTokens = 34_000): GatewayService {
  return {
    id: ENGINE,
    maxConnections: 100,
    engine: {
      slots: 24,
      memoryTokens,
      tokensPerEvent: 4,
      canMigrate: true,
      canBackUp: true,
    },
  };
}

/** @returns A configuration with the routes of the harness. */
export function configuration(
  version: number,
  changes: Partial<GatewayConfiguration> = {},
): GatewayConfiguration {
  return {
    version,
    routes: ROUTES,
    services: new Map([
      [APP, { id: APP, maxConnections: 100, engine: undefined }],
      [ENGINE, engineService()],
    ]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    keys: new Map([
      [KEY, { workspace: "w" as WorkspaceId, priority: undefined }],
    ]),
    ...changes,
  };
}
