/**
 * Runs the dispatcher of one endpoint group on this daemon and serves the
 * requests that daemons send to it.
 */

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

/**
 * Maximum time that a takeover waits for other daemons to report the grants
 * they hold.
 */
const TAKEOVER_TIMEOUT_MS = 2_000;

/** Dependencies and configuration of a {@link GroupDispatchServer}. */
export interface GroupDispatchServerOptions
  extends
    Omit<GroupDispatcherOptions, "listener" | "nowMs">,
    Omit<EndpointMonitorOptions, "group"> {
  readonly group: EndpointGroup;
  /** Whether the endpoints are engines, which report load and cache events. */
  readonly isEngine: boolean;
  /** Sends a message to a host, which may be the local one. */
  send(to: HostId, message: DispatchMessage): void;
}

/**
 * Translates between dispatch messages and a {@link GroupDispatcher}, and
 * remembers which host requested each grant.
 */
export class GroupDispatchServer implements Disposable {
  readonly dispatcher: GroupDispatcher;
  readonly #options: GroupDispatchServerOptions;
  readonly #monitor: EndpointMonitor | undefined;
  readonly #requesters = new Map<GrantId, HostId>();
  readonly #grants = new Map<GrantId, GroupGrant>();
  readonly #pendingTakeoverHosts = new Set<HostId>();

  /** @param options - Dependencies and configuration of the server. */
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
   * Takes over the group by requesting the grants in use from every daemon.
   *
   * @param members - All daemons, including this one.
   */
  takeOver(members: readonly HostId[]): void {
    const { clock } = this.#options;
    this.dispatcher.beginTakeover(clock.monotonicMs() + TAKEOVER_TIMEOUT_MS);
    for (const host of members) this.#pendingTakeoverHosts.add(host);
    for (const host of members) {
      this.#send(host, { ...this.#groupFields(), kind: "ask-grants" });
    }
  }

  /** Handles a message that is addressed to a dispatcher. */
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
        // These messages are addressed to the requester of a grant.
        return;
      default:
        assertNever(message);
    }
  }

  /** Releases all grants of a daemon that has left the fleet. */
  onHostLeft(host: HostId): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [id, requester] of [...this.#requesters]) {
      if (requester !== host) continue;
      this.#remove(id);
      this.dispatcher.release(
        { id, end: "cancelled", generatedTokens: 0 },
        nowMs,
      );
    }
    this.#onTakeoverResponse(host);
  }

  /** Stops monitoring the endpoints. */
  dispose(): void {
    this.#monitor?.dispose();
  }

  /**
   * Queues a request, or repeats the earlier decision if the request was
   * resent.
   */
  #onRequest(from: HostId, request: GroupRequest): void {
    const { id } = request;
    const grant = this.#grants.get(id);
    if (grant) {
      this.#send(from, {
        ...this.#groupFields(),
        kind: "granted",
        grant,
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
    const requester = this.#requesters.get(grant.id);
    if (requester === undefined) return;
    this.#send(requester, { ...this.#groupFields(), kind: "granted", grant });
  }

  #onRefused(id: GrantId, refusal: Refusal): void {
    const requester = this.#requesters.get(id);
    this.#remove(id);
    if (requester === undefined) return;
    this.#send(requester, {
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
