/** Messages between daemons that ask for places and the one that gives them. */

import * as z from "zod";
import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import { idSchema } from "../../../services/settings/common/shared_schemas.ts";

/** Numbers of requests are those of the daemon that asks. */
const requestNumber = { number: z.number() };
const endpointIdSchema = idSchema<EndpointId>();

/** A generation that wants a place. Times are spans, as clocks differ. */
const requestSchema = z.object({
  ...requestNumber,
  kind: z.literal("asked"),
  service: idSchema<ServiceId>(),
  memoryTokens: z.number(),
  unreadTokens: z.number(),
  /** Whether a copy is to be kept at another engine. */
  wantsBackup: z.boolean(),
  excluded: z.array(endpointIdSchema).readonly(),
  priority: z.number(),
  objectiveLeftMs: z.number(),
  startLeftMs: z.number(),
});

const placementMessageSchema = z.discriminatedUnion("kind", [
  requestSchema,
  /** The place is not wanted any more. */
  z.object({ ...requestNumber, kind: z.literal("withdrawn") }),
  z.object({
    ...requestNumber,
    kind: z.literal("granted"),
    endpoint: endpointIdSchema,
    /** Where a copy may be kept, if anywhere. */
    backup: endpointIdSchema.optional(),
    cost: z.number(),
    candidates: z.number(),
    recentWaitMs: z.number(),
  }),
  /** There will be no place in time. */
  z.object({
    ...requestNumber,
    kind: z.literal("rejected"),
    reason: z.string(),
    recentWaitMs: z.number(),
  }),
  /** The sender does not know the service or its endpoints yet. */
  z.object({ ...requestNumber, kind: z.literal("declined") }),
  /** Requests of the receiver still wait at the sender. */
  z.object({ kind: z.literal("waiting") }),
]);

/** A generation that wants a place. */
export type PlacementAsk = z.infer<typeof requestSchema>;

/** What the daemons tell each other about places. */
export type PlacementMessage = z.infer<typeof placementMessageSchema>;

/** Channel of these messages. */
export const PLACEMENT_CHANNEL: PeerChannelSpec<PlacementMessage> = {
  name: "place.v1",
  decode: (body) => {
    const parsed = placementMessageSchema.safeParse(body);
    return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
  },
};
