/** Messages between daemons about the configuration. */

import * as z from "zod";
import type { TeamName } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import { nameSchema } from "../../../services/settings/common/schema_parts.ts";

/** Most characters of a document in one message. */
export const MAX_PART_CHARACTERS = 32_768;
/** Most teams in one message. */
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
    /** Digest of all revisions that the sender holds. */
    digest: z.number(),
    isReady: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("heads"),
    heads: teamRevisionsSchema,
    /** Whether the heads are all that the sender holds. */
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

/** A message about the configuration. */
export type ConfigurationMessage = z.infer<typeof messageSchema>;

/** A part of a document. */
export type ConfigurationPart = Extract<
  ConfigurationMessage,
  { kind: "part" }
>;

/** The channel. */
export const CONFIGURATION_CHANNEL: PeerChannelSpec<ConfigurationMessage> = {
  name: "config.v1",
  decode: (body) => {
    const checked = messageSchema.safeParse(body);
    return checked.success ? Right(checked.data) : Left("unknown message");
  },
};
