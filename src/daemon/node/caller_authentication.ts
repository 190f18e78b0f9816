/** Authenticates callers: finds the workspace of a request by its API key. */

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
 * Hashes an API key.
 *
 * @param apiKey - The API key as plain text.
 * @returns The hash as used in team documents: SHA-256 in hexadecimal.
 */
export function hashApiKey(apiKey: string): string {
  return createHash("sha256").update(apiKey).digest("hex");
}

/**
 * Finds the workspace that sent a request. Keys are looked up by their hash, so
 * that the timing of the lookup reveals nothing about a key.
 *
 * @param request - The received request.
 * @param configuration - Configuration with the workspaces and their key
 *   hashes.
 * @returns The workspace, or a refusal if the API key is missing or unknown.
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
