/** HTTP routes of generations. */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { Clock } from "../../base/common/clock.ts";
import { asId, type RequestId } from "../../base/common/ids.ts";
import { type Either, Left, Right, rightOf } from "../../base/common/result.ts";
import type { ResolvedWorkspace } from "../../features/configuration/common/configuration.ts";
import type {
  GenerationRequest,
  ResumeRequest,
} from "../../features/generations/common/generation_service.ts";
import type { RequestFailure } from "../../services/outcomes/common/failure.ts";
import type { DaemonCore } from "../common/daemon_core.ts";
import {
  type CompletionKind,
  type CompletionRequest,
  parseCompletionRequest,
} from "../common/openai_format.ts";
import { authenticateCaller } from "./caller_authentication.ts";
import { refusal, sendProblem } from "./problem_reply.ts";
import { SseCaller } from "./sse_caller.ts";
import { BufferedCaller } from "./buffered_caller.ts";

const HTTP_OK = 200;

/** What the routes work with. */
export interface CallerRouteServices {
  readonly clock: Clock;
  readonly core: DaemonCore;
  createRequestId(): RequestId;
}

interface GenerationParams {
  readonly id: string;
}

/**
 * Adds the routes.
 *
 * @param server - The server for callers.
 * @param services - What the routes work with.
 */
export function addGenerationRoutes(
  server: FastifyInstance,
  services: CallerRouteServices,
): void {
  server.post("/v1/chat/completions", (request, reply) => {
    startGeneration(services, "chat", request, reply);
    return reply;
  });
  server.post("/v1/completions", (request, reply) => {
    startGeneration(services, "text", request, reply);
    return reply;
  });
  server.get<{ Params: GenerationParams }>(
    "/v1/generations/:id",
    (request, reply) => {
      resumeGeneration(services, request, reply);
      return reply;
    },
  );
  server.delete<{ Params: GenerationParams }>(
    "/v1/generations/:id",
    async (request, reply) => {
      await cancelGeneration(services, request, reply);
      return reply;
    },
  );
}

function startGeneration(
  services: CallerRouteServices,
  kind: CompletionKind,
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  const { core, clock } = services;
  const generationResult = authenticateCaller(request, core.configuration)
    .chain((
      workspace,
    ) =>
      parseCompletionRequest(kind, bodyText(request))
        .mapLeft((detail) => refusal("bad-request", detail))
        .chain((completion) =>
          toGenerationRequest(services, workspace, completion, request)
        )
        .map((generation) => ({
          generation,
          isStream: generation.delivery === "stream",
        }))
    );
  generationResult.caseOf({
    Left: (failure) => sendProblem(reply, failure),
    Right: ({ generation, isStream }) => {
      const context = { kind, model: generation.model, clock };
      const caller = isStream
        ? new SseCaller(reply, context)
        : new BufferedCaller(reply, context);
      caller.attach(core.generations.start(generation, caller));
    },
  });
}

function toGenerationRequest(
  { core }: CallerRouteServices,
  workspace: ResolvedWorkspace,
  completion: CompletionRequest,
  request: FastifyRequest,
): Either<RequestFailure, GenerationRequest> {
  const { configuration } = core;
  const resolved = configuration.findGenerationRoute(
    workspace.team,
    completion.model,
  );
  if (!resolved) return Left(refusal("not-found", "no route has this model"));
  const { route, service } = resolved;
  const requestedClass = headerValue(request, "x-ragwort-class");
  const resolvedClass = configuration.resolveClass(
    workspace.team,
    route.classes,
    requestedClass,
  );
  if (!resolvedClass) {
    return Left(
      refusal(
        "bad-request",
        `x-ragwort-class must be one of ${route.classes.join(", ")}`,
      ),
    );
  }
  return Right({
    requestId: asId<RequestId>(request.id),
    workspace: workspace.id,
    service: service.id,
    className: resolvedClass.name,
    model: completion.model,
    prompt: completion.prompt,
    maxTokens: Math.min(
      completion.maxTokens ?? route.maxTokens,
      route.maxTokens,
    ),
    sizeBytes: bodyBytes(request).byteLength,
    maxWaitMs: resolvedClass.config.maxWaitMs,
    delivery: completion.isStream ? "stream" : "whole",
  });
}

function resumeGeneration(
  services: CallerRouteServices,
  request: FastifyRequest<{ Params: GenerationParams }>,
  reply: FastifyReply,
): void {
  const { core, clock } = services;
  authenticateCaller(request, core.configuration)
    .chain((workspace) => toResumeRequest(workspace, request))
    .caseOf({
      Left: (failure) => sendProblem(reply, failure),
      Right: (resume) => {
        const query = request.query as { kind?: string };
        const kind = query.kind === "text" ? "text" : "chat";
        const caller = new SseCaller(reply, { kind, model: "", clock });
        caller.attach(core.generations.resume(resume, caller));
      },
    });
}

function toResumeRequest(
  workspace: ResolvedWorkspace,
  request: FastifyRequest<{ Params: GenerationParams }>,
): Either<RequestFailure, ResumeRequest> {
  const lastEventId = headerValue(request, "last-event-id");
  const { after } = request.query as { after?: string };
  const lastOffset = lastEventId?.slice(lastEventId.lastIndexOf(":") + 1) ??
    after;
  const fromOffset = lastOffset === undefined ? 0 : Number(lastOffset) + 1;
  if (!Number.isSafeInteger(fromOffset) || fromOffset < 0) {
    return Left(
      refusal("bad-request", "`after` must be the offset of the last token"),
    );
  }
  return Right({
    requestId: asId<RequestId>(request.id),
    workspace: workspace.id,
    id: request.params.id,
    fromOffset,
  });
}

async function cancelGeneration(
  { core }: CallerRouteServices,
  request: FastifyRequest<{ Params: GenerationParams }>,
  reply: FastifyReply,
): Promise<void> {
  const authenticated = authenticateCaller(request, core.configuration);
  const workspace = rightOf(authenticated);
  if (!workspace) {
    authenticated.ifLeft((failure) => sendProblem(reply, failure));
    return;
  }
  const cancelled = await core.generations.cancel(
    workspace.id,
    request.params.id,
  );
  cancelled.caseOf({
    Left: (failure) => sendProblem(reply, failure),
    Right: (result) => void reply.code(HTTP_OK).send({ result }),
  });
}

/** @returns The value of a header that must stand once. */
export function headerValue(
  request: FastifyRequest,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** @returns The body's bytes; empty when there is none. */
export function bodyBytes(request: FastifyRequest): Uint8Array {
  return request.body instanceof Uint8Array ? request.body : new Uint8Array();
}

function bodyText(request: FastifyRequest): string {
  return Buffer.from(bodyBytes(request)).toString("utf8");
}
