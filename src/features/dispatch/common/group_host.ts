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
const TAKEOVER_MS = 2_000;

/** What a group's host works with. */
export interface GroupHostOptions
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
export class GroupHost implements Disposable {
  readonly core: GroupDispatcher;
  readonly #options: GroupHostOptions;
  readonly #monitor: EndpointMonitor | undefined;
  readonly #holders = new Map<GrantId, HostId>();
  readonly #given = new Map<GrantId, GroupGrant>();
  readonly #unanswered = new Set<HostId>();

  /** @param options - What the host works with. */
  constructor(options: GroupHostOptions) {
    this.#options = options;
    const { clock, group, isEngine } = options;
    this.core = new GroupDispatcher({
      ...options,
      nowMs: clock.monotonicMs(),
      listener: {
        onGranted: (grant) => this.#onGranted(grant),
        onRefused: (id, refusal) => this.#onRefused(id, refusal),
      },
    });
    this.core.setEndpoints(group.endpoints, clock.monotonicMs());
    this.#monitor = isEngine
      ? new EndpointMonitor({ ...options, group: this.core })
      : undefined;
  }

  /**
   * Asks all daemons for the grants that they use.
   *
   * @param members - The daemons, this one included.
   */
  takeOver(members: readonly HostId[]): void {
    const { clock } = this.#options;
    this.core.beginTakeover(clock.monotonicMs() + TAKEOVER_MS);
    for (const host of members) this.#unanswered.add(host);
    for (const host of members) {
      this.#send(host, { ...this.#base(), kind: "ask-grants" });
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
        this.#forget(message.id);
        this.core.abandon(message.id);
        return;
      case "progress":
        for (const { id, generatedTokens } of message.items) {
          this.core.progress(id, generatedTokens);
        }
        return;
      case "release":
        this.#forget(message.release.id);
        this.core.release(message.release, nowMs);
        return;
      case "grants-in-use":
        for (const grant of message.grants) {
          this.#holders.set(grant.request.id, from);
          this.core.adopt(grant, nowMs);
        }
        this.#onAnswered(from);
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
  onHostGone(host: HostId): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [id, holder] of [...this.#holders]) {
      if (holder !== host) continue;
      this.#forget(id);
      this.core.release(
        { id, end: "cancelled", generatedTokens: 0 },
        nowMs,
      );
    }
    this.#onAnswered(host);
  }

  /** Stops the monitor. */
  dispose(): void {
    this.#monitor?.dispose();
  }

  /** A repeated request is told again what was decided. */
  #onRequest(from: HostId, request: GroupRequest): void {
    const { id } = request;
    const given = this.#given.get(id);
    if (given) {
      this.#send(from, { ...this.#base(), kind: "granted", grant: given });
      return;
    }
    this.#holders.set(id, from);
    this.core.request(request, this.#options.clock.monotonicMs());
    if (!this.#holders.has(id) || this.#given.has(id)) return;
    this.#send(from, { ...this.#base(), kind: "queued", id });
  }

  #onGranted(grant: GroupGrant): void {
    this.#given.set(grant.id, grant);
    const holder = this.#holders.get(grant.id);
    if (holder === undefined) return;
    this.#send(holder, { ...this.#base(), kind: "granted", grant });
  }

  #onRefused(id: GrantId, refusal: Refusal): void {
    const holder = this.#holders.get(id);
    this.#forget(id);
    if (holder === undefined) return;
    this.#send(holder, { ...this.#base(), kind: "refused", id, refusal });
  }

  #onAnswered(host: HostId): void {
    if (!this.#unanswered.delete(host) || this.#unanswered.size > 0) return;
    this.core.endTakeover(this.#options.clock.monotonicMs());
  }

  #forget(id: GrantId): void {
    this.#holders.delete(id);
    this.#given.delete(id);
  }

  #base(): Pick<DispatchMessage, "service" | "group"> {
    const { service, id } = this.#options.group;
    return { service, group: id };
  }

  #send(to: HostId, message: DispatchMessage): void {
    this.#options.send(to, message);
  }
}
