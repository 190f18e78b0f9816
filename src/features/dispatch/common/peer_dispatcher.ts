/**
 * Dispatcher of a daemon: hosts the groups that it owns and asks its peers for
 * grants of the others. A group without a reachable dispatcher is used alone,
 * within this daemon's part of it.
 */

import { type Clock, setPeriodicTimer } from "../../../base/common/clock.ts";
import type { Hasher } from "../../../base/common/hasher.ts";
import type { HostId, ServiceId, ZoneName } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import { SeededRandom } from "../../../base/common/random.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  leftOf,
} from "../../../base/common/result.ts";
import type { EngineClient } from "../../../services/endpoints/common/engine_client.ts";
import { hashBlocks } from "../../../services/endpoints/common/prompt_blocks.ts";
import type { Membership } from "../../../services/membership/common/membership.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import {
  type Configuration,
  toServiceId,
} from "../../configuration/common/configuration.ts";
import type {
  EndpointDirectory,
  KnownEndpoint,
} from "../../endpoints/common/endpoint_directory.ts";
import {
  DispatchGroups,
  type EndpointGroup,
  type GroupId,
} from "./dispatch_groups.ts";
import { DISPATCH_CHANNEL, type DispatchMessage } from "./dispatch_messages.ts";
import type {
  Dispatcher,
  Grant,
  GrantEnd,
  GrantId,
  GrantRequest,
  Refusal,
} from "./dispatcher.ts";
import { GrantAsker, type GroupRequestDraft } from "./grant_asker.ts";
import { GroupHost } from "./group_host.ts";
import { policyFor } from "./group_policy.ts";
import { LengthKnowledge } from "./length_knowledge.ts";

const TICK_MS = 100;
const PROGRESS_PERIOD_MS = 500;
/** Patience of a request that sets no deadline. */
const DEFAULT_PATIENCE_MS = 24 * 3_600_000;
const DEFAULT_STARVATION_MS = 60_000;
const CHARACTERS_PER_TOKEN = 4;
const MAX_HASHED_BLOCKS = 64;
const NO_GROUP_RETRY_MS = 2_000;

/** What the dispatcher works with. */
export interface PeerDispatcherServices {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly endpoints: EndpointDirectory;
  readonly engines: EngineClient;
  readonly hasher: Hasher;
  readonly links: PeerLinks;
  readonly membership: Membership;
  readonly host: HostId;
  readonly zone: ZoneName;
}

/** Dispatches together with the other daemons of the zone. */
export class PeerDispatcher implements Dispatcher, Disposable {
  readonly #services: PeerDispatcherServices;
  readonly #groups: DispatchGroups;
  readonly #asker: GrantAsker;
  readonly #channel: PeerChannel<DispatchMessage>;
  readonly #hosts = new Map<GroupId, GroupHost>();
  /** Groups that this daemon owned when it last looked. */
  readonly #ownedGroups = new Set<GroupId>();
  /** Dispatchers that were reached, until a member or a link changes. */
  readonly #reached = new Map<GroupId, HostId>();
  readonly #random: SeededRandom;
  readonly #owned = new DisposableStore();
  #memberHosts: ReadonlySet<HostId>;

