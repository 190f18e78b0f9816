/**
 * Loads the team documents from the store into the replica. Only a few daemons
 * of each zone, the relays, watch the store; the others receive changes from
 * their peers. This bounds the number of watches on the store.
 */

import { type Clock } from "../../../base/common/clock.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import { asId, type TeamName } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import type { SeededRandom } from "../../../base/common/random.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { Membership } from "../../../services/membership/common/membership.ts";
import type {
  StoreChange,
  StoreClient,
  StoreListing,
} from "../../../services/store/common/store_client.ts";
import { TEAM_KEY_PREFIX } from "./configuration.ts";
import type { ConfigurationReplica } from "./configuration_replica.ts";
import { isTombstone } from "./configuration_writer.ts";

/** Number of daemons in each zone that watch the store. */
export const RELAYS_PER_ZONE = 2;

const INITIAL_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 4_000;
/** Interval at which a watch is reopened, in case it has stalled unnoticed. */
const WATCH_RENEWAL_MS = 10_000;

/** Dependencies of {@link ConfigurationWatcher}. */
export interface ConfigurationWatcherServices {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly random: SeededRandom;
  readonly store: StoreClient;
  readonly logger: Logger;
  readonly membership: Membership;
  readonly replica: ConfigurationReplica;
}

/**
 * Lists the team documents once at startup on every daemon, then watches them
 * while this daemon is a relay of its zone.
 */
export class ConfigurationWatcher implements Disposable {
  readonly #services: ConfigurationWatcherServices;
  readonly #disposables = new DisposableStore();
  #watch: Disposable = NOOP_DISPOSABLE;
  #timer: Disposable = NOOP_DISPOSABLE;
  #state: "idle" | "listing" | "waiting" | "watching" = "idle";
  #retryDelayMs = INITIAL_RETRY_DELAY_MS;
  #lastRevision = 0;

  /** @param services - Dependencies of the watcher. */
  constructor(services: ConfigurationWatcherServices) {
    this.#services = services;
  }

  /** Lists the documents and starts to react to changes of the relay role. */
  start(): void {
    const { membership } = this.#services;
    this.#disposables.add(
      membership.onDidChangeMembers(() => this.#updateRole()),
    );
    void this.#list();
  }

  /** Stops the watch and any scheduled retry. */
  dispose(): void {
    this.#disposables.dispose();
    this.#stopWatch();
  }

  /** Whether this daemon is a relay of its zone. */
  get isRelay(): boolean {
    const { membership, hasher } = this.#services;
    const { host, zone } = membership.self;
    const owners = membership.eligibleOwnersInZone(zone).map((owner) =>
      owner.host
    );
    const key = `config-relay/${zone}`;
    return owners.length === 0 ||
      rendezvousOrder(hasher, key, owners).slice(0, RELAYS_PER_ZONE)
        .includes(host);
  }

  #updateRole(): void {
    if (this.#shouldReadStore) {
      if (this.#state === "idle") void this.#list();
    } else if (this.#state === "watching" || this.#state === "waiting") {
      this.#stopWatch();
    }
  }

  /**
   * A daemon without any configuration reads the store even if it is not a
   * relay.
   */
  get #shouldReadStore(): boolean {
    return this.isRelay || !this.#services.replica.isReady;
  }

  async #list(): Promise<void> {
    const { store, logger } = this.#services;
    this.#state = "listing";
    const listing = await store.list(TEAM_KEY_PREFIX);
    if (this.#disposables.isDisposed) return;
    listing.caseOf({
      Left: (failure) => {
        logger.log("warn", "config-list-failed", { detail: failure.detail });
        this.#scheduleRetry();
      },
      Right: (result) => this.#applyListing(result),
    });
  }

  #applyListing(listing: StoreListing): void {
    const { replica } = this.#services;
    for (const entry of listing.entries) this.#apply({ kind: "put", entry });
    this.#applyDeletions(listing);
    replica.markReady();
    this.#retryDelayMs = INITIAL_RETRY_DELAY_MS;
    this.#lastRevision = listing.revision;
    if (this.isRelay) this.#openWatch();
    else this.#state = "idle";
  }

  /**
   * Applies the deletion of documents that the listing lacks. The exact
   * revision of such a deletion is unknown but is at most the revision of the
   * listing. If the listing is not newer than the active document, it comes
   * from a store replica that is behind, and the document is kept.
   */
  #applyDeletions({ entries, revision }: StoreListing): void {
    const { replica, logger } = this.#services;
    const listed = new Set(entries.map(({ key }) => parseTeamName(key)));
    for (const ref of replica.revisionRefs()) {
      const { team } = ref;
      const isAlreadyDeleted = replica.get(team)?.text === undefined;
      if (listed.has(team) || isAlreadyDeleted) continue;
      if (revision <= ref.revision) {
        logger.log("warn", "config-store-behind", { team, revision });
      } else {
        replica.applyIfNewer({ team, revision, text: undefined });
      }
    }
  }

  #openWatch(): void {
    const { store, logger, clock } = this.#services;
    const previous = this.#watch;
    this.#state = "watching";
    const watch = store.watch(TEAM_KEY_PREFIX, this.#lastRevision, {
      onChanges: (changes) => changes.forEach((change) => this.#apply(change)),
      onEnded: (reason) => {
        if (this.#watch !== watch) return;
        logger.log("warn", "config-watch-ended", { reason });
        this.#scheduleRetry();
      },
    });
    this.#watch = watch;
    previous.dispose();
    this.#timer.dispose();
    this.#timer = clock.setTimer(WATCH_RENEWAL_MS, () => this.#openWatch());
  }

  #stopWatch(): void {
    this.#watch.dispose();
    this.#watch = NOOP_DISPOSABLE;
    this.#timer.dispose();
    this.#state = "idle";
  }

  #scheduleRetry(): void {
    const { clock, random } = this.#services;
    this.#stopWatch();
    if (this.#disposables.isDisposed) return;
    this.#state = "waiting";
    const delayMs = this.#retryDelayMs * (0.5 + random.float() / 2);
    this.#retryDelayMs = Math.min(2 * this.#retryDelayMs, MAX_RETRY_DELAY_MS);
    this.#timer = clock.setTimer(delayMs, () => {
      if (this.#shouldReadStore) void this.#list();
      else this.#state = "idle";
    });
  }

  #apply(change: StoreChange): void {
    const { replica, logger } = this.#services;
    const document = toDocumentText(change);
    this.#lastRevision = Math.max(this.#lastRevision, document.revision);
    replica.applyIfNewer(document);
    const held = replica.get(document.team)?.revision ?? 0;
    if (held <= document.revision) return;
    const { team, revision } = document;
    logger.log("warn", "config-store-behind", { team, revision, held });
  }
}

function parseTeamName(key: string): TeamName {
  return asId<TeamName>(key.slice(TEAM_KEY_PREFIX.length));
}

function toDocumentText(change: StoreChange) {
  if (change.kind === "delete") {
    const { key, revision } = change;
    return { team: parseTeamName(key), revision, text: undefined };
  }
  const { key, value, revision } = change.entry;
  const text = isTombstone(value) ? undefined : value;
  return { team: parseTeamName(key), revision, text };
}
