/**
 * HTTP server for callers: enforces the limits on requests, reports readiness
 * and registers the routes of generations and calls.
 */

import type { Server } from "node:http";
import type { Server as TlsServer } from "node:tls";
import fastify, { type FastifyInstance } from "fastify";
import type { DaemonSettings } from "../../services/settings/common/daemon_settings.ts";
import type { TlsCredentials } from "../../services/tls/node/tls_credentials.ts";
import { addCallRoutes } from "./call_routes.ts";
import {
  addGenerationRoutes,
  type CallerRouteServices,
} from "./generation_routes.ts";
import { MalformedRequestHandler } from "./malformed_request.ts";
import { refusal, REQUEST_ID_HEADER, sendProblem } from "./problem_reply.ts";
import { startRequestsOutsideParser } from "./request_start.ts";

const MAX_PATH_PARAMETER_LENGTH = 1_024;
const HTTP_SERVICE_UNAVAILABLE = 503;
const NOT_READY_RETRY_AFTER_MS = 1_000;
/**
 * Interval at which the server checks for requests that are read too slowly.
 */
const SLOW_REQUEST_CHECK_INTERVAL_MS = 500;
/** Methods for which Fastify discards the body by default. */
const METHODS_WITH_OPTIONAL_BODY = ["GET", "HEAD", "TRACE"];

/**
 * Creates the server without starting it.
 *
 * @param services - Dependencies of the routes.
 * @param limits - Limits on requests.
 * @param tls - Certificate of the server; TLS is not used if omitted.
 */
export function createCallerServer(
  services: CallerRouteServices,
  limits: DaemonSettings["limits"],
  tls?: TlsCredentials,
): FastifyInstance {
  const malformedRequests = new MalformedRequestHandler();
  const server = fastify({
    bodyLimit: limits.maxBodyBytes,
    requestTimeout: limits.requestReadMs,
    routerOptions: { maxParamLength: MAX_PATH_PARAMETER_LENGTH },
    ...toServerOptions(limits, tls),
    exposeHeadRoutes: false,
    genReqId: () => services.createRequestId(),
    clientErrorHandler: (error, socket) =>
      malformedRequests.handleError(error, socket),
    frameworkErrors: (error, _request, reply) => {
      sendProblem(reply, refusal("bad-request", error.message));
    },
  });
  startRequestsOutsideParser(server);
  addRequestIdHeader(server);
  for (const method of METHODS_WITH_OPTIONAL_BODY) {
    server.addHttpMethod(method, { hasBody: true, overrideExisting: true });
  }
  malformedRequests.trackResponses(server.server);
  tls?.follow(server.server as unknown as TlsServer);
  limitHeaderCount(server, limits.maxHeaderCount);
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    "*",
    { parseAs: "buffer" },
    (_request, body, done) => {
      done(null, body);
    },
  );
  addHealthRoutes(server, services);
  setErrorHandler(server);
  addGenerationRoutes(server, services);
  addCallRoutes(server, services);
  return server;
}

/** Returns the options under `http` or `https`, depending on the protocol. */
function toServerOptions(
  limits: DaemonSettings["limits"],
  tls: TlsCredentials | undefined,
): { readonly http: object } {
  const options = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.requestReadMs,
    connectionsCheckingInterval: SLOW_REQUEST_CHECK_INTERVAL_MS,
  };
  if (!tls) return { http: options };
  const https = {
    ...options,
    ...tls.serverOptions(),
    handshakeTimeout: limits.requestReadMs,
  };
  return { https } as unknown as { readonly http: object };
}

/**
 * Rejects requests with too many header lines. Node.js silently drops the lines
 * above `maxHeadersCount`, so one more than allowed is read to detect them.
 */
function limitHeaderCount(server: FastifyInstance, maxCount: number): void {
  const httpServer: Server = server.server;
  httpServer.maxHeadersCount = maxCount + 1;
  server.addHook("onRequest", (request, reply, done) => {
    const count = request.raw.rawHeaders.length / 2;
    if (count <= maxCount) {
      done();
      return;
    }
    const detail = `the request has more than ${maxCount} header lines`;
    sendProblem(reply, refusal("too-large", detail));
  });
}

/**
 * Adds the request ID to every response; operators use it to look up the
 * decisions about the request. Responses that bypass Fastify set the header
 * themselves.
 */
function addRequestIdHeader(server: FastifyInstance): void {
  server.addHook("onRequest", (request, reply, done) => {
    void reply.header(REQUEST_ID_HEADER, request.id);
    done();
  });
}
/** Path prefix of generations that were started before. */
const GENERATIONS_PATH = "/v1/generations/";

/**
 * Adds the health check routes, and rejects all other requests while the daemon
 * is not ready. Load balancers read the readiness from `/readyz`.
 */
function addHealthRoutes(
  server: FastifyInstance,
  { core }: CallerRouteServices,
): void {
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
      ...refusal(
        core.isDraining ? "draining" : "not-ready",
        "this host is not accepting requests; retry the request",
      ),
      // A generation that is being resumed has already been run.
      ...(request.url.startsWith(GENERATIONS_PATH)
        ? { outcome: "interrupted" as const }
        : {}),
      isRetryable: true,
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
    });
  });
}

function setErrorHandler(server: FastifyInstance): void {
  server.setErrorHandler<{ statusCode?: number } & Error>(
    (error, _request, reply) => {
      const isTooLarge = error.statusCode === 413;
      const reason = isTooLarge ? "too-large" : "bad-request";
      sendProblem(reply, refusal(reason, error.message));
    },
  );
}
