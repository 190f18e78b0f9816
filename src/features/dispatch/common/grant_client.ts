/** The requests of this daemon that wait for a grant or use one. */

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

/** A dispatcher that says nothing for so long is given up. */
const RESPONSE_TIMEOUT_MS = 1_500;
/** Period at which an undecided request is sent again. */
const RESEND_PERIOD_MS = 500;

/** A request without the id and the patience, which change when it moves. */
export type GroupRequestDraft = Omit<GroupRequest, "id" | "patienceMs">;

/** What the asker works with. */
export interface GrantClientOptions {
  readonly clock: Clock;
  readonly host: HostId;
  /** @returns The dispatcher of a group that can be reached now. */
  resolveDispatcher(group: EndpointGroup): HostId;
  /** @returns Whether a message left or will be handled here. */
  send(to: HostId, message: DispatchMessage): boolean;
}

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

interface HeldGrant {
  readonly group: EndpointGroup;
  readonly grant: GrantInUse;
  readonly grantedBy: HostId;
  generatedTokens: number;
  isProgressSent: boolean;
}

/** Asks dispatchers, and asks others when they fall silent. */
export class GrantClient {
  readonly #options: GrantClientOptions;
  readonly #pendingRequests = new Map<GrantId, PendingRequest>();
  readonly #heldGrants = new Map<GrantId, HeldGrant>();
  #sequence = 0;

  /** @param options - What the asker works with. */
  constructor(options: GrantClientOptions) {
    this.#options = options;
  }

  /**
   * Asks a group for a grant.
   *
   * @param group - The group.
   * @param draft - What is needed.
   * @param patienceMs - Time in which the grant is of use.
   * @param signal - Aborted when the caller has gone.
   * @returns The grant or the refusal.
   */
  acquire(
    group: EndpointGroup,
    draft: GroupRequestDraft,
    patienceMs: number,
    signal: AbortSignal,
  ): Promise<Either<Refusal, GroupGrant>> {
    return new Promise((resolve) => {
      const nowMs = this.#options.clock.monotonicMs();
      const pending: PendingRequest = {
        group,
        draft,
        startedMs: nowMs,
        expiresMs: nowMs + patienceMs,
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

  /** Takes note of progress; it is passed on with the next batch. */
  recordProgress(id: GrantId, generatedTokens: number): void {
    const used = this.#heldGrants.get(id);
    if (!used) return;
    used.generatedTokens = generatedTokens;
    used.isProgressSent = false;
  }

  /** Gives a grant back to whoever gave it and to whoever dispatches now. */
  release(release: GrantRelease): void {
    const used = this.#heldGrants.get(release.id);
    if (!used) return;
    this.#heldGrants.delete(release.id);
    const message = {
      ...groupFieldsOf(used.group),
      kind: "release",
      release,
    } as const;
    const owner = this.#options.resolveDispatcher(used.group);
    this.#options.send(used.grantedBy, message);
    if (owner !== used.grantedBy) this.#options.send(owner, message);
  }

  /** Handles an answer of a dispatcher. */
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
        // Meant for a dispatcher.
        return;
      default:
        assertNever(message);
    }
  }

  /** Moves requests whose dispatcher has changed or fallen silent. */
  checkDispatchers(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const pending of [...this.#pendingRequests.values()]) {
      const owner = this.#options.resolveDispatcher(pending.group);
      const isSilent = nowMs - pending.lastResponseMs > RESPONSE_TIMEOUT_MS;
      if (owner !== pending.dispatcherHost) this.#redirect(pending, owner);
      else if (isSilent) this.#redirect(pending, this.#options.host);
      else if (nowMs - pending.sentMs >= RESEND_PERIOD_MS) this.#send(pending);
    }
  }

  /** Passes progress on, one message for each dispatcher and group. */
  flushProgress(): void {
    const batches = new Map<string, ProgressBatch>();
    for (const [id, used] of this.#heldGrants) {
      if (used.isProgressSent) continue;
      used.isProgressSent = true;
      const owner = this.#options.resolveDispatcher(used.group);
      const key = `${owner} ${used.group.id}`;
      const batch = batches.get(key) ??
        { dispatcherHost: owner, group: used.group, items: [] };
      batch.items.push({ id, generatedTokens: used.generatedTokens });
      batches.set(key, batch);
    }
    for (const { dispatcherHost: to, group, items } of batches.values()) {
      this.#options.send(to, {
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
    for (const used of this.#heldGrants.values()) {
      if (used.group.id !== group) continue;
      grants.push({ ...used.grant, generatedTokens: used.generatedTokens });
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
      detail: "the caller went away",
      retryAfterMs: undefined,
    }));
  }

  /** A new id keeps a late grant of the former dispatcher apart. */
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
    const { group, dispatcherHost: to } = pending;
    pending.sentMs = this.#options.clock.monotonicMs();
    const request = this.#requestOf(pending);
    const isSent = this.#options.send(to, {
      ...groupFieldsOf(group),
      kind: "request",
      request,
    });
    if (isSent || to === this.#options.host) return;
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
