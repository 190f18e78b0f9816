/**
 * Exchanges with the peers which software versions each service has had, and
 * keeps them in the store for the case that all daemons stop at once.
 */

import * as z from "zod";
import type { Clock } from "../../../../base/common/clock.ts";
import { toErrorMessage } from "../../../../base/common/errors.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import { attempt } from "../../../../base/common/result.ts";
import { eraOf } from "../../../../services/mirror/common/store_revision.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinkChange,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import {
  RecordArchive,
  type RecordArchiveServices,
} from "../../../quarantine/common/record_archive.ts";
import {
  MAX_VIEW_AGE_MS,
  type SoftwareVersionHistory,
} from "./software_version_history.ts";

/** Prefix of the keys of the versions of a service. */
export const SOFTWARE_VERSION_KEY_PREFIX = "ragwort/software-versions/";
const MAX_NAME_CHARACTERS = 500;
const MAX_VERSIONS = 100;
const MAX_SERVICES_PER_MESSAGE = 100;
/**
 * Time by which a peer must have started earlier than this process to know what
 * was there before. Exceeds the differences between clocks of hosts, and
 * between the starts of processes that were stopped together.
 */
const MIN_PRECEDENCE_MS = 5_000;
/** Time within which a peer sends its streams over a new link. */
const STREAM_EXCHANGE_MS = 500;

const name = z.string().max(MAX_NAME_CHARACTERS);
const serviceName = name.min(1).transform((text) => text as ServiceId);

const messageSchema = z.object({
  services: z.array(z.object({
    service: serviceName,
    versions: z.array(z.object({
      softwareVersion: name,
      absentForMs: z.number().nonnegative(),
    })).max(MAX_VERSIONS).readonly(),
  })).max(MAX_SERVICES_PER_MESSAGE).readonly(),
});

type SoftwareVersionMessage = z.infer<typeof messageSchema>;

const SOFTWARE_VERSION_CHANNEL: PeerChannelSpec<SoftwareVersionMessage> = {
  name: "software-versions.v1",
  decode: (body) => attempt(() => messageSchema.parse(body), toErrorMessage),
};

/** Dependencies of a {@link SoftwareVersionSync}. */
export interface SoftwareVersionSyncServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: PeerLinks;
  /** Wall-clock time in milliseconds at which this process started. */
  readonly incarnation: number;
  readonly history: SoftwareVersionHistory;
}

/** Sends what this daemon knows over each new link, and learns from peers. */
export class SoftwareVersionSync implements Disposable {
  readonly #services: SoftwareVersionSyncServices;
  readonly #channel: PeerChannel<SoftwareVersionMessage>;
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the exchange. */
  constructor(services: SoftwareVersionSyncServices) {
    this.#services = services;
    const { history, links, logger } = services;
    this.#channel = this.#disposables.add(
      links.openChannel(SOFTWARE_VERSION_CHANNEL),
    );
    this.#disposables.add(this.#channel.onDidReceive(({ body }) => {
      for (const record of body.services) history.learnFromPeer(record);
    }));
    this.#disposables.add(
      links.onDidChangeLink((change) => this.#onLinkChanged(change)),
    );
    this.#disposables.add(history.onDidLearn((service) => {
      const versions = history.currentVersions(service) ?? [];
      logger.log("info", "software-versions-learned", {
        service,
        versions: [...versions].join(),
      });
    }));
  }

  /** Stops the exchange. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #onLinkChanged({ host, isUp, peer }: PeerLinkChange): void {
    if (!isUp || !peer) return;
    const { clock, history, incarnation, links } = this.#services;
    if (peer.channels.includes(SOFTWARE_VERSION_CHANNEL.name)) {
      // What an old view contains says nothing of the versions since.
      const records = history.viewAgeMs > MAX_VIEW_AGE_MS
        ? []
        : history.records();
      for (
        let start = 0;
        start < records.length;
        start += MAX_SERVICES_PER_MESSAGE
      ) {
        const services = records.slice(start, start + MAX_SERVICES_PER_MESSAGE);
        this.#channel.send(host, { services });
      }
      return;
    }
    // A build without this channel says nothing of a service that has had one
    // version, and sends the streams of all others as soon as it is linked.
    if (peer.incarnation > incarnation - MIN_PRECEDENCE_MS) return;
    this.#disposables.add(clock.setTimer(STREAM_EXCHANGE_MS, () => {
      if (links.connectedHosts().includes(host)) history.markComplete();
    }));
  }
}

const entrySchema = z.object({
  service: serviceName,
  versions: z.array(name).max(MAX_VERSIONS),
  era: z.number().nonnegative().optional(),
});

/**
 * Versions of a service as the store holds them, with the era of the store in
 * which they were all that there were. Without an era, it is not known whether
 * the store has been restored from a copy since.
 */
type SoftwareVersionEntry = z.infer<typeof entrySchema>;

/** Dependencies of the archive of software versions. */
export interface SoftwareVersionArchiveServices
  extends Omit<RecordArchiveServices<SoftwareVersionEntry>, "records"> {
  readonly history: SoftwareVersionHistory;
}

/**
 * Keeps the versions of all services in the store, one entry each, without a
 * lease. A service without an entry is not known to have had one version only,
 * nor is one whose entry is of an earlier era: a store that is restored from a
 * copy lacks what came and went since.
 *
 * @returns The archive, which works until it is disposed.
 */
export function createSoftwareVersionArchive(
  { history, ...services }: SoftwareVersionArchiveServices,
): RecordArchive<SoftwareVersionEntry> {
  const { hasher, mirror } = services;
  const currentEra = (): number => eraOf(mirror.revision);
  return new RecordArchive<SoftwareVersionEntry>({
    ...services,
    records: {
      writers: "any",
      keyPrefix: SOFTWARE_VERSION_KEY_PREFIX,
      subject: "software-versions",
      list: () =>
        history.records().map(({ service, versions }) => ({
          record: {
            service,
            versions: versions.map(({ softwareVersion }) => softwareVersion),
            era: currentEra(),
          },
          untilMs: undefined,
        })),
      nameOf: ({ service }) => hasher.hash64Hex(service),
      parse: (value) => entrySchema.parse(value),
      merge: ({ era, service, versions }) => {
        if (era !== currentEra() && !history.isKnown(service)) return;
        history.learnStored(service, versions);
      },
      // What was read there need not be written again.
      includes: (stored, { era, service }) =>
        stored.era === era &&
        history.witnessedVersions(service).every((version) =>
          stored.versions.includes(version)
        ),
      hasOutdated: (stored, { versions }) =>
        stored.versions.some((version) => !versions.includes(version)),
    },
  });
}
