/** Messages by which daemons share the limits of endpoints and the rights. */

import type { EndpointId } from "../../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../../services/peers/common/peer_links.ts";
import type { LimitedProcess, LimitRecord } from "./limit_table.ts";
import type { RightOffer } from "./right_schedule.ts";
import type {
  GranterId,
  ProcessPosition,
  SchedulePosition,
} from "./schedule_positions.ts";

/** Message between two daemons. */
export type LimitMessage =
  | {
    readonly kind: "limits";
    /** Limits that the sender knows. */
    readonly records: readonly LimitRecord[];
    /** Rights that the sender knows to be granted; absent if it knows none. */
    readonly positions?: readonly ProcessPosition[] | undefined;
  }
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
    /**
     * Latest position of the rights that the asking daemons know, which may be
     * that of an earlier granter; nothing ahead if they know none. Absent from
     * daemons of an earlier version, which may have rights of any granter.
     */
    readonly position?: SchedulePosition | undefined;
  }
  | {
    readonly kind: "offered";
    readonly number: number;
    readonly offer: RightOffer;
    /**
     * Position of the rights as the granter knows it; absent if it is not known,
     * and from daemons of an earlier version.
     */
    readonly position?: SchedulePosition | undefined;
  };

/**
 * Positions further ahead are not believed: a right is granted up to 2 s ahead,
 * and the next one comes after 4 s at the lowest rate.
 */
const MAX_AHEAD_MS = 6_000;

/** Channel for limits and rights; messages are encoded as arrays. */
export const LIMIT_CHANNEL: PeerChannelSpec<LimitMessage> = {
  name: "limits.v1",
  encode,
  decode: (body) => {
    const message = Array.isArray(body) ? decode(body as unknown[]) : undefined;
    return message ? Right(message) : malformed();
  },
};

/**
 * @param process - The process that a right is wanted for.
 * @param known - Its record, if it ever named a limit.
 * @param coldPerS - Requests a second that it bears as it is cold.
 * @returns The record to ask with: that of the named limit while it is in force,
 * or the cold limit in its form.
 */
export function askedRecord(
  { bornMs, endpoint }: LimitedProcess,
  known: LimitRecord | undefined,
  coldPerS: number | undefined,
): LimitRecord | undefined {
  if (coldPerS === undefined || known?.requestsPerS !== undefined) return known;
  return {
    endpoint,
    bornMs,
    requestsPerS: coldPerS,
    lastRequestsPerS: coldPerS,
    revision: known?.revision ?? 0,
  };
}

function malformed(): Either<string, LimitMessage> {
  return Left("the message about limits is malformed");
}

function encode(message: LimitMessage): readonly unknown[] {
  switch (message.kind) {
    case "limits":
      return [
        "limits",
        message.records.map(encodeRecord),
        ...message.positions ? [message.positions.map(encodeProcess)] : [],
      ];
    case "asked": {
      const { number, record, maxWaitMs, hops, coldPerS, position } = message;
      const values = [number, encodeRecord(record), maxWaitMs, hops];
      if (position) {
        return [
          "asked",
          ...values,
          coldPerS ?? null,
          ...encodePosition(position),
        ];
      }
      return ["asked", ...values, ...coldPerS === undefined ? [] : [coldPerS]];
    }
    case "offered": {
      const { number, offer, position } = message;
      const last = position ? encodePosition(position) : [];
      return offer.kind === "granted"
        ? ["granted", number, offer.waitMs, ...last]
        : ["denied", number, offer.freeInMs, offer.retryAfterMs, ...last];
    }
  }
}

function decode(
  [kind, ...values]: readonly unknown[],
): LimitMessage | undefined {
  switch (kind) {
    case "limits": {
      const [items, positionItems] = values;
      if (!Array.isArray(items)) return undefined;
      const records = items.map(decodeRecord);
      if (!records.every((record) => record !== undefined)) return undefined;
      if (!Array.isArray(positionItems)) return { kind, records };
      const positions = positionItems.map(decodeProcess);
      return positions.every((position) => position !== undefined)
        ? { kind, records, positions }
        : undefined;
    }
    case "asked": {
      const [number, item, maxWaitMs, hops, coldPerS, ...last] = values;
      const record = decodeRecord(item);
      if (!record || !isCount(number) || !isCount(maxWaitMs)) return undefined;
      if (!isCount(hops)) return undefined;
      const position = decodePosition(last);
      const asked = {
        kind,
        number,
        record,
        maxWaitMs,
        hops,
        ...position && { position },
      } as const;
      return isCount(coldPerS) && coldPerS > 0 ? { ...asked, coldPerS } : asked;
    }
    case "granted": {
      const [number, waitMs, ...last] = values;
      if (!isCount(number) || !isCount(waitMs)) return undefined;
      const position = decodePosition(last);
      return {
        kind: "offered",
        number,
        offer: { kind, waitMs },
        ...position && { position },
      };
    }
    case "denied": {
      const [number, freeInMs, retryAfterMs, ...last] = values;
      if (!isCount(number) || !isCount(freeInMs)) return undefined;
      if (!isCount(retryAfterMs)) return undefined;
      const position = decodePosition(last);
      return {
        kind: "offered",
        number,
        offer: { kind, freeInMs, retryAfterMs },
        ...position && { position },
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

function encodePosition(
  { aheadMs, granter }: SchedulePosition,
): readonly unknown[] {
  return [granter, aheadMs];
}

/** @returns The position, or `undefined` if it is absent or not readable. */
function decodePosition(
  [granter, aheadMs]: readonly unknown[],
): SchedulePosition | undefined {
  if (typeof granter !== "string" || !isCount(aheadMs)) return undefined;
  return {
    granter: granter as GranterId,
    aheadMs: Math.min(MAX_AHEAD_MS, aheadMs),
  };
}

function encodeProcess(
  { process, ...position }: ProcessPosition,
): readonly unknown[] {
  return [process.endpoint, process.bornMs, ...encodePosition(position)];
}

function decodeProcess(value: unknown): ProcessPosition | undefined {
  if (!Array.isArray(value)) return undefined;
  const [endpoint, bornMs, ...last] = value as unknown[];
  if (typeof endpoint !== "string" || !isCount(bornMs)) return undefined;
  const position = decodePosition(last);
  const process = { endpoint: endpoint as EndpointId, bornMs };
  return position && { process, ...position };
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