  /** @param services - What the dispatcher works with. */
  constructor(services: PeerDispatcherServices) {
    const { clock, endpoints, membership, hasher, links, host } = services;
    this.#services = services;
    this.#groups = new DispatchGroups(endpoints, membership, hasher);
    this.#random = new SeededRandom(hasher.hash32(host));
    this.#memberHosts = hostsOf(membership);
    this.#channel = this.#owned.add(links.openChannel(DISPATCH_CHANNEL));
    this.#asker = new GrantAsker({
      clock,
      host,
      reachOwner: (group) => this.#reachOwner(group),
      send: (to, message) => this.#send(to, message),
    });
    this.#owned.add(
      this.#channel.onDidReceive(({ from, body }) => this.#receive(from, body)),
    );
    this.#owned.add(
      endpoints.onDidChangeEndpoints((service) => this.#refresh(service)),
    );
    this.#owned.add(
      membership.onDidChangeMembers(() => this.#onMembersChanged()),
    );
    this.#owned.add(
      links.onDidChangeLink(() => {
        this.#reached.clear();
        this.#asker.checkDispatchers();
      }),
    );
    this.#owned.add(setPeriodicTimer(clock, TICK_MS, () => this.#tick()));
    this.#owned.add(
      setPeriodicTimer(
        clock,
        PROGRESS_PERIOD_MS,
        () => this.#asker.flushProgress(),
      ),
    );
  }

  /** {@inheritDoc Dispatcher.acquire} */
  async acquire(
    request: GrantRequest,
    signal: AbortSignal,
  ): AsyncEither<Refusal, Grant> {
    const { clock, configuration } = this.#services;
    const startedMs = clock.monotonicMs();
    const draft = this.#draftOf(request);
    const patienceMs = request.deadlineMs === undefined
      ? DEFAULT_PATIENCE_MS
      : request.deadlineMs - clock.nowMs();
    let refused: Either<Refusal, Grant> = Left(NO_GROUP);
    const isKnown = configuration.findService(request.service) !== undefined;
    const groups = isKnown ? this.#groups.groupsOf(request.service) : [];
    for (const group of groups) {
      const leftMs = patienceMs - (clock.monotonicMs() - startedMs);
      const asked = await this.#asker.ask(group, draft, leftMs, signal);
      const answer = asked.map((grant) => ({
        ...grant,
        priority: draft.priority,
        waitMs: clock.monotonicMs() - startedMs,
      }));
      if (leftOf(answer)?.reason !== "no-endpoint") return answer;
      refused = answer;
    }
    return refused;
  }

  /** {@inheritDoc Dispatcher.reportProgress} */
  reportProgress(id: GrantId, generatedTokens: number): void {
    this.#asker.progress(id, generatedTokens);
  }

  /** {@inheritDoc Dispatcher.release} */
  release(id: GrantId, end: GrantEnd, generatedTokens: number): void {
    this.#asker.release({ id, end, generatedTokens });
  }

  /** Groups that this daemon dispatches, for status and metrics. */
  get hosted(): ReadonlyMap<GroupId, GroupHost> {
    return this.#hosts;
  }

  /** Leaves the channel and stops all groups. */
  dispose(): void {
    this.#owned.dispose();
    for (const host of this.#hosts.values()) host.dispose();
  }

  #draftOf(request: GrantRequest): GroupRequestDraft {
    const { configuration } = this.#services;
    const { service, workspace, className, prompt, maxTokens } = request;
    const knownClass = configuration.findClassOfService(service, className);
    const known = configuration.findWorkspaceConfig(workspace);
    return {
      workspace,
      className,
      maxTokens,
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      blocks: hashBlocks(prompt, MAX_HASHED_BLOCKS),
      sizeBytes: request.sizeBytes,
      excludedEndpoints: request.excludedEndpoints,
      priority: knownClass?.priority ?? 0,
      starvationMs: knownClass?.starvationMs ?? DEFAULT_STARVATION_MS,
      share: known?.share ?? 1,
      limit: {
        tokensPerSecond: known?.tokensPerSecond,
        maxConcurrent: known?.maxConcurrent,
      },
    };
  }

  /** The group's dispatcher, or this daemon when it cannot be reached. */
  #reachOwner(group: EndpointGroup): HostId {
    const known = this.#reached.get(group.id);
    if (known !== undefined) return known;
    const { host, links } = this.#services;
    const owner = this.#groups.ownerOf(group) ?? host;
    const reached = links.connectedHosts().includes(owner) ? owner : host;
    this.#reached.set(group.id, reached);
    return reached;
  }

  #send(to: HostId, message: DispatchMessage): boolean {
    const { host } = this.#services;
    if (to !== host) return this.#channel.send(to, message) === "queued";
    this.#receive(host, message);
    return true;
  }

  #receive(from: HostId, message: DispatchMessage): void {
    switch (message.kind) {
      case "request":
        this.#hostOf(message)?.receive(from, message);
        return;
      case "abandon":
      case "progress":
      case "release":
      case "grants-in-use":
        this.#hosts.get(message.group)?.receive(from, message);
        return;
      case "queued":
      case "granted":
      case "refused":
      case "ask-grants":
        this.#asker.receive(from, message);
        return;
    }
  }

  /** Any daemon may be asked; one that is not the owner uses a part only. */
  #hostOf({ service, group }: DispatchMessage): GroupHost | undefined {
    const known = this.#hosts.get(group);
    if (known) return known;
    const found = this.#groups.groupsOf(service).find(({ id }) => id === group);
    return found ? this.#createHost(found) : undefined;
  }

  #createHost(group: EndpointGroup): GroupHost {
    const { configuration, endpoints, clock, engines } = this.#services;
    const config = configuration.findService(group.service)?.config;
    const host = new GroupHost({
      clock,
      engines,
      group: { ...group, endpoints: this.#inOwnOrder(group) },
      isEngine: config?.kind === "engine",
      policy: policyFor(config?.favour ?? "stall"),
      lengths: new LengthKnowledge(),
      random: this.#random,
      send: (to, message) => void this.#send(to, message),
      onLeaving: (endpoint, incarnation) =>
        endpoints.markLeaving(
          group.service,
          endpoint,
          "load report",
          incarnation,
        ),
    });
    this.#hosts.set(group.id, host);
    this.#updateOwnership(group, host);
    return host;
  }

  /** Daemons that dispatch alone do not all begin with the same endpoint. */
  #inOwnOrder(group: EndpointGroup): readonly KnownEndpoint[] {
    const { host, hasher } = this.#services;
    const { endpoints } = group;
    if (this.#groups.ownerOf(group) === host) return endpoints;
    const first = hasher.hash32(host) % Math.max(1, endpoints.length);
    return [...endpoints.slice(first), ...endpoints.slice(0, first)];
  }

  #updateOwnership(group: EndpointGroup, groupHost: GroupHost): void {
    const { clock, host } = this.#services;
    const isOwner = this.#groups.ownerOf(group) === host;
    const wasOwner = this.#ownedGroups.has(group.id);
    const share = isOwner ? 1 : this.#groups.shareWithoutOwner();
    groupHost.core.setShare(share, clock.monotonicMs());
    if (!isOwner) this.#ownedGroups.delete(group.id);
    else if (!wasOwner) {
      this.#ownedGroups.add(group.id);
      groupHost.takeOver([...this.#memberHosts]);
    }
  }

  /** Brings the groups of a service up to date with the directory. */
  #refresh(service: ServiceId): void {
    const nowMs = this.#services.clock.monotonicMs();
    this.#groups.forget(service);
    const groups = this.#groups.groupsOf(service);
    const ids = new Set(groups.map(({ id }) => id));
    for (const group of groups) {
      const known = this.#hosts.get(group.id);
      if (known) {
        known.core.setEndpoints(this.#inOwnOrder(group), nowMs);
        this.#updateOwnership(group, known);
      } else if (this.#groups.ownerOf(group) === this.#services.host) {
        this.#createHost(group);
      }
    }
    for (const [id, host] of [...this.#hosts]) {
      if (!id.startsWith(`${service}|`) || ids.has(id)) continue;
      // Grants in use keep the dispatcher; nothing new is granted.
      host.core.setEndpoints([], nowMs);
    }
  }

  #onMembersChanged(): void {
    const { membership, configuration } = this.#services;
    this.#reached.clear();
    const present = hostsOf(membership);
    for (const gone of this.#memberHosts) {
      if (present.has(gone)) continue;
      for (const host of this.#hosts.values()) host.onHostGone(gone);
    }
    this.#memberHosts = present;
    for (const { document, team } of configuration.revisions()) {
      for (const name of Object.keys(document?.services ?? {})) {
        this.#refresh(toServiceId(team, name));
      }
    }
    this.#asker.checkDispatchers();
  }

  #tick(): void {
    const nowMs = this.#services.clock.monotonicMs();
    for (const { core } of this.#hosts.values()) {
      if (core.queuedCount > 0) core.tick(nowMs);
    }
    this.#asker.checkDispatchers();
  }
}

const NO_GROUP: Refusal = {
  reason: "no-endpoint",
  detail: "no endpoint of the service can take the request",
  retryAfterMs: NO_GROUP_RETRY_MS,
};

function hostsOf(membership: Membership): ReadonlySet<HostId> {
  return new Set(membership.members().map(({ host }) => host));
}
