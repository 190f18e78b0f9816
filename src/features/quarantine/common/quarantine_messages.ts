/**
 * Message schemas of the peer channel `quarantine.v1`, on which daemons share
 * suspect records and claims on endpoints.
 */

import * as z from "zod";
import { toErrorMessage } from "../../../base/common/errors.ts";
import {
  asId,
  type HostId,
  type WorkspaceId,
} from "../../../base/common/ids.ts";
import { attempt } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import {
  CRASH_EVIDENCE,
  MAX_CRASHES_PER_RECORD,
  MAX_TIME_MS,
} from "./endpoint_crash.ts";

const MAX_NAME_CHARACTERS = 500;
const MAX_WORKSPACES = 100;

/** Maximum number of records per message. */
export const MAX_RECORDS_PER_MESSAGE = 100;

const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
const workspace = name.transform((text) => asId<WorkspaceId>(text));
const timeMs = z.number().nonnegative().max(MAX_TIME_MS);

/** Schema of a suspect record. */
export const recordSchema = z.object({
  fingerprint: name,
  workspace,
  deaths: z.array(z.object({
    endpoint: name,
    atMs: timeMs,
    otherWorkspaces: z.array(workspace).max(MAX_WORKSPACES).readonly(),
    // Daemons of earlier builds do not send these.
    startedMs: timeMs.optional(),
    evidence: z.enum(CRASH_EVIDENCE).optional(),
    host: name.transform((text) => asId<HostId>(text)).optional(),
  })).max(MAX_CRASHES_PER_RECORD).readonly(),
  clearedMs: timeMs,
});

const messageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("records"),
    records: z.array(recordSchema).max(MAX_RECORDS_PER_MESSAGE).readonly(),
  }),
  /**
   * Claims an endpoint for a suspect that is about to run or is already
   * running.
   */
  z.object({
    kind: z.literal("claim"),
    endpoint: name,
    run: name,
    isRunning: z.boolean(),
  }),
  z.object({ kind: z.literal("unclaim"), endpoint: name, run: name }),
]);

/** Message of the quarantine channel. */
export type QuarantineMessage = z.infer<typeof messageSchema>;

/** Peer channel that carries quarantine messages. */
export const QUARANTINE_CHANNEL: PeerChannelSpec<QuarantineMessage> = {
  name: "quarantine.v1",
  decode: (body) => attempt(() => messageSchema.parse(body), toErrorMessage),
};

/** Maximum number of other workspaces listed for a crash. */
export const MAX_OTHER_WORKSPACES = MAX_WORKSPACES;
