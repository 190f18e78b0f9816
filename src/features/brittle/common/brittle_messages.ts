/** Messages by which daemons share brittle endpoints and their places. */

import * as z from "zod";
import type { EndpointId, HostId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import type { BrittleRecord } from "./brittle_table.ts";

const MAX_RECORDS = 2_000;
const MAX_HOLDER_CHARACTERS = 128;

const recordSchema = z.object({
  endpoint: z.string().min(1).transform((text) => text as EndpointId),
  bornMs: z.number(),
  rejectionsPerS: z.number().nonnegative().optional(),
  revision: z.number().nonnegative(),
}).transform(({ rejectionsPerS, ...record }): BrittleRecord => ({
  ...record,
  rejectionsPerS,
}));
const holderSchema = z.string().min(1).max(MAX_HOLDER_CHARACTERS);

/** Places that one host holds at one endpoint. */
const heldSchema = z.object({
  host: z.string().min(1).transform((text) => text as HostId),
  endpoint: z.string().min(1).transform((text) => text as EndpointId),
  bornMs: z.number(),
  places: z.number().int().nonnegative(),
});

const messageSchema = z.discriminatedUnion("kind", [
  /** Endpoints that the sender knows. */
  z.object({
    kind: z.literal("records"),
    records: z.array(recordSchema).max(MAX_RECORDS),
    /** Places of the sender and its leaves; absent from daemons of an earlier version. */
    held: z.array(heldSchema).max(MAX_RECORDS).optional(),
  }),
  /** The sender wants a place at an endpoint. */
  z.object({
    kind: z.literal("asked"),
    number: z.number().int().nonnegative(),
    holder: holderSchema,
    record: recordSchema,
    slots: z.number().positive(),
    leaseMs: z.number().positive(),
    /** Number of daemons that the question has passed. */
    hops: z.number().int().nonnegative(),
    /**
     * Places that the host of the holder has at the endpoint, from this granter
     * or another one; absent from daemons of an earlier version.
     */
    held: z.number().int().nonnegative().optional(),
  }),
  z.object({
    kind: z.literal("granted"),
    number: z.number().int().nonnegative(),
  }),
  z.object({
    kind: z.literal("denied"),
    number: z.number().int().nonnegative(),
    freeInMs: z.number().nonnegative(),
  }),
  /** A place is free again, or the endpoint has turned a request away. */
  z.object({
    kind: z.literal("released"),
    holder: holderSchema,
    record: recordSchema,
    wasRejected: z.boolean(),
    hops: z.number().int().nonnegative(),
  }),
]);

/** Message between two daemons. */
export type BrittleMessage = z.infer<typeof messageSchema>;

/** Channel for brittle endpoints and their places. */
export const BRITTLE_CHANNEL: PeerChannelSpec<BrittleMessage> = {
  name: "brittle.v1",
  decode: (body) => {
    const parsed = messageSchema.safeParse(body);
    return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
  },
};
