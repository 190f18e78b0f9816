/**
 * Requests grants from dispatchers on behalf of the local daemon and tracks the
 * grants that the daemon holds.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { assertNever } from "../../../base/common/errors.ts";
import { asId, type HostId } from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type { EndpointGroup } from "./dispatch_groups.ts";
import type { DispatchMessage } from "./dispatch_messages.ts";
import type { GrantId, Refusal } from "./dispatcher.ts";
import type {
  GrantInUse,
  GrantRelease,
  GroupGrant,
  GroupRequest,
} from "./group_requests.ts";

/**
 * Time without a response after which a dispatcher is considered unresponsive.
 */
const RESPONSE_TIMEOUT_MS = 1_500;
/** Interval at which an undecided request is resent. */
const RESEND_PERIOD_MS = 500;

/**
 * Request without the fields that change when it is redirected to another
 * dispatcher.
 */
export type GroupRequestDraft = Omit<GroupRequest, "id" | "patienceMs">;

/** Dependencies of a {@link GrantClient}. */
export interface GrantClientOptions {
  readonly clock: Clock;
  readonly host: HostId;
  /**
   * @returns The host that dispatches the group, or the local host if the
   * dispatcher cannot be reached.
   */
  resolveDispatcher(group: EndpointGroup): HostId;
  /**
   * @returns Whether the message was queued for sending or delivered locally.
   */
  send(to: HostId, message: DispatchMessage): boolean;
}

/** Request that has not been decided yet. */
interface PendingRequest {
  readonly group: EndpointGroup;
  readonly draft: GroupRequestDraft;
  readonly startedMs: number;
  readonly expiresMs: number;
  readonly settle: (result: Either<Refusal, GroupGrant>) => void;
  id: GrantId;
  dispatcherHost: HostId;
  sentMs: number;
  lastResponseMs: number;
}

/** Grant in use by this daemon. */
interface HeldGrant {
  readonly group: EndpointGroup;
  readonly grant: GrantInUse;
  readonly grantedBy: HostId;
  generatedTokens: number;
  isProgressSent: boolean;
}

/**
 * Requests grants and redirects requests whose dispatcher has become
 * unresponsive.
 */
export class GrantClient {
  readonly #options: GrantClientOptions;
  readonly #pendingRequests = new Map<GrantId, PendingRequest>();
  readonly #heldGrants = new Map<GrantId, HeldGrant>();
  #sequence = 0;

  /** @param options - Dependencies of the client. */
  constructor(options: GrantClientOptions) {
    this.#options = options;
  }

  /**
   * Requests a grant from the dispatcher of a group.
   *
   * @param group - Endpoint group.
   * @param draft - Request to send.
   * @param timeoutMs - Time until the deadline, in milliseconds.
   * @param signal - Aborted when the caller disconnects.
   * @returns The grant or the refusal.
   */
  acquire(
    group: EndpointGroup,
    draft: GroupRequestDraft,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Either<Refusal, GroupGrant>> {
    return new Promise((resolve) => {
      const nowMs = this.#options.clock.monotonicMs();
      const pending: PendingRequest = {
        group,
        draft,
        startedMs: nowMs,
        expiresMs: nowMs + timeoutMs,
        id: this.#nextId(),
        dispatcherHost: this.#options.resolveDispatcher(group),
        sentMs: nowMs,
        lastResponseMs: nowMs,
        settle: (result) => {
          signal.removeEventListener("abort", onAbort);
          this.#pendingRequests.delete(pending.id);
          resolve(result);
        },
      };
      const onAbort = (): void => this.#cancel(pending);
      if (signal.aborted) {
        onAbort();
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#pendingRequests.set(pending.id, pending);
      this.#send(pending);
    });
  }

  /**
   * Records the progress of a generation, which is sent with the next batch.
   */
  recordProgress(id: GrantId, generatedTokens: number): void {
    const held = this.#heldGrants.get(id);
    if (!held) return;
    held.generatedTokens = generatedTokens;
    held.isProgressSent = false;
  }

  /**
   * Releases a grant at the dispatcher that issued it and at the current
   * dispatcher of the group.
   */
  release(release: GrantRelease): void {
    const held = this.#heldGrants.get(release.id);
    if (!held) return;
    this.#heldGrants.delete(release.id);
    const message = {
      ...groupFieldsOf(held.group),
      kind: "release",
      release,
    } as const;
    const owner = this.#options.resolveDispatcher(held.group);
    this.#options.send(held.grantedBy, message);
    if (owner !== held.grantedBy) this.#options.send(owner, message);
  }

  /** Handles a message from a dispatcher. */
  receive(from: HostId, message: DispatchMessage): void {
    switch (message.kind) {
      case "queued": {
        const pending = this.#pendingRequests.get(message.id);
        if (pending) pending.lastResponseMs = this.#options.clock.monotonicMs();
        return;
      }
      case "granted":
        this.#onGranted(from, message);
        return;
      case "refused":
        this.#pendingRequests.get(message.id)?.settle(Left(message.refusal));
        return;
      case "ask-grants":
        this.#sendGrantsInUse(from, message);
        return;
      case "request":
      case "abandon":
      case "progress":
      case "release":
      case "grants-in-use":
        // These messages are addressed to a dispatcher.
        return;
      default:
        assertNever(message);
    }
  }

  /**
   * Redirects requests whose dispatcher has changed or become unresponsive, and
   * resends undecided requests.
   */
  checkDispatchers(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const pending of [...this.#pendingRequests.values()]) {
      const owner = this.#options.resolveDispatcher(pending.group);
      const isUnresponsive =
        nowMs - pending.lastResponseMs > RESPONSE_TIMEOUT_MS;
      if (owner !== pending.dispatcherHost) this.#redirect(pending, owner);
      else if (isUnresponsive) this.#redirect(pending, this.#options.host);
      else if (nowMs - pending.sentMs >= RESEND_PERIOD_MS) this.#send(pending);
    }
  }

  /**
   * Sends the recorded progress, in one message for each dispatcher and group.
   */
  flushProgress(): void {
    const batches = new Map<string, ProgressBatch>();
    for (const [id, held] of this.#heldGrants) {
      if (held.isProgressSent) continue;
      held.isProgressSent = true;
      const owner = this.#options.resolveDispatcher(held.group);
      const key = `${owner} ${held.group.id}`;
      const batch = batches.get(key) ??
        { dispatcherHost: owner, group: held.group, items: [] };
      batch.items.push({ id, generatedTokens: held.generatedTokens });
      batches.set(key, batch);
    }
    for (const { dispatcherHost, group, items } of batches.values()) {
      this.#options.send(dispatcherHost, {
        ...groupFieldsOf(group),
        kind: "progress",
        items,
      });
    }
  }

