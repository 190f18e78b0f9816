/** Messages by which daemons announce that endpoints drain or return. */

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
  /**
   * Wall-clock time in milliseconds, greater than that of any earlier mark of
   * the endpoint.
   */
  stampMs: z.number().nonnegative(),
  /** Source of the mark, for the log. */
  reason: z.string().max(MAX_NAME_CHARACTERS),
  /**
   * Incarnation of the engine process that the mark applies to, if it is known.
   */
  incarnation: nameSchema.optional(),
});

/** Drain state of an endpoint at a point in time. */
export type DrainMark = z.infer<typeof drainMarkSchema>;

const drainMarksSchema = z.array(drainMarkSchema).max(MAX_MARKS_PER_MESSAGE);

/** Channel for drain marks. */
export const DRAIN_MARK_CHANNEL: PeerChannelSpec<readonly DrainMark[]> = {
  name: "endpoints.v1",
  decode: (body) => {
    const checked = drainMarksSchema.safeParse(body);
    return checked.success
      ? Right(checked.data)
      : Left("the drain marks are malformed");
  },
};

/**
 * Compares two marks of one endpoint; at equal times the draining one takes
 * precedence.
 *
 * @returns Whether a mark replaces the current one.
 */
export function isNewerDrainMark(
  mark: DrainMark,
  current: DrainMark | undefined,
): boolean {
  if (!current) return true;
  if (mark.stampMs !== current.stampMs) return mark.stampMs > current.stampMs;
  return mark.isLeaving && !current.isLeaving;
}
