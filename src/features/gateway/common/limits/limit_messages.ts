/** Messages by which daemons share the limits of endpoints and the rights. */

import type { EndpointId } from "../../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../../services/peers/common/peer_links.ts";
import type { LimitRecord } from "./limit_table.ts";
import type { RightOffer } from "./right_schedule.ts";

/** Message between two daemons. */
export type LimitMessage =
  /** Limits that the sender knows. */
  | { readonly kind: "limits"; readonly records: readonly LimitRecord[] }
  /** The sender wants a right to send to an endpoint. */
  | {
    readonly kind: "asked";
    readonly number: number;
    /**
     * Limit that the endpoint names. If it names none and is cold, its cold
     * limit in the form of a named one, so that a granter of an earlier version
     * keeps it too.
     */
    readonly record: LimitRecord;
    readonly maxWaitMs: number;
    /** Number of daemons that the question has passed. */
    readonly hops: number;
    /**
     * Requests a second that the endpoint bears as it is cold; absent if it is
     * not, and from daemons of an earlier version.
     */
    readonly coldPerS?: number | undefined;
  }
  | {
    readonly kind: "offered";
    readonly number: number;
    readonly offer: RightOffer;
  };

/** Channel for limits and rights; messages are encoded as arrays. */
export const LIMIT_CHANNEL: PeerChannelSpec<LimitMessage> = {
  name: "limits.v1",
  encode,
  decode: (body) => {
    const message = Array.isArray(body) ? decode(body as unknown[]) : undefined;
    return message ? Right(message) : malformed();
  },
};

function malformed(): Either<string, LimitMessage> {
  return Left("the message about limits is malformed");
}

function encode(message: LimitMessage): readonly unknown[] {
  switch (message.kind) {
    case "limits":
      return ["limits", message.records.map(encodeRecord)];
    case "asked": {
      const { number, record, maxWaitMs, hops, coldPerS } = message;
      const values = [number, encodeRecord(record), maxWaitMs, hops];
      return ["asked", ...values, ...coldPerS === undefined ? [] : [coldPerS]];
    }
    case "offered": {
      const { number, offer } = message;
      return offer.kind === "granted"
        ? ["granted", number, offer.waitMs]
        : ["denied", number, offer.freeInMs, offer.retryAfterMs];
    }
  }
}

function decode(
  [kind, ...values]: readonly unknown[],
): LimitMessage | undefined {
  switch (kind) {
    case "limits": {
      const [items] = values;
      if (!Array.isArray(items)) return undefined;
      const records = items.map(decodeRecord);
      return records.every((record) => record !== undefined)
        ? { kind, records }
        : undefined;
    }
    case "asked": {
      const [number, item, maxWaitMs, hops, coldPerS] = values;
      const record = decodeRecord(item);
      if (!record || !isCount(number) || !isCount(maxWaitMs)) return undefined;
      if (!isCount(hops)) return undefined;
      const asked = { kind, number, record, maxWaitMs, hops } as const;
      return isCount(coldPerS) && coldPerS > 0 ? { ...asked, coldPerS } : asked;
    }
    case "granted": {
      const [number, waitMs] = values;
      if (!isCount(number) || !isCount(waitMs)) return undefined;
      return { kind: "offered", number, offer: { kind, waitMs } };
    }
    case "denied": {
      const [number, freeInMs, retryAfterMs] = values;
      if (!isCount(number) || !isCount(freeInMs)) return undefined;
      if (!isCount(retryAfterMs)) return undefined;
      return {
        kind: "offered",
        number,
        offer: { kind, freeInMs, retryAfterMs },
      };
    }
    default:
      return undefined;
  }
}

function encodeRecord(record: LimitRecord): readonly unknown[] {
  const { endpoint, bornMs, requestsPerS, lastRequestsPerS, revision } = record;
  return [endpoint, bornMs, requestsPerS ?? null, lastRequestsPerS, revision];
}

function decodeRecord(value: unknown): LimitRecord | undefined {
  if (!Array.isArray(value)) return undefined;
  const [endpoint, bornMs, requestsPerS, lastRequestsPerS, revision] =
    value as unknown[];
  if (typeof endpoint !== "string" || !isCount(bornMs)) return undefined;
  if (!isCount(lastRequestsPerS) || !isCount(revision)) return undefined;
  if (requestsPerS !== null && !isCount(requestsPerS)) return undefined;
  return {
    endpoint: endpoint as EndpointId,
    bornMs,
    requestsPerS: requestsPerS ?? undefined,
    lastRequestsPerS,
    revision,
  };
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
