/** Turns what the mirror holds into configuration, endpoints and peers. */

import type { EndpointId, HostId } from "../../base/common/ids.ts";
import { type Either, rightOf } from "../../base/common/result.ts";
import type { EndpointAnnouncement } from "../../features/gateway/common/endpoint_announcement.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoint_registry.ts";
import type { GatewayConfiguration } from "../../features/gateway/common/gateway_configuration.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration_state.ts";
import {
  decodeHostEntry,
  HOST_KEY_PREFIX,
} from "../../services/hosts/common/host_entry.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { StoreItem } from "../../services/mirror/common/revisioned_store.ts";
import type {
  MirrorChange,
  StoreMirror,
} from "../../services/mirror/common/store_mirror.ts";
import type { FleetHost } from "../../services/peers/common/link_planner.ts";

/** Where documents are in the store, and how they are read. */
export interface StoreDocumentDecoder {
  /** Key of the operator's configuration. */
  readonly configurationKey: string;
  /** Prefix of the endpoints' entries. */
  readonly endpointPrefix: string;
  decodeConfiguration(bytes: Uint8Array): Either<string, GatewayConfiguration>;
  decodeAnnouncement(
    id: string,
    bytes: Uint8Array,
  ): Either<string, EndpointAnnouncement>;
}

/** Hears which hosts are listed. */
export interface HostChangeListener {
  /** @param hosts - Newest entries of hosts; `undefined` for removed ones. */
  onHostsChanged(hosts: ReadonlyMap<HostId, FleetHost | undefined>): void;
}

/** What the knowledge is made from. */
export interface MirrorChangeHandlerServices {
  readonly logger: Logger;
  readonly mirror: StoreMirror;
  readonly state: ConfigurationState;
  readonly registry: EndpointRegistry;
  readonly peers: HostChangeListener;
  readonly decoder: StoreDocumentDecoder;
}

/** Hands changes of the store's contents to those who use them. */
export class MirrorChangeHandler {
  readonly #services: MirrorChangeHandlerServices;

  /** @param services - What the knowledge is made from. */
  constructor(services: MirrorChangeHandlerServices) {
    this.#services = services;
  }

  /** Takes in changes of the mirror. */
  apply(changes: readonly MirrorChange[]): void {
    const { decoder, peers } = this.#services;
    const { configurationKey, endpointPrefix } = decoder;
    const hosts = new Map<HostId, FleetHost | undefined>();
    for (const change of changes) {
      const { key } = change;
      if (key === configurationKey) this.#applyConfiguration(change);
      else if (key.startsWith(endpointPrefix)) {
        this.#applyEndpoint(key.slice(endpointPrefix.length), change);
      } else if (key.startsWith(HOST_KEY_PREFIX)) {
        const host = key.slice(HOST_KEY_PREFIX.length) as HostId;
        const entry = change.item && this.#decodeHost(key, change.item);
        // An entry that cannot be read changes nothing.
        if (entry || !change.item) hosts.set(host, entry);
      }
    }
    if (hosts.size > 0) peers.onHostsChanged(hosts);
  }

  #applyConfiguration({ item }: MirrorChange): void {
    if (!item) return;
    const { decoder, logger, state } = this.#services;
    const { revision } = item;
    decoder.decodeConfiguration(item.value).caseOf({
      Left: (detail) =>
        logger.log("error", "configuration-unreadable", { revision, detail }),
      Right: (configuration) => state.apply(configuration, revision),
    });
  }

  #applyEndpoint(id: string, { item }: MirrorChange): void {
    const { decoder, logger, mirror, registry } = this.#services;
    const endpoint = id as EndpointId;
    if (!item) {
      registry.withdraw(endpoint, mirror.sinceStoreFailureMs);
      return;
    }
    const { revision } = item;
    decoder.decodeAnnouncement(id, item.value).caseOf({
      Left: (detail) => {
        logger.log("warn", "announcement-unreadable", {
          endpoint,
          revision,
          detail,
        });
        registry.markDraining(endpoint, "unreadable");
      },
      Right: (announcement) => registry.announce(announcement),
    });
  }

  #decodeHost(key: string, { value }: StoreItem): FleetHost | undefined {
    const decoded = decodeHostEntry(value);
    decoded.ifLeft((detail) =>
      this.#services.logger.log("warn", "host-entry-unreadable", {
        key,
        detail,
      })
    );
    return rightOf(decoded);
  }
}
