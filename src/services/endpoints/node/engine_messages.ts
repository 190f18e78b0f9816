/** Checked JSON messages of a model engine. */

import * as z from "zod";
import {
  attempt,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { EngineFrame } from "../common/engine_client.ts";

const nonNegativeInteger = z.number().int().nonnegative();

/** Schema of a load report. */
export const loadReportSchema = z.object({
  ageMs: z.number().nonnegative(),
  running: nonNegativeInteger,
  queued: nonNegativeInteger,
  memoryUsedTokens: nonNegativeInteger,
  memoryTotalTokens: nonNegativeInteger.optional(),
  preemptions: nonNegativeInteger,
  incarnation: z.string(),
  isLeaving: z.boolean(),
}).transform((report) => ({
  ...report,
  memoryTotalTokens: report.memoryTotalTokens,
}));

/** Schema of a page of cache events. */
export const cacheEventPageSchema = z.object({
  events: z.array(z.object({
    sequence: nonNegativeInteger,
    kind: z.enum(["stored", "evicted"]),
    blockHashes: z.array(z.string()),
  })),
  lastSequence: nonNegativeInteger,
  isGapped: z.boolean(),
});

/** Schema of an engine's state. */
export const engineStateSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.enum(["serve", "standby"]),
  highestFence: nonNegativeInteger,
});

/** Schema of the answer to a cancel. */
export const cancelResponseSchema = z.object({
  result: z.enum(["cancelled", "ended", "unknown-generation"]),
});

interface EngineFrameFields {
  readonly g?: unknown;
  readonly o?: unknown;
  readonly t?: unknown;
  readonly finish?: unknown;
}

const MAX_TOKEN_CHARACTERS = 4_096;

/**
 * Decodes the data of one SSE event. Checked by hand, since it runs for every
 * token.
 *
 * @param data - JSON text.
 * @returns The frame, or what is wrong with it.
 */
export function decodeEngineFrame(data: string): Either<string, EngineFrame> {
  return attempt(
    () => JSON.parse(data) as EngineFrameFields | null,
    toErrorMessage,
  )
    .chain((fields) => toEngineFrame(fields ?? {}));
}

function toEngineFrame(fields: EngineFrameFields): Either<string, EngineFrame> {
  const { g, o, t, finish } = fields;
  if (typeof g !== "string") return Left("a frame without a generation");
  if (!Number.isSafeInteger(o) || (o as number) < 0) {
    return Left("a frame without an offset");
  }
  const offset = o as number;
  if (finish === "stop" || finish === "length" || finish === "cancelled") {
    return Right({ kind: "end", generation: g, offset, finish });
  }
  if (typeof t !== "string" || t.length > MAX_TOKEN_CHARACTERS) {
    return Left("a frame without a valid text");
  }
  return Right({ kind: "token", generation: g, offset, text: t });
}
