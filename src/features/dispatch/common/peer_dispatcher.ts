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
import { hashPromptBlocks } from "../../../services/endpoints/common/prompt_blocks.ts";
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
  DirectoryEndpoint,
  EndpointDirectory,
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
  GrantEndReason,
  GrantId,
  GrantRequest,
  Refusal,
} from "./dispatcher.ts";
import { GrantClient, type GroupRequestDraft } from "./grant_client.ts";
import { GroupDispatchServer } from "./group_dispatch_server.ts";
import { policyFor } from "./group_policy.ts";
import { HistogramLengthModel } from "./length_model.ts";

const TICK_MS = 100;
const PROGRESS_PERIOD_MS = 500;
/** Patience of a request that sets no deadline. */
const DEFAULT_WAIT_TIMEOUT_MS = 24 * 3_600_000;
const DEFAULT_STARVATION_MS = 60_000;
const CHARACTERS_PER_TOKEN = 4;
const MAX_HASHED_BLOCKS = 64;
const NO_GROUP_RETRY_AFTER_MS = 2_000;

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
  readonly #grantClient: GrantClient;
  readonly #channel: PeerChannel<DispatchMessage>;
  readonly #groupServers = new Map<GroupId, GroupDispatchServer>();
  /** Groups that this daemon owned when it last looked. */
  readonly #ownedGroups = new Set<GroupId>();
  /** Dispatchers that were reached, until a member or a link changes. */
  readonly #resolvedDispatchers = new Map<GroupId, HostId>();
  readonly #random: SeededRandom;
  readonly #disposables = new DisposableStore();
  #memberHosts: ReadonlySet<HostId>;

  /** @param services - What the dispatcher works with. */
  constructor(services: PeerDispatcherServices) {
    const { clock, endpoints, membership, hasher, links, host } = services;
    this.#services = services;
    this.#groups = new DispatchGroups(endpoints, membership, hasher);
    this.#random = new SeededRandom(hasher.hash32(host));
    this.#memberHosts = hostIdsOf(membership);
    this.#channel = this.#disposables.add(links.openChannel(DISPATCH_CHANNEL));
    this.#grantClient = new GrantClient({
      clock,
      host,
      resolveDispatcher: (group) => this.#resolveDispatcher(group),
      send: (to, message) => this.#send(to, message),
    });
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) => this.#receive(from, body)),
    );
    this.#disposables.add(
      endpoints.onDidChangeEndpoints((service) => this.#updateGroups(service)),
    );
    this.#disposables.add(
      membership.onDidChangeMembers(() => this.#onMembersChanged()),
    );
    this.#disposables.add(
      links.onDidChangeLink(() => {
        this.#resolvedDispatchers.clear();
        this.#grantClient.checkDispatchers();
      }),
    );
    this.#disposables.add(setPeriodicTimer(clock, TICK_MS, () => this.#tick()));
    this.#disposables.add(
      setPeriodicTimer(
        clock,
        PROGRESS_PERIOD_MS,
        () => this.#grantClient.flushProgress(),
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
      ? DEFAULT_WAIT_TIMEOUT_MS
      : request.deadlineMs - clock.nowMs();
    let refused: Either<Refusal, Grant> = Left(NO_GROUP_REFUSAL);
    const isKnown = configuration.findService(request.service) !== undefined;
    const groups = isKnown ? this.#groups.groupsOf(request.service) : [];
    for (const group of groups) {
      const leftMs = patienceMs - (clock.monotonicMs() - startedMs);
      const asked = await this.#grantClient.acquire(
        group,
        draft,
        leftMs,
        signal,
      );
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
    this.#grantClient.recordProgress(id, generatedTokens);
  }

  /** {@inheritDoc Dispatcher.release} */
  release(id: GrantId, end: GrantEndReason, generatedTokens: number): void {
    this.#grantClient.release({ id, end, generatedTokens });
  }

  /** Groups that this daemon dispatches, for status and metrics. */
  get groupServers(): ReadonlyMap<GroupId, GroupDispatchServer> {
    return this.#groupServers;
  }

  /** Leaves the channel and stops all groups. */
  dispose(): void {
    this.#disposables.dispose();
    for (const host of this.#groupServers.values()) host.dispose();
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
      blocks: hashPromptBlocks(prompt, MAX_HASHED_BLOCKS),
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
  #resolveDispatcher(group: EndpointGroup): HostId {
    const known = this.#resolvedDispatchers.get(group.id);
    if (known !== undefined) return known;
    const { host, links } = this.#services;
    const owner = this.#groups.ownerOf(group) ?? host;
    const reached = links.connectedHosts().includes(owner) ? owner : host;
    this.#resolvedDispatchers.set(group.id, reached);
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
        this.#serverFor(message)?.receive(from, message);
        return;
      case "abandon":
      case "progress":
      case "release":
      case "grants-in-use":
        this.#groupServers.get(message.group)?.receive(from, message);
        return;
      case "queued":
      case "granted":
      case "refused":
      case "ask-grants":
        this.#grantClient.receive(from, message);
        return;
    }
  }

  /** Any daemon may be asked; one that is not the owner uses a part only. */
  #serverFor(
    { service, group }: DispatchMessage,
  ): GroupDispatchServer | undefined {
    const known = this.#groupServers.get(group);
    if (known) return known;
    const found = this.#groups.groupsOf(service).find(({ id }) => id === group);
    return found ? this.#createServer(found) : undefined;
  }

  #createServer(group: EndpointGroup): GroupDispatchServer {
    const { configuration, endpoints, clock, engines } = this.#services;
    const config = configuration.findService(group.service)?.config;
    const host = new GroupDispatchServer({
      clock,
      engines,
      group: { ...group, endpoints: this.#rotateEndpoints(group) },
      isEngine: config?.kind === "engine",
      policy: policyFor(config?.favour ?? "stall"),
      lengths: new HistogramLengthModel(),
      random: this.#random,
      send: (to, message) => void this.#send(to, message),
      onDraining: (endpoint, incarnation) =>
        endpoints.markDraining(
          group.service,
          endpoint,
          "load report",
          incarnation,
        ),
    });
    this.#groupServers.set(group.id, host);
    this.#updateOwnership(group, host);
    return host;
  }

  /** Daemons that dispatch alone do not all begin with the same endpoint. */
  #rotateEndpoints(group: EndpointGroup): readonly DirectoryEndpoint[] {
    const { host, hasher } = this.#services;
    const { endpoints } = group;
    if (this.#groups.ownerOf(group) === host) return endpoints;
    const first = hasher.hash32(host) % Math.max(1, endpoints.length);
    return [...endpoints.slice(first), ...endpoints.slice(0, first)];
  }

  #updateOwnership(group: EndpointGroup, groupHost: GroupDispatchServer): void {
    const { clock, host } = this.#services;
    const isOwner = this.#groups.ownerOf(group) === host;
    const wasOwner = this.#ownedGroups.has(group.id);
    const share = isOwner ? 1 : this.#groups.fallbackShare();
    groupHost.dispatcher.setEndpointShare(share, clock.monotonicMs());
    if (!isOwner) this.#ownedGroups.delete(group.id);
    else if (!wasOwner) {
      this.#ownedGroups.add(group.id);
      groupHost.takeOver([...this.#memberHosts]);
    }
  }

  /** Brings the groups of a service up to date with the directory. */
  #updateGroups(service: ServiceId): void {
    const nowMs = this.#services.clock.monotonicMs();
    this.#groups.invalidate(service);
    const groups = this.#groups.groupsOf(service);
    const ids = new Set(groups.map(({ id }) => id));
    for (const group of groups) {
      const known = this.#groupServers.get(group.id);
      if (known) {
        known.dispatcher.setEndpoints(this.#rotateEndpoints(group), nowMs);
        this.#updateOwnership(group, known);
      } else if (this.#groups.ownerOf(group) === this.#services.host) {
        this.#createServer(group);
      }
    }
    for (const [id, host] of [...this.#groupServers]) {
      if (!id.startsWith(`${service}|`) || ids.has(id)) continue;
      // Grants in use keep the dispatcher; nothing new is granted.
      host.dispatcher.setEndpoints([], nowMs);
    }
  }

  #onMembersChanged(): void {
    const { membership, configuration } = this.#services;
    this.#resolvedDispatchers.clear();
    const present = hostIdsOf(membership);
    for (const gone of this.#memberHosts) {
      if (present.has(gone)) continue;
      for (const host of this.#groupServers.values()) host.onHostLeft(gone);
    }
    this.#memberHosts = present;
    for (const { document, team } of configuration.revisions()) {
      for (const name of Object.keys(document?.services ?? {})) {
        this.#updateGroups(toServiceId(team, name));
      }
    }
    this.#grantClient.checkDispatchers();
  }

  #tick(): void {
    const nowMs = this.#services.clock.monotonicMs();
    for (const { dispatcher: core } of this.#groupServers.values()) {
      if (core.queuedCount > 0) core.tick(nowMs);
    }
    this.#grantClient.checkDispatchers();
  }
}

const NO_GROUP_REFUSAL: Refusal = {
  reason: "no-endpoint",
  detail: "no endpoint of the service can take the request",
  retryAfterMs: NO_GROUP_RETRY_AFTER_MS,
};

function hostIdsOf(membership: Membership): ReadonlySet<HostId> {
  return new Set(membership.members().map(({ host }) => host));
}
