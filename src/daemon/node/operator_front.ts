/** The HTTP server for operators. */

import { createHash, timingSafeEqual } from "node:crypto";
import fastify, { type FastifyInstance } from "fastify";
import {
  asId,
  type EndpointId,
  type ServiceId,
  type TeamName,
} from "../../base/common/ids.ts";
import { serviceIdOf } from "../../features/configuration/common/configuration.ts";
import type { DaemonCore } from "../common/daemon_core.ts";
import { refuse, sendProblem } from "./problem_reply.ts";

/** What the operator port works with. */
export interface OperatorServices {
  readonly core: DaemonCore;
  readonly host: string;
  readonly zone: string;
  readonly operatorKey: string;
  /** Asks the daemon to drain and stop. */
  requestDrain(): void;
}

/**
 * Creates the server; it does not listen yet.
 *
 * @param services - What the routes work with.
 */
export function createOperatorFront(
  services: OperatorServices,
): FastifyInstance {
  const { core, host, zone } = services;
  const server = fastify();
  server.addHook("onRequest", (request, reply, done) => {
    const given = (request.headers.authorization ?? "").replace(
      /^Bearer /i,
      "",
    );
    if (isSameSecret(given, services.operatorKey)) done();
    else sendProblem(reply, refuse("unauthorized", "send the operator key"));
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
  server.post("/drain", () => {
    services.requestDrain();
    return { isDraining: true };
  });
  addEndpointRoutes(server, core);
  return server;
}

/** The operator's word that an endpoint leaves or is used again. */
function addEndpointRoutes(server: FastifyInstance, core: DaemonCore): void {
  const path = "/endpoints/:team/:service/:endpoint";
  server.post<EndpointPath>(`${path}/drain`, ({ params }) => {
    const [service, endpoint] = endpointOf(params);
    core.endpoints.markLeaving(service, endpoint, "operator");
    return { service, endpoint, isLeaving: true };
  });
  server.post<EndpointPath>(`${path}/return`, ({ params }) => {
    const [service, endpoint] = endpointOf(params);
    core.endpoints.markReturned(service, endpoint, "operator");
    return { service, endpoint, isLeaving: false };
  });
}

interface EndpointPath {
  Params: {
    readonly team: string;
    readonly service: string;
    readonly endpoint: string;
  };
}

function endpointOf(
  { team, service, endpoint }: EndpointPath["Params"],
): [ServiceId, EndpointId] {
  const id = serviceIdOf(asId<TeamName>(team), service);
  return [id, asId<EndpointId>(endpoint)];
}

/** Compares hashes, so that neither content nor length shows in the time. */
function isSameSecret(left: string, right: string): boolean {
  const digest = (text: string): Buffer =>
    createHash("sha256").update(text).digest();
  return timingSafeEqual(digest(left), digest(right));
}
