/** Messages between daemons that ask for places and the one that gives them. */

import type { EndpointId, ServiceId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";

/** A generation that wants a place. Times are spans, as clocks differ. */
export interface PlaceAsked {
  readonly kind: "asked";
  /** Number of the request at the daemon that asks. */
  readonly number: number;
  readonly service: ServiceId;
  readonly memoryTokens: number;
  readonly unreadTokens: number;
  /** Whether a copy is to be kept at another engine. */
  readonly wantsBackup: boolean;
  readonly excluded: readonly EndpointId[];
  readonly priority: number;
  readonly objectiveLeftMs: number;
  readonly startLeftMs: number;
}

/** What the daemons tell each other about places. */
export type PlacementMessage =
  | PlaceAsked
  /** The place is not wanted any more. */
  | { readonly kind: "withdrawn"; readonly number: number }
  | {
    readonly kind: "granted";
    readonly number: number;
    readonly endpoint: EndpointId;
    /** Where a copy may be kept, if anywhere. */
    readonly backup?: EndpointId;
    readonly cost: number;
    readonly candidates: number;
    readonly recentWaitMs: number;
  }
  /** There will be no place in time. */
  | {
    readonly kind: "rejected";
    readonly number: number;
    readonly reason: string;
    readonly recentWaitMs: number;
  }
  /** The sender does not know the service or its endpoints yet. */
  | { readonly kind: "declined"; readonly number: number }
  /** Requests of the receiver still wait at the sender. */
  | { readonly kind: "waiting" };

type Figures = Readonly<Record<string, unknown>>;

/** Channel of these messages. */
export const PLACEMENT_CHANNEL: PeerChannelSpec<PlacementMessage> = {
  name: "place.v1",
  decode: (body) => {
    if (typeof body !== "object" || body === null) return Left("no object");
    const message = body as Figures;
    return isSound(message)
      ? Right(body as PlacementMessage)
      : Left(`a malformed message of kind ${String(message["kind"])}`);
  },
};

function isSound(message: Figures): boolean {
  switch (message["kind"]) {
    case "asked":
      return areNumbers(message, [
        "number",
        "memoryTokens",
        "unreadTokens",
        "priority",
        "objectiveLeftMs",
        "startLeftMs",
      ]) && typeof message["service"] === "string" &&
        typeof message["wantsBackup"] === "boolean" &&
        areTexts(message["excluded"]);
    case "withdrawn":
    case "declined":
      return areNumbers(message, ["number"]);
    case "granted":
      return typeof message["endpoint"] === "string" &&
        ["string", "undefined"].includes(typeof message["backup"]) &&
        areNumbers(message, ["number", "cost", "candidates", "recentWaitMs"]);
    case "rejected":
      return typeof message["reason"] === "string" &&
        areNumbers(message, ["number", "recentWaitMs"]);
    case "waiting":
      return true;
    default:
      return false;
  }
}

function areNumbers(message: Figures, names: readonly string[]): boolean {
  return names.every((name) => Number.isFinite(message[name]));
}

function areTexts(value: unknown): boolean {
  return Array.isArray(value) && value.every((one) => typeof one === "string");
}
