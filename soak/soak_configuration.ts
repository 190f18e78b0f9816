/** The configuration that the operator of a soak writes. */

/**
 * @param version - Version of the configuration.
 * @param tenants - The workspaces with their API keys.
 * @param extraRouteCount - Number of routes that no caller uses.
 * @returns The document that the operator writes.
 */
export function createConfiguration(
  version: number,
  tenants: unknown,
  extraRouteCount: number,
): unknown {
  const route = {
    "host": "app.example",
    "timeout-ms": 4_000,
    "slo-ms": 300,
    "priority": 1,
    "max-attempts": 2,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "book",
        prefix: "/book/",
        kind: "non_idempotent",
        service: "app",
      },
      {
        ...route,
        name: "read",
        prefix: "/read/",
        kind: "idempotent",
        service: "app",
      },
      {
        ...route,
        name: "solo",
        prefix: "/solo/x",
        kind: "non_idempotent",
        service: "solo",
      },
      {
        ...route,
        "name": "draft",
        "prefix": "/stream/",
        "kind": "stream",
        "service": "llm",
        "timeout-ms": 15_000,
        "max-attempts": 1,
      },
      {
        ...route,
        "name": "solo-draft",
        "prefix": "/solo/stream/",
        "kind": "stream",
        "service": "solo",
        "max-attempts": 1,
      },
      {
        ...route,
        "name": "check",
        "prefix": "/again/stream/",
        "kind": "stream",
        "service": "llm",
        "timeout-ms": 6_000,
        "resumable": true,
      },
      ...Array.from({ length: extraRouteCount }, (_, index) => ({
        ...route,
        name: `extra-${index}`,
        prefix: `/extra-${index}/`,
        kind: "idempotent",
        service: "app",
      })),
    ],
    services: [
      { "name": "app", "max-conns": 100 },
      { "name": "solo", "max-conns": 100 },
      {
        "name": "llm",
        "max-conns": 100,
        "engine": {
          "slots": 8,
          "kv-cap-tokens": 30_000,
          "stride": 4,
          "moves": true,
          "backups": true,
        },
      },
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 1_000_000,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
    tenants,
  };
}
