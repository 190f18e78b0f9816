/** The HTTP server for callers. */

import fastify, { type FastifyInstance } from "fastify";
import type { DaemonSettings } from "../../platform/settings/common/daemon_settings.ts";
import { addCallRoutes } from "./call_routes.ts";
import {
  addGenerationRoutes,
  type FrontServices,
} from "./generation_routes.ts";
import { refuse, sendProblem } from "./problem_reply.ts";

const MAX_PATH_PARAMETER_CHARACTERS = 1_024;
const HTTP_SERVICE_UNAVAILABLE = 503;
const NOT_READY_RETRY_MS = 1_000;

/**
 * Creates the server; it does not listen yet.
 *
 * @param services - What the routes work with.
 * @param limits - Limits on requests.
 */
export function createCallerFront(
  services: FrontServices,
  limits: DaemonSettings["limits"],
): FastifyInstance {
  const server = fastify({
    bodyLimit: limits.maxBodyBytes,
    requestTimeout: limits.requestReadMs,
    routerOptions: { maxParamLength: MAX_PATH_PARAMETER_CHARACTERS },
    http: { maxHeaderSize: limits.maxHeaderBytes },
    exposeHeadRoutes: false,
  });
  server.server.maxHeadersCount = limits.maxHeaderCount;
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    "*",
    { parseAs: "buffer" },
    (_request, body, done) => {
      done(null, body);
    },
  );
  addReadiness(server, services);
  addErrorReplies(server);
  addGenerationRoutes(server, services);
  addCallRoutes(server, services);
  return server;
}

/** Paths of generations that run or have run. */
const GENERATIONS_PATH = "/v1/generations/";

/** A host that is not ready refuses, and tells the balancer by `/readyz`. */
function addReadiness(server: FastifyInstance, { core }: FrontServices): void {
  server.get("/healthz", () => ({ status: "alive" }));
  server.get("/readyz", (_request, reply) => {
    if (!core.isReady) void reply.code(HTTP_SERVICE_UNAVAILABLE);
    return { status: core.isReady ? "ready" : "not ready" };
  });
  server.addHook("onRequest", (request, reply, done) => {
    const isHealthCheck = request.url === "/readyz" ||
      request.url === "/healthz";
    if (core.isReady || isHealthCheck) {
      done();
      return;
    }
    sendProblem(reply, {
      ...refuse(
        core.isDraining ? "draining" : "not-ready",
        "this host takes no requests now; send it again",
      ),
      // A generation that is resumed has been run.
      ...(request.url.startsWith(GENERATIONS_PATH)
        ? { outcome: "interrupted" as const }
        : {}),
      isRetryable: true,
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  });
}

function addErrorReplies(server: FastifyInstance): void {
  server.setErrorHandler<{ statusCode?: number } & Error>(
    (error, _request, reply) => {
      const isTooLarge = error.statusCode === 413;
      const reason = isTooLarge ? "too-large" : "bad-request";
      sendProblem(reply, refuse(reason, error.message));
    },
  );
}
