/** Endpoints that announce themselves, and what happens to them. */

import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";

/** What an endpoint says of itself. */
export interface EndpointAnnouncement {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: Address;
  readonly zone: ZoneName;
  readonly slots: number;
  /** Wall-clock start of the process; tells starts under one id apart. */
  readonly bornMs: number;
  readonly isDraining: boolean;
  /** How much longer the endpoint stays slow after its start. */
  readonly warmUpRemainingMs: number;
}

/** Whether an endpoint may get requests, and why not. */
export type EndpointPhase =
  | { readonly kind: "ready" }
  /** Its entry is missing after an outage of the store; it may come back. */
  | { readonly kind: "lapsed"; readonly expiresMs: number }
  /** It goes on with its work and takes no more. */
  | {
    readonly kind: "leaving";
    readonly sinceMs: number;
    readonly reason: string;
  }
  | { readonly kind: "gone" };
