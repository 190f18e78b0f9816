/** Messages with which daemons synchronize the configuration. */

import * as z from "zod";
import type { TeamName } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import { nameSchema } from "../../../services/settings/common/shared_schemas.ts";

/** Maximum number of document characters in one message. */
export const MAX_PART_CHARACTERS = 32_768;
/** Maximum number of team revisions in one message. */
export const MAX_REVISIONS_PER_MESSAGE = 1_024;

const MAX_PARTS = 64;

const teamSchema = nameSchema.transform((text) => text as TeamName);
const revisionSchema = z.number().int().positive();
const teamRevisionSchema = z.strictObject({
  team: teamSchema,
  revision: revisionSchema,
});
const teamRevisionsSchema = z.array(teamRevisionSchema).max(
  MAX_REVISIONS_PER_MESSAGE,
);

const messageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("digest"),
    /** Digest of all revisions in the sender's replica. */
    digest: z.number(),
    isReady: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("heads"),
    heads: teamRevisionsSchema,
    /** Whether `heads` lists every revision in the sender's replica. */
    isAll: z.boolean(),
  }),
  z.strictObject({ kind: z.literal("want"), heads: teamRevisionsSchema }),
  z.strictObject({
    kind: z.literal("part"),
    team: teamSchema,
    revision: revisionSchema,
    isDeleted: z.boolean(),
    index: z.number().int().nonnegative().max(MAX_PARTS),
    count: z.number().int().positive().max(MAX_PARTS),
    text: z.string().max(MAX_PART_CHARACTERS),
  }),
]);

/** A configuration message between two daemons. */
export type ConfigurationMessage = z.infer<typeof messageSchema>;

/** A message that carries one part of a document. */
export type ConfigurationPart = Extract<
  ConfigurationMessage,
  { kind: "part" }
>;

/** Peer channel for configuration messages. */
export const CONFIGURATION_CHANNEL: PeerChannelSpec<ConfigurationMessage> = {
  name: "config.v1",
  decode: (body) => {
    const checked = messageSchema.safeParse(body);
    return checked.success
      ? Right(checked.data)
      : Left("invalid configuration message");
  },
};
