/**
 * HTTP server for operators, protected by the operator key: status, metrics,
 * recorded decisions, quarantine and drain.
 */

import { createHash, timingSafeEqual } from "node:crypto";
import fastify, { type FastifyInstance } from "fastify";
import {
  asId,
  type EndpointId,
  type RequestId,
  type ServiceId,
  type TeamName,
} from "../../base/common/ids.ts";
import { toServiceId } from "../../features/configuration/common/configuration.ts";
import type {
  DaemonMetricsSnapshot,
  SeriesSnapshot,
} from "../../services/metrics/common/metrics_snapshot.ts";
import { formatPrometheus } from "../../services/metrics/node/prometheus_text.ts";
import type { DaemonCore } from "../common/daemon_core.ts";
import { refusal, sendProblem } from "./problem_reply.ts";
import { startRequestsOutsideParser } from "./request_start.ts";

const PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

interface ExplainParams {
  readonly id: string;
}

interface FingerprintParams {
  readonly fingerprint: string;
}

interface MetricsQuery {
  readonly service?: string;
  readonly workspace?: string;
  readonly class?: string;
}

/** A request that is rejected because it is suspected of crashing endpoints. */
export interface QuarantinedRequestInfo {
  readonly fingerprint: string;
  readonly workspace: string;
  readonly untilMs: number;
  readonly endpoints: readonly string[];
}

/** Operator access to the quarantined requests. */
export interface QuarantineAdmin {
  list(): readonly QuarantinedRequestInfo[];
  /** @returns Whether a request with this fingerprint was quarantined. */
  release(fingerprint: string): boolean;
}

/** Dependencies of the operator server. */
export interface OperatorServerServices {
  readonly core: DaemonCore;
  readonly host: string;
  readonly zone: string;
  readonly operatorKey: string;
  /** @returns All metrics recorded since the start of the daemon. */
  readMetrics(): DaemonMetricsSnapshot;
  /** Omitted if the daemon has no quarantine. */
  readonly quarantine?: QuarantineAdmin;
  /** Starts draining the daemon, which stops afterwards. */
  requestDrain(): void;
}

/**
 * Creates the server without starting it.
 *
 * @param services - Dependencies of the routes.
 */
export function createOperatorServer(
  services: OperatorServerServices,
): FastifyInstance {
  const { core, host, zone } = services;
  const server = fastify();
  startRequestsOutsideParser(server);
  server.addHook("onRequest", (request, reply, done) => {
    const receivedKey = (request.headers.authorization ?? "").replace(
      /^Bearer /i,
      "",
    );
    if (areSecretsEqual(receivedKey, services.operatorKey)) done();
    else sendProblem(reply, refusal("unauthorized", "invalid operator key"));
  });
  server.get("/status", () => ({
    host,
    zone,
    isReady: core.isReady,
    isDraining: core.isDraining,
    active: core.activeCount,
    teams: core.configuration.revisions().map((
      { team, revision, document },
    ) => ({
      team,
      revision,
      isDeleted: document === undefined,
    })),
  }));
  addMetricsRoutes(server, services);
  if (services.quarantine) {
    addQuarantineRoutes(server, host, services.quarantine);
  }
  server.get<{ Params: ExplainParams }>("/explain/:id", (request, reply) => {
    const { id } = request.params;
    const decisions = core.decisions.find(asId<RequestId>(id));
    if (decisions) return { host, requestId: id, decisions };
    sendProblem(
      reply,
      refusal("not-found", "no decision is recorded for this ID"),
    );
    return reply;
  });
  server.get("/orders", () => ({
    host,
    zone,
    isHolder: core.rollouts.isLeaseHolder,
    rollouts: core.rollouts.listRolloutStatuses(),
  }));
  server.post("/drain", () => {
    services.requestDrain();
    return { isDraining: true };
  });
  addEndpointRoutes(server, core);
  return server;
}

function addMetricsRoutes(
  server: FastifyInstance,
  services: OperatorServerServices,
): void {
  server.get<{ Querystring: MetricsQuery }>("/figures", (request) => {
    const figures = services.readMetrics();
    const series = figures.series.filter((candidate) =>
      matchesQuery(candidate, request.query)
    );
    return { ...figures, series };
  });
  server.get("/metrics", async (_request, reply) => {
    const text = await formatPrometheus(services.readMetrics());
    return reply.type(PROMETHEUS_CONTENT_TYPE).send(text);
  });
}

function addQuarantineRoutes(
  server: FastifyInstance,
  host: string,
  quarantine: QuarantineAdmin,
): void {
  server.get("/quarantine", () => ({ host, requests: quarantine.list() }));
  server.post<{ Params: FingerprintParams }>(
    "/quarantine/:fingerprint/release",
    (request, reply) => {
      const { fingerprint } = request.params;
      if (quarantine.release(fingerprint)) return { host, fingerprint };
      sendProblem(
        reply,
        refusal("not-found", "no request with this fingerprint is quarantined"),
      );
      return reply;
    },
  );
}

function matchesQuery(series: SeriesSnapshot, query: MetricsQuery): boolean {
  return (query.service ?? series.service) === series.service &&
    (query.workspace ?? series.workspace) === series.workspace &&
    (query.class ?? series.className) === series.className;
}

/** Adds the routes that drain an endpoint and that return it to service. */
function addEndpointRoutes(server: FastifyInstance, core: DaemonCore): void {
  const path = "/endpoints/:team/:service/:endpoint";
  server.post<EndpointRoute>(`${path}/drain`, ({ params }) => {
    const [service, endpoint] = toEndpointIds(params);
    core.endpoints.markDraining(service, endpoint, "operator");
    return { service, endpoint, isLeaving: true };
  });
  server.post<EndpointRoute>(`${path}/return`, ({ params }) => {
    const [service, endpoint] = toEndpointIds(params);
    core.endpoints.markAvailable(service, endpoint, "operator");
    return { service, endpoint, isLeaving: false };
  });
}

interface EndpointRoute {
  Params: {
    readonly team: string;
    readonly service: string;
    readonly endpoint: string;
  };
}

function toEndpointIds(
  { team, service, endpoint }: EndpointRoute["Params"],
): [ServiceId, EndpointId] {
  const id = toServiceId(asId<TeamName>(team), service);
  return [id, asId<EndpointId>(endpoint)];
}

/**
 * Compares the hashes of both secrets in constant time, so that the timing
 * reveals neither their content nor their length.
 */
function areSecretsEqual(left: string, right: string): boolean {
  const digest = (text: string): Buffer =>
    createHash("sha256").update(text).digest();
  return timingSafeEqual(digest(left), digest(right));
}
