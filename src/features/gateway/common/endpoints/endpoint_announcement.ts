/**
 * Announcements of endpoints and the phases that an announced endpoint passes
 * through.
 */

import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";

/** Description that an endpoint publishes of itself. */
export interface EndpointAnnouncement {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: Address;
  readonly zone: ZoneName;
  /** Version of the endpoint's software, if it states one. */
  readonly softwareVersion?: string | undefined;
  readonly slots: number;
  /**
   * Wall-clock start time of the process; distinguishes processes with the same
   * id.
   */
  readonly bornMs: number;
  readonly isDraining: boolean;
  /** Counter of the endpoint's own writes of the entry, if it has one. */
  readonly sequence?: number | undefined;
  /**
   * Time for which the endpoint stays slow after its start, in milliseconds.
   */
  readonly warmUpRemainingMs: number;
}

/**
 * Returns the version of an endpoint's software; empty if it states none.
 */
export function softwareVersionOf(
  { softwareVersion }: Pick<EndpointAnnouncement, "softwareVersion">,
): string {
  return softwareVersion ?? "";
}

/**
 * Phase of a registered endpoint, which decides whether it accepts requests.
 */
export type EndpointPhase =
  | { readonly kind: "ready" }
  /** The entry is missing after an outage of the store and may reappear. */
  | { readonly kind: "missing"; readonly expiresMs: number }
  /** The endpoint completes its requests and accepts no new ones. */
  | {
    readonly kind: "draining";
    readonly sinceMs: number;
    readonly reason: string;
  }
  | { readonly kind: "removed" };
