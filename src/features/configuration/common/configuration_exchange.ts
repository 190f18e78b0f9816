/** Passes the configuration on between daemons: push at once, compare often. */

import { type Clock, setPeriodic } from "../../../base/common/clock.ts";
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
  MAX_HEADS,
} from "./configuration_messages.ts";
import { PartAssembler, splitDocument } from "./configuration_parts.ts";
import type {
  ConfigurationReplica,
  TeamHead,
} from "./configuration_replica.ts";

const DIGEST_PERIOD_MS = 2_000;
const DIGESTS_PER_ROUND = 3;
/** A wanted document that did not come is asked for again after this time. */
const WANT_TIMEOUT_MS = 1_000;

/** What the exchange works with. */
export interface ConfigurationExchangeServices {
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly links: PeerLinks;
  readonly replica: ConfigurationReplica;
}

interface Wanted {
  readonly revision: number;
  readonly askedMs: number;
}

/** The daemon's side of all exchanges. */
export class ConfigurationExchange implements Disposable {
  readonly #services: ConfigurationExchangeServices;
  readonly #owned = new DisposableStore();
  readonly #channel: PeerChannel<ConfigurationMessage>;
  readonly #parts = new PartAssembler();
  readonly #wanted = new Map<TeamName, Wanted>();

  /** @param services - What the exchange works with. */
  constructor(services: ConfigurationExchangeServices) {
    const { clock, links, replica } = services;
    this.#services = services;
    const channel = this.#owned.add(links.openChannel(CONFIGURATION_CHANNEL));
    this.#channel = channel;
    this.#owned.add(
      channel.onDidReceive(({ from, body }) => this.#receive(from, body)),
    );
    this.#owned.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#sendDigest(host);
    }));
    this.#owned.add(replica.onDidChange(({ team, revision }) => {
      this.#wanted.delete(team);
      const heads = [{ team, revision }];
      channel.broadcast({ kind: "heads", heads, isAll: false });
    }));
    this.#owned.add(
      setPeriodic(clock, DIGEST_PERIOD_MS, () => this.#sendDigests()),
    );
  }

  /** Stops the exchange. */
  dispose(): void {
    this.#owned.dispose();
  }

  #sendDigests(): void {
    const { links, random } = this.#services;
    const hosts = [...links.connectedHosts()];
    for (let sent = 0; sent < DIGESTS_PER_ROUND && hosts.length > 0; sent++) {
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
        this.#receiveHeads(from, message.heads, message.isAll);
        return;
      case "want":
        for (const { team } of message.heads) this.#sendDocument(from, team);
        return;
      case "part": {
        const document = this.#parts.add(from, message);
        if (!document) return;
        this.#services.replica.offer(document);
        if (!this.#services.replica.isReady) this.#sendDigest(from);
        return;
      }
    }
  }

  #receiveDigest(from: HostId, digest: number, isReady: boolean): void {
    const { replica } = this.#services;
    if (digest !== replica.digest) {
      this.#sendAllHeads(from);
      return;
    }
    if (isReady) replica.markReady();
    else if (replica.isReady) this.#sendDigest(from);
  }

  #sendAllHeads(host: HostId): void {
    const heads = toHeads(this.#services.replica.heads());
    const isAll = heads.length <= MAX_HEADS;
    for (
      let start = 0;
      start === 0 || start < heads.length;
      start += MAX_HEADS
    ) {
      const chunk = heads.slice(start, start + MAX_HEADS);
      this.#channel.send(host, { kind: "heads", heads: chunk, isAll });
    }
  }

  #receiveHeads(
    from: HostId,
    heads: readonly TeamHead[],
    isAll: boolean,
  ): void {
    this.#want(from, heads);
    if (!isAll) return;
    const theirs = new Map(heads.map(({ team, revision }) => [team, revision]));
    const newer = toHeads(this.#services.replica.heads()).filter((head) =>
      head.revision > (theirs.get(head.team) ?? 0)
    );
    for (let start = 0; start < newer.length; start += MAX_HEADS) {
      const chunk = newer.slice(start, start + MAX_HEADS);
      this.#channel.send(from, { kind: "heads", heads: chunk, isAll: false });
    }
  }

  #want(from: HostId, heads: readonly TeamHead[]): void {
    const { clock, replica } = this.#services;
    const nowMs = clock.monotonicMs();
    const lacking = heads.filter((head) => {
      if (!replica.lacks(head)) return false;
      const wanted = this.#wanted.get(head.team);
      const isAsked = wanted !== undefined &&
        wanted.revision >= head.revision &&
        nowMs - wanted.askedMs < WANT_TIMEOUT_MS;
      return !isAsked;
    });
    if (lacking.length === 0) return;
    const result = this.#channel.send(from, { kind: "want", heads: lacking });
    if (result !== "queued") return;
    for (const { team, revision } of lacking) {
      this.#wanted.set(team, { revision, askedMs: nowMs });
    }
  }

  #sendDocument(host: HostId, team: TeamName): void {
    const document = this.#services.replica.get(team);
    if (!document) return;
    for (const part of splitDocument(document)) this.#channel.send(host, part);
  }
}

function toHeads(heads: readonly TeamHead[]): TeamHead[] {
  return heads.map(({ team, revision }) => ({ team, revision }));
}
