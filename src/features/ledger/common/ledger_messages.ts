/** Messages between a host and the writer of a shard. */

import * as z from "zod";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import type { LedgerOperation, OperationResult } from "./claim_operation.ts";
import type { LedgerOperationFailure } from "./claim_ledger.ts";

/** Asks the writer of a shard to commit an operation. */
export interface SubmitMessage {
  readonly kind: "submit";
  /** Unique, so that a late answer cannot reach another question. */
  readonly id: string;
  readonly shard: number;
  /** Wall-clock time of the sender; an old question is not served. */
  readonly sentMs: number;
  readonly operation: LedgerOperation;
}

/** The writer has the operation and is committing it. */
export interface AcceptedMessage {
  readonly kind: "accepted";
  readonly id: string;
}

/** The writer's answer. */
export interface ReplyMessage {
  readonly kind: "reply";
  readonly id: string;
  readonly result: OperationResult;
}

/** The writer could not commit the operation. */
export interface FaultMessage {
  readonly kind: "fault";
  readonly id: string;
  readonly fault: LedgerOperationFailure;
}

/** A message of the ledger's channel. */
export type LedgerMessage =
  | SubmitMessage
  | AcceptedMessage
  | ReplyMessage
  | FaultMessage;

const responseSchema = z.object({
  status: z.number().int(),
  headers: z.array(z.object({ name: z.string(), value: z.string() })),
  bodyBase64: z.string(),
});

const doneSchema = z.object({
  kind: z.literal("done"),
  answer: responseSchema.optional(),
});

const targetShape = {
  key: z.string().min(1),
  fingerprint: z.string(),
  nonce: z.string().min(1),
  host: z.string(),
};

const operationSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("claim"),
    ...targetShape,
    maxRunMs: z.number().nonnegative(),
  }),
  z.object({
    kind: z.literal("end"),
    ...targetShape,
    state: z.discriminatedUnion("kind", [
      doneSchema,
      z.object({ kind: z.literal("unknown") }),
      z.object({ kind: z.literal("free") }),
    ]),
  }),
]);

const plainResultSchema = z.object({
  kind: z.enum([
    "held",
    "unknown",
    "in-progress",
    "mismatch",
    "ended",
    "stale",
    "full",
  ]),
});

const messageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("submit"),
    id: z.string().min(1),
    shard: z.number().int().nonnegative(),
    sentMs: z.number(),
    operation: operationSchema,
  }),
  z.object({ kind: z.literal("accepted"), id: z.string().min(1) }),
  z.object({
    kind: z.literal("reply"),
    id: z.string().min(1),
    result: z.union([doneSchema, plainResultSchema]),
  }),
  z.object({
    kind: z.literal("fault"),
    id: z.string().min(1),
    fault: z.object({
      step: z.string(),
      peer: z.string(),
      detail: z.string(),
    }),
  }),
]);

/** The channel of the ledger. */
export const LEDGER_CHANNEL: PeerChannelSpec<LedgerMessage> = {
  name: "ledger.v1",
  decode: (body): Either<string, LedgerMessage> => {
    const checked = messageSchema.safeParse(body);
    return checked.success
      ? Right(checked.data)
      : Left(checked.error.issues.map(({ message }) => message).join("; "));
  },
};
