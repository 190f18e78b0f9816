/** HTTP routes of plain calls. */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { type Either, Left, Right, rightOf } from "../../base/common/result.ts";
import type { CallRequest } from "../../features/calls/common/call_service.ts";
import type { ResolvedWorkspace } from "../../features/configuration/common/configuration.ts";
import type { IdempotencyKey } from "../../features/ledger/common/claim_ledger.ts";
import { asId, type RequestId } from "../../base/common/ids.ts";
import type {
  AppResponse,
  HeaderLine,
} from "../../services/endpoints/common/app_client.ts";
import type { RequestFailure } from "../../services/outcomes/common/failure.ts";
import { authenticateCaller } from "./caller_authentication.ts";
import {
  bodyBytes,
  type CallerRouteServices,
  headerValue,
} from "./generation_routes.ts";
import { refusal, REQUEST_ID_HEADER, sendProblem } from "./problem_reply.ts";

const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** Headers that belong to one connection and are not passed on (RFC 9110). */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Answers that have no body, whatever their headers say (RFC 9110). */
const BODYLESS_STATUSES = new Set([204, 304]);

/**
 * Adds the route that takes every path without a route of its own.
 *
 * @param server - The server for callers.
 * @param services - What the routes work with.
 */
export function addCallRoutes(
  server: FastifyInstance,
  services: CallerRouteServices,
): void {
  server.all("/*", async (request, reply) => {
    const abort = new AbortController();
    reply.raw.on("close", () => {
      if (!reply.raw.writableFinished) abort.abort();
    });
    const callResult = authenticateCaller(request, services.core.configuration)
      .chain((workspace) =>
        toCallRequest(services, workspace, request, abort.signal)
      );
    const call = rightOf(callResult);
    if (!call) {
      callResult.ifLeft((failure) => sendProblem(reply, failure));
      return reply;
    }
    const result = await services.core.calls.run(call);
    result.caseOf({
      Left: (failure) => sendProblem(reply, failure),
      Right: (response) => sendResponse(reply, response),
    });
    return reply;
  });
}

function toCallRequest(
  { core }: CallerRouteServices,
  workspace: ResolvedWorkspace,
  request: FastifyRequest,
  signal: AbortSignal,
): Either<RequestFailure, CallRequest> {
  const path = request.raw.url ?? "/";
  const { configuration } = core;
  const route = configuration.findCallRoute(workspace.team, path);
  if (!route) return Left(refusal("not-found", "no route has this path"));
  const { classes } = route.route;
  const requestedClass = headerValue(request, "x-ragwort-class");
  const resolvedClass = configuration.resolveClass(
    workspace.team,
    classes,
    requestedClass,
  );
  if (!resolvedClass) {
    return Left(
      refusal(
        "bad-request",
        `x-ragwort-class must be one of ${classes.join(", ")}`,
      ),
    );
  }
  const key = headerValue(request, "idempotency-key");
  if (
    key !== undefined && (key === "" || key.length > MAX_IDEMPOTENCY_KEY_LENGTH)
  ) {
    return Left(
      refusal(
        "bad-request",
        `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
      ),
    );
  }
  return Right({
    requestId: asId<RequestId>(request.id),
    workspace: workspace.id,
    route,
    class: resolvedClass,
    method: request.method,
    path,
    headers: endToEndHeaders(toHeaderLines(request.raw.rawHeaders)),
    body: bodyBytes(request),
    idempotencyKey: key === undefined ? undefined : asId<IdempotencyKey>(key),
    signal,
  });
}

function sendResponse(reply: FastifyReply, response: AppResponse): void {
  reply.hijack();
  const { raw } = reply;
  const isBodyless = BODYLESS_STATUSES.has(response.status) ||
    raw.req.method === "HEAD";
  const headers = endToEndHeaders(response.headers)
    .filter(({ name }) => isBodyless || !isContentLength(name))
    .flatMap(({ name, value }) => [name, value]);
  if (!isBodyless) {
    headers.push("Content-Length", String(response.body.byteLength));
  }
  const hasRequestId = response.headers.some(({ name }) =>
    name.toLowerCase() === REQUEST_ID_HEADER
  );
  if (!hasRequestId) headers.push(REQUEST_ID_HEADER, reply.request.id);
  raw.sendDate = false;
  raw.writeHead(response.status, headers);
  raw.end(isBodyless ? undefined : response.body);
}

function isContentLength(name: string): boolean {
  return name.toLowerCase() === "content-length";
}

function toHeaderLines(raw: readonly string[]): HeaderLine[] {
  const lines: HeaderLine[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines.push({ name: raw[index]!, value: raw[index + 1]! });
  }
  return lines;
}

/** Leaves out what belongs to a connection, as its `Connection` header names. */
function endToEndHeaders(lines: readonly HeaderLine[]): HeaderLine[] {
  const connectionHeaders = lines
    .filter(({ name }) => name.toLowerCase() === "connection")
    .flatMap(({ value }) =>
      value.toLowerCase().split(",").map((part) => part.trim())
    );
  return lines.filter(({ name }) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(lower) && !connectionHeaders.includes(lower);
  });
}
