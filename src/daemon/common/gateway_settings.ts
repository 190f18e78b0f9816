/** Settings of a gateway daemon, independent of the platform it runs on. */

import type {
  Address,
  HostId,
  RegionName,
  ZoneName,
} from "../../base/common/ids.ts";
import type { OperatorSettings } from "../../features/gateway/common/configuration/operator_settings.ts";
import type { FleetHost } from "../../services/peers/common/link_planner.ts";

/** Settings that can be reloaded while the daemon is running. */
export interface ReloadableGatewaySettings {
  /** Maximum time until a new configuration is active, in ms. */
  readonly configurationDelayMs: number;
  /** Maximum time until a revoked API key is rejected, in ms. */
  readonly revocationDelayMs: number;
  /**
   * Time for which an endpoint serves on after it has left, in ms, so that hosts
   * have to know of it by then. Unknown if absent.
   */
  readonly endpointDrainMs?: number | undefined;
  readonly stopGraceMs: number;
  readonly memoryMb: number;
  readonly retries: { readonly share: number; readonly extra: number };
  readonly seedAddresses: readonly Address[];
  /** Region of this host, if the deployment has regions. */
  readonly region?: RegionName | undefined;
  /** Region of each zone. */
  readonly zoneRegions?: ReadonlyMap<ZoneName, RegionName> | undefined;
  /** Settings of the operators' own file; the defaults if absent. */
  readonly operator?: OperatorSettings | undefined;
}

/** Identity and addresses of a daemon, with its initial reloadable settings. */
export interface GatewayDaemonSettings extends ReloadableGatewaySettings {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly callersAddress: Address;
  readonly readinessAddress: Address;
  readonly peersAddress: Address;
  readonly metricsAddress: Address;
  /**
   * Address at which requests of peers are passed on to endpoints that these
   * cannot reach; without it, none are passed on.
   */
  readonly relayAddress?: Address | undefined;
  /**
   * Relative CPU and network capacity of the host; daemons with a larger value
   * are preferred as hubs.
   */
  readonly relayCapacity: number;
  /**
   * Interval at which endpoints renew their entries in the store, in ms; an
   * entry lapses after three of them. Unknown if absent.
   */
  readonly announcementIntervalMs?: number | undefined;
}

/** @returns The host of the settings as its peers see it. */
export function toFleetHost(settings: GatewayDaemonSettings): FleetHost {
  const { host, peersAddress, relayAddress, relayCapacity, zone } = settings;
  return {
    host,
    zone,
    address: peersAddress,
    capacity: relayCapacity,
    ...(relayAddress && { relayAddress }),
  };
}
