/**
 * Dispatcher of a daemon in a fleet. It runs the groups that this daemon owns
 * and requests grants for all other groups from their owners. If the owner of a
 * group cannot be reached, the daemon dispatches the group itself and uses only
 * its own share of the endpoints.
 */

import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
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

/** Interval at which queues and pending requests are checked. */
const TICK_MS = 100;
const PROGRESS_PERIOD_MS = 500;
/** Maximum wait of a request without a deadline. */
const DEFAULT_WAIT_TIMEOUT_MS = 24 * 3_600_000;
const DEFAULT_STARVATION_MS = 60_000;
const CHARACTERS_PER_TOKEN = 4;
const MAX_HASHED_BLOCKS = 64;
const NO_GROUP_RETRY_AFTER_MS = 2_000;

/** Dependencies of a {@link PeerDispatcher}. */
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

/** Distributes dispatching over the daemons of an availability zone. */
export class PeerDispatcher implements Dispatcher, Disposable {
  readonly #services: PeerDispatcherServices;
  readonly #groups: DispatchGroups;
  readonly #grantClient: GrantClient;
  readonly #channel: PeerChannel<DispatchMessage>;
  readonly #groupServers = new Map<GroupId, GroupDispatchServer>();
  /** Groups that this daemon owned at the last update. */
  readonly #ownedGroups = new Set<GroupId>();
  /**
   * Resolved dispatcher of each group; cleared when a member or a peer link
   * changes.
   */
  readonly #resolvedDispatchers = new Map<GroupId, HostId>();
  readonly #random: SeededRandom;
  readonly #disposables = new DisposableStore();
  #memberHosts: ReadonlySet<HostId>;

