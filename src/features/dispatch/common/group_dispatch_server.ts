/** A group's dispatcher at work in this daemon, for all who ask it. */

import { assertNever } from "../../../base/common/errors.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { EndpointGroup } from "./dispatch_groups.ts";
import type { DispatchMessage } from "./dispatch_messages.ts";
import type { GrantId, Refusal } from "./dispatcher.ts";
import {
  EndpointMonitor,
  type EndpointMonitorOptions,
} from "./endpoint_monitor.ts";
import {
  GroupDispatcher,
  type GroupDispatcherOptions,
} from "./group_dispatcher.ts";
import type { GroupGrant, GroupRequest } from "./group_requests.ts";

/** Time for which a takeover waits for the grants in use. */
const TAKEOVER_TIMEOUT_MS = 2_000;

/** What a group's host works with. */
export interface GroupDispatchServerOptions
  extends
    Omit<GroupDispatcherOptions, "listener" | "nowMs">,
    Omit<EndpointMonitorOptions, "group"> {
  readonly group: EndpointGroup;
  /** Whether the endpoints report load and cache events. */
  readonly isEngine: boolean;
  /** Sends a message to a host, which may be this one. */
  send(to: HostId, message: DispatchMessage): void;
}

/** Answers the messages to the dispatcher of one group. */
export class GroupDispatchServer implements Disposable {
  readonly dispatcher: GroupDispatcher;
  readonly #options: GroupDispatchServerOptions;
  readonly #monitor: EndpointMonitor | undefined;
  readonly #requesters = new Map<GrantId, HostId>();
  readonly #grants = new Map<GrantId, GroupGrant>();
  readonly #pendingTakeoverHosts = new Set<HostId>();

  /** @param options - What the host works with. */
  constructor(options: GroupDispatchServerOptions) {
    this.#options = options;
    const { clock, group, isEngine } = options;
    this.dispatcher = new GroupDispatcher({
      ...options,
      nowMs: clock.monotonicMs(),
      listener: {
        onGranted: (grant) => this.#onGranted(grant),
        onRefused: (id, refusal) => this.#onRefused(id, refusal),
      },
    });
    this.dispatcher.setEndpoints(group.endpoints, clock.monotonicMs());
    this.#monitor = isEngine
      ? new EndpointMonitor({ ...options, group: this.dispatcher })
      : undefined;
  }

  /**
   * Asks all daemons for the grants that they use.
   *
   * @param members - The daemons, this one included.
   */
  takeOver(members: readonly HostId[]): void {
    const { clock } = this.#options;
    this.dispatcher.beginTakeover(clock.monotonicMs() + TAKEOVER_TIMEOUT_MS);
    for (const host of members) this.#pendingTakeoverHosts.add(host);
    for (const host of members) {
      this.#send(host, { ...this.#groupFields(), kind: "ask-grants" });
    }
  }

  /** Handles a message that is meant for a dispatcher. */
  receive(from: HostId, message: DispatchMessage): void {
    const nowMs = this.#options.clock.monotonicMs();
    switch (message.kind) {
      case "request":
        this.#onRequest(from, message.request);
        return;
      case "abandon":
        this.#remove(message.id);
        this.dispatcher.abandon(message.id);
        return;
      case "progress":
        for (const { id, generatedTokens } of message.items) {
          this.dispatcher.recordProgress(id, generatedTokens);
        }
        return;
      case "release":
        this.#remove(message.release.id);
        this.dispatcher.release(message.release, nowMs);
        return;
      case "grants-in-use":
        for (const grant of message.grants) {
          this.#requesters.set(grant.request.id, from);
          this.dispatcher.adoptGrant(grant, nowMs);
        }
        this.#onTakeoverResponse(from);
        return;
      case "queued":
      case "granted":
      case "refused":
      case "ask-grants":
        // Meant for the one who asks.
        return;
      default:
        assertNever(message);
    }
  }

  /** Releases what a daemon that has gone held. */
  onHostLeft(host: HostId): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [id, holder] of [...this.#requesters]) {
      if (holder !== host) continue;
      this.#remove(id);
      this.dispatcher.release(
        { id, end: "cancelled", generatedTokens: 0 },
        nowMs,
      );
    }
    this.#onTakeoverResponse(host);
  }

  /** Stops the monitor. */
  dispose(): void {
    this.#monitor?.dispose();
  }

  /** A repeated request is told again what was decided. */
  #onRequest(from: HostId, request: GroupRequest): void {
    const { id } = request;
    const given = this.#grants.get(id);
    if (given) {
      this.#send(from, {
        ...this.#groupFields(),
        kind: "granted",
        grant: given,
      });
      return;
    }
    this.#requesters.set(id, from);
    this.dispatcher.submit(request, this.#options.clock.monotonicMs());
    if (!this.#requesters.has(id) || this.#grants.has(id)) return;
    this.#send(from, { ...this.#groupFields(), kind: "queued", id });
  }

  #onGranted(grant: GroupGrant): void {
    this.#grants.set(grant.id, grant);
    const holder = this.#requesters.get(grant.id);
    if (holder === undefined) return;
    this.#send(holder, { ...this.#groupFields(), kind: "granted", grant });
  }

  #onRefused(id: GrantId, refusal: Refusal): void {
    const holder = this.#requesters.get(id);
    this.#remove(id);
    if (holder === undefined) return;
    this.#send(holder, {
      ...this.#groupFields(),
      kind: "refused",
      id,
      refusal,
    });
  }

  #onTakeoverResponse(host: HostId): void {
    if (
      !this.#pendingTakeoverHosts.delete(host) ||
      this.#pendingTakeoverHosts.size > 0
    ) return;
    this.dispatcher.endTakeover(this.#options.clock.monotonicMs());
  }

  #remove(id: GrantId): void {
    this.#requesters.delete(id);
    this.#grants.delete(id);
  }

  #groupFields(): Pick<DispatchMessage, "service" | "group"> {
    const { service, id } = this.#options.group;
    return { service, group: id };
  }

  #send(to: HostId, message: DispatchMessage): void {
    this.#options.send(to, message);
  }
}
