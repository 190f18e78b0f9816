/** Settings of a gateway. */

import type { Address, HostId, ZoneName } from "../../base/common/ids.ts";

/** Settings that may change while the daemon runs. */
export interface ReloadableGatewaySettings {
  /** Time within which a configuration has to be in force. */
  readonly configurationDelayMs: number;
  /** Time within which a revoked key has to be refused. */
  readonly revocationDelayMs: number;
  readonly stopGraceMs: number;
  readonly memoryMb: number;
  readonly retries: { readonly share: number; readonly extra: number };
  readonly seedAddresses: readonly Address[];
}

/** Who a daemon is and where it listens. */
export interface GatewayDaemonSettings extends ReloadableGatewaySettings {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly callersAddress: Address;
  readonly readinessAddress: Address;
  readonly peersAddress: Address;
  readonly metricsAddress: Address;
  /** Processor and network of the host; greater ones become hubs first. */
  readonly relayCapacity: number;
}
