/**
 * Message schemas of the peer channel `prompt-parts.v1`, on which daemons share
 * what they know of parts of prompts.
 */

import * as z from "zod";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { ServiceId } from "../../../base/common/ids.ts";
import { attempt } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import {
  CRASH_EVIDENCE,
  MAX_CRASHES_PER_RECORD,
  MAX_TIME_MS,
} from "./endpoint_crash.ts";
import type { PromptPartRecord } from "./prompt_part_table.ts";

const MAX_NAME_CHARACTERS = 500;
const MAX_VERSIONS = 8;

/** Maximum number of records per message. */
export const MAX_PARTS_PER_MESSAGE = 100;

const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
const version = z.string().max(MAX_NAME_CHARACTERS);
const timeMs = z.number().nonnegative().max(MAX_TIME_MS);

/** Schema of the record of a part. */
export const partRecordSchema = z.object({
  service: name.transform((text) => text as ServiceId),
  part: name,
  crashes: z.array(z.object({
    endpoint: name,
    version,
    atMs: timeMs,
    startedMs: timeMs.optional(),
    evidence: z.enum(CRASH_EVIDENCE).optional(),
  })).max(MAX_CRASHES_PER_RECORD).readonly(),
  soundVersions: z.array(version).max(MAX_VERSIONS).readonly(),
  accusedMs: timeMs,
  clearedMs: timeMs,
});

const messageSchema = z.object({
  records: z.array(partRecordSchema).max(MAX_PARTS_PER_MESSAGE).readonly(),
});

/** Message with the records of parts. */
export interface PromptPartMessage {
  readonly records: readonly PromptPartRecord[];
}

/** Peer channel that carries the records of parts. */
export const PROMPT_PART_CHANNEL: PeerChannelSpec<PromptPartMessage> = {
  name: "prompt-parts.v1",
  decode: (body) => attempt(() => messageSchema.parse(body), toErrorMessage),
};
