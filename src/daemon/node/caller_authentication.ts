/** Finds the workspace of a request by its API key. */

import { createHash } from "node:crypto";
import type { FastifyRequest } from "fastify";
import { type Either, Left, Right } from "../../base/common/result.ts";
import type {
  Configuration,
  ResolvedWorkspace,
} from "../../features/configuration/common/configuration.ts";
import type { RequestFailure } from "../../services/outcomes/common/failure.ts";
import { refusal } from "./problem_reply.ts";

/**
 * @param apiKey - An API key as text.
 * @returns Its hash as it stands in a team's document.
 */
export function hashApiKey(apiKey: string): string {
  return createHash("sha256").update(apiKey).digest("hex");
}

/**
 * Finds who asks. Only hashes are looked up, so the time of the look-up tells
 * nothing of a key.
 *
 * @param request - The request.
 * @param configuration - The workspaces.
 * @returns The workspace, or the refusal.
 */
export function authenticateCaller(
  request: FastifyRequest,
  configuration: Configuration,
): Either<RequestFailure, ResolvedWorkspace> {
  const header = request.headers.authorization ?? "";
  const apiKey = /^Bearer (.+)$/i.exec(header)?.[1];
  const workspace = apiKey &&
    configuration.findWorkspaceByKeyHash(hashApiKey(apiKey));
  if (workspace) return Right(workspace);
  return Left(
    refusal(
      "unauthorized",
      "send a valid API key as `Authorization: Bearer KEY`",
    ),
  );
}
