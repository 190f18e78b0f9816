/** What daemons tell each other about requests that may kill endpoints. */

import * as z from "zod";
import { toErrorMessage } from "../../../base/common/errors.ts";
import { asId, type WorkspaceId } from "../../../base/common/ids.ts";
import { attempt } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import { MAX_CRASHES_PER_RECORD } from "./suspect_table.ts";

const MAX_NAME_CHARACTERS = 500;
const MAX_WORKSPACES = 100;

/** Most records of one message. */
export const MAX_RECORDS_PER_MESSAGE = 100;

const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
const workspace = name.transform((text) => asId<WorkspaceId>(text));
const timeMs = z.number().nonnegative();

const recordSchema = z.object({
  fingerprint: name,
  workspace,
  deaths: z.array(z.object({
    endpoint: name,
    atMs: timeMs,
    otherWorkspaces: z.array(workspace).max(MAX_WORKSPACES).readonly(),
  })).max(MAX_CRASHES_PER_RECORD).readonly(),
  clearedMs: timeMs,
});

const messageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("records"),
    records: z.array(recordSchema).max(MAX_RECORDS_PER_MESSAGE).readonly(),
  }),
  /** A suspect is about to run at an endpoint, or runs there. */
  z.object({
    kind: z.literal("claim"),
    endpoint: name,
    run: name,
    isRunning: z.boolean(),
  }),
  z.object({ kind: z.literal("unclaim"), endpoint: name, run: name }),
]);

/** A message about suspects. */
export type QuarantineMessage = z.infer<typeof messageSchema>;

/** The channel of these messages. */
export const QUARANTINE_CHANNEL: PeerChannelSpec<QuarantineMessage> = {
  name: "quarantine.v1",
  decode: (body) => attempt(() => messageSchema.parse(body), toErrorMessage),
};

/** Most other workspaces that a death names. */
export const MAX_OTHER_WORKSPACES = MAX_WORKSPACES;