  /** @param services - Dependencies of the dispatcher. */
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
    this.#disposables.add(runPeriodically(clock, TICK_MS, () => this.#tick()));
    this.#disposables.add(
      runPeriodically(
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
    const timeoutMs = request.deadlineMs === undefined
      ? DEFAULT_WAIT_TIMEOUT_MS
      : request.deadlineMs - clock.nowMs();
    let lastRefusal: Either<Refusal, Grant> = Left(NO_GROUP_REFUSAL);
    const isConfigured =
      configuration.findService(request.service) !== undefined;
    const groups = isConfigured ? this.#groups.groupsOf(request.service) : [];
    for (const group of groups) {
      const remainingMs = timeoutMs - (clock.monotonicMs() - startedMs);
      const result = await this.#grantClient.acquire(
        group,
        draft,
        remainingMs,
        signal,
      );
      const response = result.map((grant) => ({
        ...grant,
        priority: draft.priority,
        waitMs: clock.monotonicMs() - startedMs,
      }));
      if (leftOf(response)?.reason !== "no-endpoint") return response;
      lastRefusal = response;
    }
    return lastRefusal;
  }

  /** {@inheritDoc Dispatcher.reportProgress} */
  reportProgress(id: GrantId, generatedTokens: number): void {
    this.#grantClient.recordProgress(id, generatedTokens);
  }

  /** {@inheritDoc Dispatcher.release} */
  release(id: GrantId, end: GrantEndReason, generatedTokens: number): void {
    this.#grantClient.release({ id, end, generatedTokens });
  }

  /** Groups that this daemon currently dispatches. */
  get groupServers(): ReadonlyMap<GroupId, GroupDispatchServer> {
    return this.#groupServers;
  }

  /** Closes the peer channel and stops all groups. */
  dispose(): void {
    this.#disposables.dispose();
    for (const server of this.#groupServers.values()) server.dispose();
  }

  #draftOf(request: GrantRequest): GroupRequestDraft {
    const { configuration } = this.#services;
    const { service, workspace, className, prompt, maxTokens } = request;
    const classConfig = configuration.findClassOfService(service, className);
    const workspaceConfig = configuration.findWorkspaceConfig(workspace);
    return {
      workspace,
      className,
      maxTokens,
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      blocks: hashPromptBlocks(prompt, MAX_HASHED_BLOCKS),
      sizeBytes: request.sizeBytes,
      excludedEndpoints: request.excludedEndpoints,
      priority: classConfig?.priority ?? 0,
      starvationMs: classConfig?.starvationMs ?? DEFAULT_STARVATION_MS,
      share: workspaceConfig?.share ?? 1,
      limit: {
        tokensPerSecond: workspaceConfig?.tokensPerSecond,
        maxConcurrent: workspaceConfig?.maxConcurrent,
      },
    };
  }

  /**
   * Returns the host that dispatches a group, or the local host if the owner
   * cannot be reached.
   */
  #resolveDispatcher(group: EndpointGroup): HostId {
    const cached = this.#resolvedDispatchers.get(group.id);
    if (cached !== undefined) return cached;
    const { host, links } = this.#services;
    const owner = this.#groups.ownerOf(group) ?? host;
    const dispatcher = links.connectedHosts().includes(owner) ? owner : host;
    this.#resolvedDispatchers.set(group.id, dispatcher);
    return dispatcher;
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

  /**
   * Returns the local server of a group and creates it on demand. Any daemon
   * may receive requests for a group; a daemon that is not the owner uses only
   * a share of the endpoints.
   */
  #serverFor(
    { service, group }: DispatchMessage,
  ): GroupDispatchServer | undefined {
    const existing = this.#groupServers.get(group);
    if (existing) return existing;
    const found = this.#groups.groupsOf(service).find(({ id }) => id === group);
    return found ? this.#createServer(found) : undefined;
  }

  #createServer(group: EndpointGroup): GroupDispatchServer {
    const { configuration, endpoints, clock, engines } = this.#services;
    const config = configuration.findService(group.service)?.config;
    const server = new GroupDispatchServer({
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
    this.#groupServers.set(group.id, server);
    this.#updateOwnership(group, server);
    return server;
  }

  /**
   * Rotates the endpoints of a group that this daemon does not own, so that
   * daemons dispatching it independently do not all prefer the same endpoint.
   */
  #rotateEndpoints(group: EndpointGroup): readonly DirectoryEndpoint[] {
    const { host, hasher } = this.#services;
    const { endpoints } = group;
    if (this.#groups.ownerOf(group) === host) return endpoints;
    const offset = hasher.hash32(host) % Math.max(1, endpoints.length);
    return [...endpoints.slice(offset), ...endpoints.slice(0, offset)];
  }

  #updateOwnership(group: EndpointGroup, server: GroupDispatchServer): void {
    const { clock, host } = this.#services;
    const isOwner = this.#groups.ownerOf(group) === host;
    const wasOwner = this.#ownedGroups.has(group.id);
    const share = isOwner ? 1 : this.#groups.fallbackShare();
    server.dispatcher.setEndpointShare(share, clock.monotonicMs());
    if (!isOwner) this.#ownedGroups.delete(group.id);
    else if (!wasOwner) {
      this.#ownedGroups.add(group.id);
      server.takeOver([...this.#memberHosts]);
    }
  }

  /** Synchronizes the groups of a service with the endpoint directory. */
  #updateGroups(service: ServiceId): void {
    const nowMs = this.#services.clock.monotonicMs();
    this.#groups.invalidate(service);
    const groups = this.#groups.groupsOf(service);
    const ids = new Set(groups.map(({ id }) => id));
    for (const group of groups) {
      const server = this.#groupServers.get(group.id);
      if (server) {
        server.dispatcher.setEndpoints(this.#rotateEndpoints(group), nowMs);
        this.#updateOwnership(group, server);
      } else if (this.#groups.ownerOf(group) === this.#services.host) {
        this.#createServer(group);
      }
    }
    for (const [id, server] of [...this.#groupServers]) {
      if (!id.startsWith(`${service}|`) || ids.has(id)) continue;
      // The server stays available for the grants in use, but issues no new
      // ones.
      server.dispatcher.setEndpoints([], nowMs);
    }
  }

  #onMembersChanged(): void {
    const { membership, configuration } = this.#services;
    this.#resolvedDispatchers.clear();
    const currentHosts = hostIdsOf(membership);
    for (const host of this.#memberHosts) {
      if (currentHosts.has(host)) continue;
      for (const server of this.#groupServers.values()) server.onHostLeft(host);
    }
    this.#memberHosts = currentHosts;
    for (const { document, team } of configuration.revisions()) {
      for (const name of Object.keys(document?.services ?? {})) {
        this.#updateGroups(toServiceId(team, name));
      }
    }
    this.#grantClient.checkDispatchers();
  }

  #tick(): void {
    const nowMs = this.#services.clock.monotonicMs();
    for (const { dispatcher } of this.#groupServers.values()) {
      if (dispatcher.queuedCount > 0) dispatcher.tick(nowMs);
    }
    this.#grantClient.checkDispatchers();
  }
}

const NO_GROUP_REFUSAL: Refusal = {
  reason: "no-endpoint",
  detail: "no endpoint of the service is available",
  retryAfterMs: NO_GROUP_RETRY_AFTER_MS,
};

function hostIdsOf(membership: Membership): ReadonlySet<HostId> {
  return new Set(membership.members().map(({ host }) => host));
}
