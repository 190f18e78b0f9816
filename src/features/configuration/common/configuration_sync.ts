/**
 * Synchronizes the team documents between daemons. New revisions are announced
 * to all connected peers immediately; periodic digest comparisons with a few
 * random peers repair announcements that were lost.
 */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import type { HostId, TeamName } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { SeededRandom } from "../../../base/common/random.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import {
  CONFIGURATION_CHANNEL,
  type ConfigurationMessage,
  MAX_REVISIONS_PER_MESSAGE,
} from "./configuration_messages.ts";
import { PartAssembler, splitDocument } from "./document_parts.ts";
import type {
  ConfigurationReplica,
  TeamRevisionRef,
} from "./configuration_replica.ts";

const DIGEST_PERIOD_MS = 2_000;
const DIGESTS_PER_CYCLE = 3;
/** Time after which a requested document may be requested again. */
const DOCUMENT_REQUEST_TIMEOUT_MS = 1_000;

/** Dependencies of {@link ConfigurationSync}. */
export interface ConfigurationSyncServices {
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly links: PeerLinks;
  readonly replica: ConfigurationReplica;
}

interface DocumentRequest {
  readonly revision: number;
  readonly requestedMs: number;
}

/** Synchronizes the local replica with the replicas of all peers. */
export class ConfigurationSync implements Disposable {
  readonly #services: ConfigurationSyncServices;
  readonly #disposables = new DisposableStore();
  readonly #channel: PeerChannel<ConfigurationMessage>;
  readonly #partAssembler = new PartAssembler();
  readonly #pendingRequests = new Map<TeamName, DocumentRequest>();

  /** @param services - Dependencies of the synchronization. */
  constructor(services: ConfigurationSyncServices) {
    const { clock, links, replica } = services;
    this.#services = services;
    const channel = this.#disposables.add(
      links.openChannel(CONFIGURATION_CHANNEL),
    );
    this.#channel = channel;
    this.#disposables.add(
      channel.onDidReceive(({ from, body }) => this.#receive(from, body)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#sendDigest(host);
    }));
    this.#disposables.add(replica.onDidChange(({ team, revision }) => {
      this.#pendingRequests.delete(team);
      const heads = [{ team, revision }];
      channel.broadcast({ kind: "heads", heads, isAll: false });
    }));
    this.#disposables.add(
      runPeriodically(clock, DIGEST_PERIOD_MS, () => this.#sendDigests()),
    );
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #sendDigests(): void {
    const { links, random } = this.#services;
    const hosts = [...links.connectedHosts()];
    for (let sent = 0; sent < DIGESTS_PER_CYCLE && hosts.length > 0; sent++) {
      const [host] = hosts.splice(random.int(0, hosts.length - 1), 1);
      this.#sendDigest(host!);
    }
  }

  #sendDigest(host: HostId): void {
    const { digest, isReady } = this.#services.replica;
    this.#channel.send(host, { kind: "digest", digest, isReady });
  }

  #receive(from: HostId, message: ConfigurationMessage): void {
    switch (message.kind) {
      case "digest":
        this.#receiveDigest(from, message.digest, message.isReady);
        return;
      case "heads":
        this.#receiveRevisions(from, message.heads, message.isAll);
        return;
      case "want":
        for (const { team } of message.heads) this.#sendDocument(from, team);
        return;
      case "part": {
        const document = this.#partAssembler.add(from, message);
        if (!document) return;
        this.#services.replica.applyIfNewer(document);
        if (!this.#services.replica.isReady) this.#sendDigest(from);
        return;
      }
    }
  }

  #receiveDigest(from: HostId, digest: number, isReady: boolean): void {
    const { replica } = this.#services;
    if (digest !== replica.digest) {
      this.#sendAllRevisions(from);
      return;
    }
    if (isReady) replica.markReady();
    else if (replica.isReady) this.#sendDigest(from);
  }

  #sendAllRevisions(host: HostId): void {
    const refs = toRevisionRefs(this.#services.replica.revisionRefs());
    const isAll = refs.length <= MAX_REVISIONS_PER_MESSAGE;
    for (
      let start = 0;
      start === 0 || start < refs.length;
      start += MAX_REVISIONS_PER_MESSAGE
    ) {
      const chunk = refs.slice(start, start + MAX_REVISIONS_PER_MESSAGE);
      this.#channel.send(host, { kind: "heads", heads: chunk, isAll });
    }
  }

  #receiveRevisions(
    from: HostId,
    announced: readonly TeamRevisionRef[],
    isAll: boolean,
  ): void {
    this.#requestMissing(from, announced);
    if (!isAll) return;
    const remoteRevisions = new Map(
      announced.map(({ team, revision }) => [team, revision]),
    );
    const newer = toRevisionRefs(this.#services.replica.revisionRefs()).filter((
      ref,
    ) => ref.revision > (remoteRevisions.get(ref.team) ?? 0));
    for (
      let start = 0;
      start < newer.length;
      start += MAX_REVISIONS_PER_MESSAGE
    ) {
      const chunk = newer.slice(start, start + MAX_REVISIONS_PER_MESSAGE);
      this.#channel.send(from, { kind: "heads", heads: chunk, isAll: false });
    }
  }

  #requestMissing(from: HostId, announced: readonly TeamRevisionRef[]): void {
    const { clock, replica } = this.#services;
    const nowMs = clock.monotonicMs();
    const missing = announced.filter((ref) => {
      if (!replica.isOutdatedBy(ref)) return false;
      const pending = this.#pendingRequests.get(ref.team);
      const isRequested = pending !== undefined &&
        pending.revision >= ref.revision &&
        nowMs - pending.requestedMs < DOCUMENT_REQUEST_TIMEOUT_MS;
      return !isRequested;
    });
    if (missing.length === 0) return;
    const result = this.#channel.send(from, { kind: "want", heads: missing });
    if (result !== "queued") return;
    for (const { team, revision } of missing) {
      this.#pendingRequests.set(team, { revision, requestedMs: nowMs });
    }
  }

  #sendDocument(host: HostId, team: TeamName): void {
    const document = this.#services.replica.get(team);
    if (!document) return;
    for (const part of splitDocument(document)) this.#channel.send(host, part);
  }
}

function toRevisionRefs(refs: readonly TeamRevisionRef[]): TeamRevisionRef[] {
  return refs.map(({ team, revision }) => ({ team, revision }));
}
