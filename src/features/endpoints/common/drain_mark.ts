/** What daemons tell each other about endpoints that leave or return. */

import * as z from "zod";
import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";

const MAX_NAME_CHARACTERS = 200;
const MAX_MARKS_PER_MESSAGE = 1_024;

const nameSchema = z.string().min(1).max(MAX_NAME_CHARACTERS);

const drainMarkSchema = z.strictObject({
  service: nameSchema.transform((text) => text as ServiceId),
  endpoint: nameSchema.transform((text) => text as EndpointId),
  isLeaving: z.boolean(),
  /** Wall clock of the word in milliseconds, later than that of any earlier one. */
  stampMs: z.number().nonnegative(),
  /** Who said so, for the log. */
  reason: z.string().max(MAX_NAME_CHARACTERS),
  /** Incarnation of the engine that was meant, when it is known. */
  incarnation: nameSchema.optional(),
});

/** The last word on whether an endpoint is leaving. */
export type DrainMark = z.infer<typeof drainMarkSchema>;

const drainMarksSchema = z.array(drainMarkSchema).max(MAX_MARKS_PER_MESSAGE);

/** The channel. */
export const DRAIN_MARK_CHANNEL: PeerChannelSpec<readonly DrainMark[]> = {
  name: "endpoints.v1",
  decode: (body) => {
    const checked = drainMarksSchema.safeParse(body);
    return checked.success ? Right(checked.data) : Left("malformed marks");
  },
};

/** @returns Whether a mark counts more than the one that is held. */
export function isNewerDrainMark(
  mark: DrainMark,
  current: DrainMark | undefined,
): boolean {
  if (!current) return true;
  if (mark.stampMs !== current.stampMs) return mark.stampMs > current.stampMs;
  return mark.isLeaving && !current.isLeaving;
}
