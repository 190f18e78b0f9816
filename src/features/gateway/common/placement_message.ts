/** Messages between daemons that ask for places and the one that gives them. */

import * as z from "zod";
import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import { idSchema } from "../../../services/settings/common/shared_schemas.ts";

/** Numbers of requests are those of the daemon that asks. */
const base = { number: z.number() };
const endpointId = idSchema<EndpointId>();

/** A generation that wants a place. Times are spans, as clocks differ. */
const askedSchema = z.object({
  ...base,
  kind: z.literal("asked"),
  service: idSchema<ServiceId>(),
  memoryTokens: z.number(),
  unreadTokens: z.number(),
  /** Whether a copy is to be kept at another engine. */
  wantsBackup: z.boolean(),
  excluded: z.array(endpointId).readonly(),
  priority: z.number(),
  objectiveLeftMs: z.number(),
  startLeftMs: z.number(),
});

const messageSchema = z.discriminatedUnion("kind", [
  askedSchema,
  /** The place is not wanted any more. */
  z.object({ ...base, kind: z.literal("withdrawn") }),
  z.object({
    ...base,
    kind: z.literal("granted"),
    endpoint: endpointId,
    /** Where a copy may be kept, if anywhere. */
    backup: endpointId.optional(),
    cost: z.number(),
    candidates: z.number(),
    recentWaitMs: z.number(),
  }),
  /** There will be no place in time. */
  z.object({
    ...base,
    kind: z.literal("rejected"),
    reason: z.string(),
    recentWaitMs: z.number(),
  }),
  /** The sender does not know the service or its endpoints yet. */
  z.object({ ...base, kind: z.literal("declined") }),
  /** Requests of the receiver still wait at the sender. */
  z.object({ kind: z.literal("waiting") }),
]);

/** A generation that wants a place. */
export type PlaceAsked = z.infer<typeof askedSchema>;

/** What the daemons tell each other about places. */
export type PlacementMessage = z.infer<typeof messageSchema>;

/** Channel of these messages. */
export const PLACEMENT_CHANNEL: PeerChannelSpec<PlacementMessage> = {
  name: "place.v1",
  decode: (body) => {
    const parsed = messageSchema.safeParse(body);
    return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
  },
};
