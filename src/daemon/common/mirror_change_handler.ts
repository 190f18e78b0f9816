/**
 * Applies changes of the store mirror to the configuration, the evacuations, the
 * endpoint registry and the peer topology.
 */

import {
  type Disposable,
  DisposableStore,
} from "../../base/common/lifecycle.ts";
import type { PeerLinks } from "../../services/peers/common/peer_links.ts";
import type { EndpointId, HostId, ZoneName } from "../../base/common/ids.ts";
import { toErrorMessage } from "../../base/common/errors.ts";
import { type Either, rightOf } from "../../base/common/result.ts";
import type { EndpointAnnouncement } from "../../features/gateway/common/endpoints/endpoint_announcement.ts";
import { KeptConfiguration } from "../../features/gateway/common/configuration/kept_configuration.ts";
import type { ZoneEvacuations } from "../../features/gateway/common/endpoints/zone_evacuations.ts";
import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import type { GatewayConfiguration } from "../../features/gateway/common/configuration/gateway_configuration.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
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

/** Keys of the documents in the store, and the decoders of their values. */
export interface StoreDocumentDecoder {
  /** Key of the configuration that the operator writes. */
  readonly configurationKey: string;
  /** Key prefix of the endpoint entries. */
  readonly endpointPrefix: string;
  /** Key prefix of the entries that evacuate a zone; followed by its name. */
  readonly evacuationPrefix: string;
  decodeConfiguration(bytes: Uint8Array): Either<string, GatewayConfiguration>;
  decodeAnnouncement(
    id: string,
    bytes: Uint8Array,
  ): Either<string, EndpointAnnouncement>;
}

/** Receives changes of the host entries in the store. */
export interface HostChangeListener {
  /**
   * Handles changed host entries.
   *
   * @param hosts - Latest entry of each changed host; `undefined` if the entry
   *   was removed.
   */
  onHostsChanged(hosts: ReadonlyMap<HostId, FleetHost | undefined>): void;
}

/** Dependencies of {@link MirrorChangeHandler}. */
export interface MirrorChangeHandlerServices {
  readonly logger: Logger;
  readonly mirror: StoreMirror;
  readonly state: ConfigurationState;
  readonly links: PeerLinks;
  readonly registry: EndpointRegistry;
  readonly evacuations: ZoneEvacuations;
  readonly peers: HostChangeListener;
  readonly decoder: StoreDocumentDecoder;
}

/** Decodes changed documents and dispatches them by key. */
export class MirrorChangeHandler implements Disposable {
  readonly #services: MirrorChangeHandlerServices;
  readonly #kept: KeptConfiguration;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the handler. */
  constructor(services: MirrorChangeHandlerServices) {
    this.#services = services;
    const { decoder, evacuations, links, logger, mirror, state } = services;
    this.#kept = this.#disposables.add(
      new KeptConfiguration({
        logger,
        links,
        state,
        decodeConfiguration: (value) => decoder.decodeConfiguration(value),
      }),
    );
    this.#disposables.add(
      mirror.onDidChangeEra((era) => evacuations.recordEra(era)),
    );
    this.#disposables.add(
      mirror.onDidChange((changes) => this.#apply(changes)),
    );
  }

  /** Stops handling changes. */
  dispose(): void {
    this.#disposables.dispose();
  }

  /** Applies a batch of changes of the mirror. */
  #apply(changes: readonly MirrorChange[]): void {
    const { decoder, logger, peers, registry } = this.#services;
    const { configurationKey, endpointPrefix } = decoder;
    const hosts = new Map<HostId, FleetHost | undefined>();
    /** Endpoints that this host sees for the first time. */
    const added = new Set<EndpointId>();
    const apply = (change: MirrorChange): void => {
      const { key } = change;
      if (key === configurationKey) this.#applyConfiguration(change);
      else if (key.startsWith(endpointPrefix)) {
        const endpoint = key.slice(endpointPrefix.length) as EndpointId;
        if (!registry.get(endpoint)) added.add(endpoint);
        this.#applyEndpoint(endpoint, change, added.has(endpoint));
      } else if (key.startsWith(HOST_KEY_PREFIX)) {
        const host = key.slice(HOST_KEY_PREFIX.length) as HostId;
        const entry = change.item && this.#decodeHost(key, change.item);
        // An entry that cannot be decoded leaves the host unchanged.
        if (entry || !change.item) hosts.set(host, entry);
      }
    };
    // First, as a new endpoint of the batch may be sent waiting requests at once.
    this.#applyEvacuations(changes);
    for (const change of changes) {
      try {
        apply(change);
      } catch (thrown) {
        // Each entry may have another writer; the others of the batch hold.
        logger.log("error", "change-crashed", {
          key: change.key,
          revision: change.item?.revision,
          detail: toErrorMessage(thrown),
        });
      }
    }
    if (hosts.size > 0) peers.onHostsChanged(hosts);
  }

  #applyEvacuations(changes: readonly MirrorChange[]): void {
    const { decoder, evacuations } = this.#services;
    const { evacuationPrefix } = decoder;
    for (const { key, item } of changes) {
      if (!key.startsWith(evacuationPrefix)) continue;
      const zone = key.slice(evacuationPrefix.length) as ZoneName;
      if (item) evacuations.record(zone, item.revision);
      else evacuations.remove(zone);
    }
  }

  #applyConfiguration({ item }: MirrorChange): void {
    if (!item) return;
    const { decoder, logger, state } = this.#services;
    const { revision } = item;
    decoder.decodeConfiguration(item.value).caseOf({
      Left: (detail) =>
        logger.log("error", "configuration-unreadable", { revision, detail }),
      Right: (configuration) => {
        state.apply(configuration, revision);
        this.#kept.recordStored(configuration.version, item.value);
      },
    });
  }

  #applyEndpoint(
    endpoint: EndpointId,
    { item }: MirrorChange,
    isNew: boolean,
  ): void {
    const { decoder, logger, mirror, registry } = this.#services;
    if (!item) {
      registry.recordEntryLoss(endpoint, mirror.revision);
      // One that came and went unseen may only have begun streams.
      registry.withdraw(endpoint, isNew ? Infinity : mirror.sinceDisruptionMs);
      return;
    }
    const { revision } = item;
    decoder.decodeAnnouncement(endpoint, item.value).caseOf({
      Left: (detail) => {
        logger.log("warn", "announcement-unreadable", {
          endpoint,
          revision,
          detail,
        });
        registry.recordEntryLoss(endpoint, revision);
        registry.markDraining(endpoint, "unreadable");
      },
      Right: (announcement) => registry.announce(announcement, revision),
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
