/**
 * Contract of the platform's host list, which lags behind the actual state of
 * the hosts.
 */

import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";

/** One host of the list: an entry host, which runs a daemon, or an endpoint. */
export type HostListEntry =
  | {
    readonly role: "entry";
    readonly host: HostId;
    readonly zone: ZoneName;
    /** Address at which the daemon listens for its peers. */
    readonly address: Address;
    readonly isLeaving: boolean;
  }
  | {
    readonly role: "endpoint";
    readonly zone: ZoneName;
    readonly service: ServiceId;
    readonly endpoint: EndpointId;
    readonly address: Address;
    readonly isLeaving: boolean;
  };

/** Reason why the list could not be read. */
export interface HostListFailure {
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/** Reads the platform's host list. */
export interface HostListClient {
  /**
   * Reads the list.
   *
   * @returns All valid entries of the list; malformed entries are omitted.
   */
  read(): AsyncEither<HostListFailure, readonly HostListEntry[]>;
}
