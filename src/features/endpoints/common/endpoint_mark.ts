/** What daemons tell each other about endpoints that leave or return. */

import * as z from "zod";
import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";

const MAX_NAME_CHARACTERS = 200;
const MAX_MARKS = 1_024;

const nameSchema = z.string().min(1).max(MAX_NAME_CHARACTERS);

const markSchema = z.strictObject({
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
export type EndpointMark = z.infer<typeof markSchema>;

const marksSchema = z.array(markSchema).max(MAX_MARKS);

/** The channel. */
export const ENDPOINT_MARK_CHANNEL: PeerChannelSpec<readonly EndpointMark[]> = {
  name: "endpoints.v1",
  decode: (body) => {
    const checked = marksSchema.safeParse(body);
    return checked.success ? Right(checked.data) : Left("malformed marks");
  },
};

/** @returns Whether a mark counts more than the one that is held. */
export function isLaterMark(
  mark: EndpointMark,
  known: EndpointMark | undefined,
): boolean {
  if (!known) return true;
  if (mark.stampMs !== known.stampMs) return mark.stampMs > known.stampMs;
  return mark.isLeaving && !known.isLeaving;
}
