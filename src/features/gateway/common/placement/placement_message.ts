/**
 * Messages between daemons that request placements and the daemon that decides
 * them.
 */

import * as z from "zod";
import type { EndpointId, ServiceId } from "../../../../base/common/ids.ts";
import { Left, Right } from "../../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../../services/peers/common/peer_links.ts";
import { idSchema } from "../../../../services/settings/common/shared_schemas.ts";

/** Request numbers are assigned by the requesting daemon. */
const requestNumber = { number: z.number() };
const endpointIdSchema = idSchema<EndpointId>();

/**
 * Requests a placement for a generation. Times are durations, as clocks differ
 * between hosts.
 */
const requestSchema = z.object({
  ...requestNumber,
  kind: z.literal("asked"),
  service: idSchema<ServiceId>(),
  memoryTokens: z.number(),
  unreadTokens: z.number(),
  /** Whether a backup is requested on another engine. */
  wantsBackup: z.boolean(),
  excluded: z.array(endpointIdSchema).readonly(),
  /** Software version that the endpoint must have; any if absent. */
  softwareVersion: z.string().optional(),
  priority: z.number(),
  /** Longest gap between events that callers accept; unknown if absent. */
  gapObjectiveMs: z.number().optional(),
  objectiveLeftMs: z.number(),
  startLeftMs: z.number(),
});

/**
 * What the sender knew when it decided. Earlier builds neither send nor read
 * these fields.
 */
const detailFields = {
  expectedWaitMs: z.number().optional(),
  /** Memory of each engine that is kept free for urgent requests, in tokens. */
  reserveTokens: z.number().optional(),
  /** Priority for which it is kept free. */
  reserveForPriority: z.number().optional(),
  /** Whether requests of the service had to wait in the last seconds. */
  isScarce: z.boolean().optional(),
};

const placementMessageSchema = z.discriminatedUnion("kind", [
  requestSchema,
  /** The placement is no longer required. */
  z.object({ ...requestNumber, kind: z.literal("withdrawn") }),
  z.object({
    ...requestNumber,
    kind: z.literal("granted"),
    endpoint: endpointIdSchema,
    /** Endpoint that may keep the backup, if there is one. */
    backup: endpointIdSchema.optional(),
    cost: z.number(),
    candidates: z.number(),
    recentWaitMs: z.number(),
    ...detailFields,
  }),
  /** No capacity will be available in time. */
  z.object({
    ...requestNumber,
    kind: z.literal("rejected"),
    reason: z.string(),
    recentWaitMs: z.number(),
    /** Whether it was rejected before its latest start time. */
    isEarly: z.boolean().optional(),
    retryAfterMs: z.number().optional(),
    ...detailFields,
  }),
  /** The service or its endpoints are not yet registered at the sender. */
  z.object({ ...requestNumber, kind: z.literal("declined") }),
  /** Requests of the receiver are still waiting at the sender. */
  z.object({ kind: z.literal("waiting") }),
]);

/** Request for the placement of a generation. */
export type PlacementAsk = z.infer<typeof requestSchema>;

/** What the sender of a decision knew, as far as it said so. */
export type PlacementDetailFields = z.infer<
  z.ZodObject<typeof detailFields>
>;

/** Any message about placements. */
export type PlacementMessage = z.infer<typeof placementMessageSchema>;

/** Channel for placement messages. */
export const PLACEMENT_CHANNEL: PeerChannelSpec<PlacementMessage> = {
  name: "place.v1",
  decode: (body) => {
    const parsed = placementMessageSchema.safeParse(body);
    return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
  },
};
