/** The HTTP server for callers. */

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

const MAX_PATH_PARAMETER_LENGTH = 1_024;
const HTTP_SERVICE_UNAVAILABLE = 503;
const NOT_READY_RETRY_AFTER_MS = 1_000;
/** How often the server looks for requests that are too slow. */
const SLOW_REQUEST_CHECK_INTERVAL_MS = 500;
/** Methods whose bodies the library drops unless told otherwise. */
const METHODS_WITH_OPTIONAL_BODY = ["GET", "HEAD", "TRACE"];

/**
 * Creates the server; it does not listen yet.
 *
 * @param services - What the routes work with.
 * @param limits - Limits on requests.
 * @param tls - Certificate of the server; without one it uses no TLS.
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

/** The library has one option for either protocol. */
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

/** One line more than allowed is read, because the server drops the rest. */
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
 * Every answer names its request, by which an operator can have it explained.
 * Answers that are written past the framework set the header by themselves.
 */
function addRequestIdHeader(server: FastifyInstance): void {
  server.addHook("onRequest", (request, reply, done) => {
    void reply.header(REQUEST_ID_HEADER, request.id);
    done();
  });
}
/** Paths of generations that run or have run. */
const GENERATIONS_PATH = "/v1/generations/";

/** A host that is not ready refuses, and tells the balancer by `/readyz`. */
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
        "this host takes no requests now; send it again",
      ),
      // A generation that is resumed has been run.
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
