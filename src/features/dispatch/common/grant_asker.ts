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
const SILENCE_LIMIT_MS = 1_500;
/** Period at which an undecided request is sent again. */
const REPEAT_MS = 500;

/** A request without the id and the patience, which change when it moves. */
export type GroupRequestDraft = Omit<GroupRequest, "id" | "patienceMs">;

/** What the asker works with. */
export interface GrantAskerOptions {
  readonly clock: Clock;
  readonly host: HostId;
  /** @returns The dispatcher of a group that can be reached now. */
  reachOwner(group: EndpointGroup): HostId;
  /** @returns Whether a message left or will be handled here. */
  send(to: HostId, message: DispatchMessage): boolean;
}

interface Pending {
  readonly group: EndpointGroup;
  readonly draft: GroupRequestDraft;
  readonly startedMs: number;
  readonly expiresMs: number;
  readonly settle: (result: Either<Refusal, GroupGrant>) => void;
  id: GrantId;
  to: HostId;
  sentMs: number;
  heardMs: number;
}

interface InUse {
  readonly group: EndpointGroup;
  readonly grant: GrantInUse;
  readonly from: HostId;
  generatedTokens: number;
  isReported: boolean;
}

/** Asks dispatchers, and asks others when they fall silent. */
export class GrantAsker {
  readonly #options: GrantAskerOptions;
  readonly #pending = new Map<GrantId, Pending>();
  readonly #inUse = new Map<GrantId, InUse>();
  #sequence = 0;

  /** @param options - What the asker works with. */
  constructor(options: GrantAskerOptions) {
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
  ask(
    group: EndpointGroup,
    draft: GroupRequestDraft,
    patienceMs: number,
    signal: AbortSignal,
  ): Promise<Either<Refusal, GroupGrant>> {
    return new Promise((resolve) => {
      const nowMs = this.#options.clock.monotonicMs();
      const pending: Pending = {
        group,
        draft,
        startedMs: nowMs,
        expiresMs: nowMs + patienceMs,
        id: this.#nextId(),
        to: this.#options.reachOwner(group),
        sentMs: nowMs,
        heardMs: nowMs,
        settle: (result) => {
          signal.removeEventListener("abort", onAbort);
          this.#pending.delete(pending.id);
          resolve(result);
        },
      };
      const onAbort = (): void => this.#cancel(pending);
      if (signal.aborted) {
        onAbort();
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#pending.set(pending.id, pending);
      this.#send(pending);
    });
  }

  /** Takes note of progress; it is passed on with the next batch. */
  progress(id: GrantId, generatedTokens: number): void {
    const used = this.#inUse.get(id);
    if (!used) return;
    used.generatedTokens = generatedTokens;
    used.isReported = false;
  }

  /** Gives a grant back to whoever gave it and to whoever dispatches now. */
  release(release: GrantRelease): void {
    const used = this.#inUse.get(release.id);
    if (!used) return;
    this.#inUse.delete(release.id);
    const message = {
      ...baseOf(used.group),
      kind: "release",
      release,
    } as const;
    const owner = this.#options.reachOwner(used.group);
    this.#options.send(used.from, message);
    if (owner !== used.from) this.#options.send(owner, message);
  }

  /** Handles an answer of a dispatcher. */
  receive(from: HostId, message: DispatchMessage): void {
    switch (message.kind) {
      case "queued": {
        const pending = this.#pending.get(message.id);
        if (pending) pending.heardMs = this.#options.clock.monotonicMs();
        return;
      }
      case "granted":
        this.#onGranted(from, message);
        return;
      case "refused":
        this.#pending.get(message.id)?.settle(Left(message.refusal));
        return;
      case "ask-grants":
        this.#tellGrants(from, message);
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
    for (const pending of [...this.#pending.values()]) {
      const owner = this.#options.reachOwner(pending.group);
      const isSilent = nowMs - pending.heardMs > SILENCE_LIMIT_MS;
      if (owner !== pending.to) this.#move(pending, owner);
      else if (isSilent) this.#move(pending, this.#options.host);
      else if (nowMs - pending.sentMs >= REPEAT_MS) this.#send(pending);
    }
  }

  /** Passes progress on, one message for each dispatcher and group. */
  flushProgress(): void {
    const batches = new Map<string, ProgressBatch>();
    for (const [id, used] of this.#inUse) {
      if (used.isReported) continue;
      used.isReported = true;
      const owner = this.#options.reachOwner(used.group);
      const key = `${owner} ${used.group.id}`;
      const batch = batches.get(key) ??
        { to: owner, group: used.group, items: [] };
      batch.items.push({ id, generatedTokens: used.generatedTokens });
      batches.set(key, batch);
    }
    for (const { to, group, items } of batches.values()) {
      this.#options.send(to, { ...baseOf(group), kind: "progress", items });
    }
  }

  #onGranted(
    from: HostId,
    message: DispatchMessage & { kind: "granted" },
  ): void {
    const { grant, service, group } = message;
    const pending = this.#pending.get(grant.id);
    if (!pending) {
      if (this.#inUse.has(grant.id)) return;
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
    this.#inUse.set(grant.id, {
      group: pending.group,
      from,
      grant: {
        request: { ...request, blocks: [] },
        endpoint: grant.endpoint.id,
        generatedTokens: 0,
      },
      generatedTokens: 0,
      isReported: true,
    });
    const waitMs = this.#options.clock.monotonicMs() - pending.startedMs;
    pending.settle(Right({ ...grant, waitMs }));
  }

  #tellGrants(
    from: HostId,
    { service, group }: DispatchMessage & { kind: "ask-grants" },
  ): void {
    const grants: GrantInUse[] = [];
    for (const used of this.#inUse.values()) {
      if (used.group.id !== group) continue;
      grants.push({ ...used.grant, generatedTokens: used.generatedTokens });
    }
    const kind = "grants-in-use";
    this.#options.send(from, { service, group, kind, grants });
  }

  #cancel(pending: Pending): void {
    this.#options.send(pending.to, {
      ...baseOf(pending.group),
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
  #move(pending: Pending, to: HostId): void {
    this.#options.send(pending.to, {
      ...baseOf(pending.group),
      kind: "abandon",
      id: pending.id,
    });
    this.#pending.delete(pending.id);
    pending.id = this.#nextId();
    pending.to = to;
    pending.heardMs = this.#options.clock.monotonicMs();
    this.#pending.set(pending.id, pending);
    this.#send(pending);
  }

  #send(pending: Pending): void {
    const { group, to } = pending;
    pending.sentMs = this.#options.clock.monotonicMs();
    const request = this.#requestOf(pending);
    const isSent = this.#options.send(to, {
      ...baseOf(group),
      kind: "request",
      request,
    });
    if (isSent || to === this.#options.host) return;
    this.#move(pending, this.#options.host);
  }

  #requestOf({ draft, id, expiresMs }: Pending): GroupRequest {
    const patienceMs = expiresMs - this.#options.clock.monotonicMs();
    return { ...draft, id, patienceMs };
  }

  #nextId(): GrantId {
    const { host, clock } = this.#options;
    return asId<GrantId>(`${host}-${clock.nowMs()}-${this.#sequence++}`);
  }
}

interface ProgressBatch {
  readonly to: HostId;
  readonly group: EndpointGroup;
  readonly items: { readonly id: GrantId; readonly generatedTokens: number }[];
}

function baseOf(
  { service, id }: EndpointGroup,
): Pick<DispatchMessage, "service" | "group"> {
  return { service, group: id };
}
