/**
 * Message schemas of the peer channel `dispatch.v1`, on which daemons request,
 * grant and release the use of endpoints.
 */

import * as z from "zod";
import type {
  Address,
  EndpointId,
  ServiceId,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import {
  idSchema,
  MAX_ID_LENGTH,
} from "../../../services/settings/common/shared_schemas.ts";
import type { GroupId } from "./dispatch_groups.ts";
import type { GrantId } from "./dispatcher.ts";

const MAX_BLOCK_HASHES = 64;
const MAX_ITEMS_PER_MESSAGE = 10_000;

const nonNegative = z.number().nonnegative();
const grantId = idSchema<GrantId>();
const endpointId = idSchema<EndpointId>();

const requestSchema = z.object({
  id: grantId,
  workspace: idSchema<WorkspaceId>(),
  className: z.string().max(MAX_ID_LENGTH),
  maxTokens: nonNegative,
  promptTokens: nonNegative,
  blocks: z.array(z.string()).max(MAX_BLOCK_HASHES).readonly(),
  sizeBytes: nonNegative,
  patienceMs: z.number(),
  excludedEndpoints: z.array(endpointId).max(MAX_ITEMS_PER_MESSAGE).readonly(),
  priority: z.number(),
  starvationMs: nonNegative,
  share: z.number().positive(),
  limit: z.object({
    tokensPerSecond: z.number().positive().or(z.undefined()),
    maxConcurrent: z.number().positive().or(z.undefined()),
  }),
});

const refusalSchema = z.object({
  reason: z.enum([
    "no-endpoint",
    "queue-full",
    "deadline",
    "rate-limited",
    "cancelled",
  ]),
  detail: z.string(),
  retryAfterMs: nonNegative.or(z.undefined()),
});

const groupFields = {
  service: idSchema<ServiceId>(),
  group: idSchema<GroupId>(),
};

const messageSchema = z.discriminatedUnion("kind", [
  /** Requests a grant; resent until the dispatcher decides. */
  z.object({
    ...groupFields,
    kind: z.literal("request"),
    request: requestSchema,
  }),
  /** The dispatcher has queued the request but has not decided yet. */
  z.object({ ...groupFields, kind: z.literal("queued"), id: grantId }),
  z.object({
    ...groupFields,
    kind: z.literal("granted"),
    grant: z.object({
      id: grantId,
      endpoint: z.object({ id: endpointId, address: idSchema<Address>() }),
      waitMs: nonNegative,
    }),
  }),
  z.object({
    ...groupFields,
    kind: z.literal("refused"),
    id: grantId,
    refusal: refusalSchema,
  }),
  z.object({ ...groupFields, kind: z.literal("abandon"), id: grantId }),
  z.object({
    ...groupFields,
    kind: z.literal("progress"),
    items: z.array(z.object({ id: grantId, generatedTokens: nonNegative }))
      .max(MAX_ITEMS_PER_MESSAGE),
  }),
  z.object({
    ...groupFields,
    kind: z.literal("release"),
    release: z.object({
      id: grantId,
      end: z.enum(["completed", "not-run", "failed", "cancelled"]),
      generatedTokens: nonNegative,
    }),
  }),
  /** A new dispatcher requests the list of grants that the receiver holds. */
  z.object({ ...groupFields, kind: z.literal("ask-grants") }),
  z.object({
    ...groupFields,
    kind: z.literal("grants-in-use"),
    grants: z.array(z.object({
      request: requestSchema,
      endpoint: endpointId,
      generatedTokens: nonNegative,
    })).max(MAX_ITEMS_PER_MESSAGE),
  }),
]);

/** Message of the dispatch channel. */
export type DispatchMessage = z.infer<typeof messageSchema>;

/** Peer channel that carries dispatch messages. */
export const DISPATCH_CHANNEL: PeerChannelSpec<DispatchMessage> = {
  name: "dispatch.v1",
  decode: (body) => {
    const parsed = messageSchema.safeParse(body);
    return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
  },
};
