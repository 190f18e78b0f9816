/** Contract with the platform's list of hosts, which lags behind. */

import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";

/** One host of the list. */
export type HostListEntry =
  | {
    readonly role: "entry";
    readonly host: HostId;
    readonly zone: ZoneName;
    /** Where its daemon listens for its peers. */
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

/** Why the list could not be read. */
export interface HostListFailure {
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/** Reads the list. */
export interface HostListClient {
  /** @returns All hosts of the list; entries that make no sense are left out. */
  read(): AsyncEither<HostListFailure, readonly HostListEntry[]>;
}