  #onGranted(
    from: HostId,
    message: DispatchMessage & { kind: "granted" },
  ): void {
    const { grant, service, group } = message;
    const pending = this.#pendingRequests.get(grant.id);
    if (!pending) {
      if (this.#heldGrants.has(grant.id)) return;
      const release = { id: grant.id, end: "not-run", generatedTokens: 0 };
      this.#options.send(from, {
        service,
        group,
        kind: "release",
        release: release as GrantRelease,
      });
      return;
    }
    const request = this.#requestOf(pending);
    this.#heldGrants.set(grant.id, {
      group: pending.group,
      grantedBy: from,
      grant: {
        request: { ...request, blocks: [] },
        endpoint: grant.endpoint.id,
        generatedTokens: 0,
      },
      generatedTokens: 0,
      isProgressSent: true,
    });
    const waitMs = this.#options.clock.monotonicMs() - pending.startedMs;
    pending.settle(Right({ ...grant, waitMs }));
  }

  #sendGrantsInUse(
    from: HostId,
    { service, group }: DispatchMessage & { kind: "ask-grants" },
  ): void {
    const grants: GrantInUse[] = [];
    for (const held of this.#heldGrants.values()) {
      if (held.group.id !== group) continue;
      grants.push({ ...held.grant, generatedTokens: held.generatedTokens });
    }
    const kind = "grants-in-use";
    this.#options.send(from, { service, group, kind, grants });
  }

  #cancel(pending: PendingRequest): void {
    this.#options.send(pending.dispatcherHost, {
      ...groupFieldsOf(pending.group),
      kind: "abandon",
      id: pending.id,
    });
    pending.settle(Left({
      reason: "cancelled",
      detail: "the caller disconnected",
      retryAfterMs: undefined,
    }));
  }

  /**
   * Sends a request to another dispatcher under a new identifier, so that a
   * delayed grant of the previous dispatcher is not mistaken for the new one.
   */
  #redirect(pending: PendingRequest, to: HostId): void {
    this.#options.send(pending.dispatcherHost, {
      ...groupFieldsOf(pending.group),
      kind: "abandon",
      id: pending.id,
    });
    this.#pendingRequests.delete(pending.id);
    pending.id = this.#nextId();
    pending.dispatcherHost = to;
    pending.lastResponseMs = this.#options.clock.monotonicMs();
    this.#pendingRequests.set(pending.id, pending);
    this.#send(pending);
  }

  #send(pending: PendingRequest): void {
    const { group, dispatcherHost } = pending;
    pending.sentMs = this.#options.clock.monotonicMs();
    const request = this.#requestOf(pending);
    const isSent = this.#options.send(dispatcherHost, {
      ...groupFieldsOf(group),
      kind: "request",
      request,
    });
    if (isSent || dispatcherHost === this.#options.host) return;
    this.#redirect(pending, this.#options.host);
  }

  #requestOf({ draft, id, expiresMs }: PendingRequest): GroupRequest {
    const patienceMs = expiresMs - this.#options.clock.monotonicMs();
    return { ...draft, id, patienceMs };
  }

  #nextId(): GrantId {
    const { host, clock } = this.#options;
    return asId<GrantId>(`${host}-${clock.nowMs()}-${this.#sequence++}`);
  }
}

/** Progress reports for one group and its dispatcher. */
interface ProgressBatch {
  readonly dispatcherHost: HostId;
  readonly group: EndpointGroup;
  readonly items: { readonly id: GrantId; readonly generatedTokens: number }[];
}

function groupFieldsOf(
  { service, id }: EndpointGroup,
): Pick<DispatchMessage, "service" | "group"> {
  return { service, group: id };
}
