/**
 * Identifies requests that crash endpoints. Every request that was running on
 * an endpoint when it crashed becomes a suspect. A suspect that is running
 * during another crash is quarantined, which means that it is refused for a
 * limited time. If another workspace may have caused both crashes, a third one
 * is required.
 */

import { assertNever } from "../../../base/common/errors.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type {
  EndpointId,
  HostId,
  ServiceId,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type {
  PeerChannel,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import type { EndpointDirectory } from "../../endpoints/common/endpoint_directory.ts";
import { type EndpointClaim, EndpointClaims } from "./endpoint_claims.ts";
import {
  MAX_OTHER_WORKSPACES,
  QUARANTINE_CHANNEL,
  type QuarantineMessage,
} from "./quarantine_messages.ts";
import { SuspectSync } from "./suspect_sync.ts";
import { type QuarantinedRequest, SuspectTable } from "./suspect_table.ts";

/** Dependencies of a {@link Quarantine}. */
export interface QuarantineServices {
  readonly clock: Clock;
  readonly host: HostId;
  readonly links: PeerLinks;
  readonly endpoints: EndpointDirectory;
}

/** Identifies a request by its workspace and content. */
export interface RequestIdentity {
  readonly workspace: WorkspaceId;
  readonly fingerprint: string;
}

/** Endpoint on which a request runs. */
export interface RunTarget {
  readonly service: ServiceId;
  readonly endpoint: EndpointId;
}

/** Outcome of a run with regard to its endpoint. */
export type RunOutcome = "completed" | "endpoint-died" | "other";

/** Handle for a run that is monitored for a crash of its endpoint. */
export interface WatchedRun {
  /** Records that the endpoint has generated a token. */
  recordToken(): void;
  /**
   * Ends the run; further calls have no effect.
   *
   * @param end - Outcome of the run.
   */
  end(end: RunOutcome): void;
}

/**
 * A suspect that has run for this time after its first token no longer needs an
 * endpoint of its own.
 */
const ISOLATION_AFTER_FIRST_TOKEN_MS = 5_000;
/**
 * Time after a crash during which its runs count as co-runners of each other.
 */
const CO_RUNNER_WINDOW_MS = 10_000;
/**
 * Time for which an endpoint that refused work because it was draining counts
 * as draining.
 */
const DRAIN_STATE_TTL_MS = 60_000;

interface Run extends RequestIdentity, RunTarget {
  readonly claim: EndpointClaim | undefined;
  /** Wall-clock time of the start, in milliseconds. */
  readonly startedMs: number;
  /** Time of the endpoint crash on the monotonic clock, in milliseconds. */
  crashedMs: number | undefined;
}

/**
 * Registry of suspects and quarantined requests, synchronized between daemons.
 */
export class Quarantine implements Disposable {
  readonly claims: EndpointClaims;
  readonly #services: QuarantineServices;
  readonly #table: SuspectTable;
  readonly #channel: PeerChannel<QuarantineMessage>;
  readonly #runs = new Map<string, Set<Run>>();
  readonly #drainingUntilMs = new Map<string, number>();
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the quarantine. */
  constructor(services: QuarantineServices) {
    const { clock, host, links } = services;
    this.#services = services;
    this.#table = new SuspectTable(clock);
    this.claims = new EndpointClaims(clock, host, {
      announceClaim: (endpoint, run, isRunning) =>
        this.#broadcast({ kind: "claim", endpoint, run, isRunning }),
      announceUnclaim: (endpoint, run) =>
        this.#broadcast({ kind: "unclaim", endpoint, run }),
    });
    this.#channel = this.#disposables.add(
      links.openChannel(QUARANTINE_CHANNEL),
    );
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) =>
        this.#onMessage(from, body)
      ),
    );
    this.#disposables.add(
      new SuspectSync({
        clock,
        links,
        channel: this.#channel,
        table: this.#table,
        // All daemons are linked to each other, so that nothing is relayed.
        relay: {
          targets: (isLocal) => isLocal ? links.connectedHosts() : [],
        },
      }),
    );
    this.#disposables.add(
      links.onDidChangeLink(({ host: peer, isUp }) => {
        if (!isUp) this.claims.releaseClaimsOf(peer);
      }),
    );
  }

  /**
   * @returns Whether the request is a suspect, which may run only on an
   * endpoint without other suspects.
   */
  isSuspect({ workspace, fingerprint }: RequestIdentity): boolean {
    return this.#table.isSuspect(workspace, fingerprint);
  }

  /**
   * @returns Remaining time of the quarantine in milliseconds, or `undefined`
   * if the request may run.
   */
  quarantinedForMs(
    { workspace, fingerprint }: RequestIdentity,
  ): number | undefined {
    const untilMs = this.#table.quarantinedUntilMs(workspace, fingerprint);
    if (untilMs === undefined) return undefined;
    return Math.max(1, untilMs - this.#services.clock.nowMs());
  }

  /**
   * Monitors a run until it ends.
   *
   * @param request - Identity of the request.
   * @param target - Endpoint on which the request runs.
   * @param claim - Claim on the endpoint if the request is a suspect.
   * @returns A handle that must be notified of tokens and of the end of the
   * run.
   */
  watchRun(
    request: RequestIdentity,
    target: RunTarget,
    claim: EndpointClaim | undefined,
  ): WatchedRun {
    const { workspace, fingerprint } = request;
    const run: Run = {
      workspace,
      fingerprint,
      ...target,
      claim,
      startedMs: this.#services.clock.nowMs(),
      crashedMs: undefined,
    };
    this.#addRun(run);
    let isolationTimer: Disposable | undefined;
    let isEnded = false;
    return {
      recordToken: () => {
        if (isolationTimer || !claim) return;
        isolationTimer = this.#services.clock.setTimer(
          ISOLATION_AFTER_FIRST_TOKEN_MS,
          () => claim.dispose(),
        );
      },
      end: (end) => {
        if (isEnded) return;
        isEnded = true;
        isolationTimer?.dispose();
        this.#endRun(run, end);
      },
    };
  }

  /**
   * Records that an endpoint refuses work because it is draining, so that its
   * termination does not make its requests suspects.
   *
   * @param target - The draining endpoint.
   */
  recordDraining(target: RunTarget): void {
    const untilMs = this.#services.clock.monotonicMs() + DRAIN_STATE_TTL_MS;
    this.#drainingUntilMs.set(endpointKey(target), untilMs);
  }

  /** @returns The requests that are currently quarantined. */
  list(): readonly QuarantinedRequest[] {
    return this.#table.listQuarantined();
  }

  /**
   * Releases a request from quarantine on all daemons.
   *
   * @param fingerprint - Fingerprint of the quarantined request.
   * @returns Whether the request was found.
   */
  release(fingerprint: string): boolean {
    return this.#table.release(fingerprint) !== undefined;
  }

  /** Closes the peer channel. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #endRun(run: Run, end: RunOutcome): void {
    const { workspace, fingerprint, claim } = run;
    switch (end) {
      case "completed":
        this.#removeRun(run);
        this.#table.clear(workspace, fingerprint);
        break;
      case "endpoint-died":
        this.#recordCrash(run);
        run.crashedMs = this.#services.clock.monotonicMs();
        break;
      case "other":
        this.#removeRun(run);
        break;
      default:
        assertNever(end);
    }
    claim?.dispose();
  }

  /** Records a crash, unless the endpoint was expected to terminate. */
  #recordCrash(run: Run): void {
    if (this.#isDraining(run)) return;
    const { clock, host } = this.#services;
    this.#table.recordCrash(run.workspace, run.fingerprint, {
      endpoint: endpointKey(run),
      atMs: clock.nowMs(),
      startedMs: run.startedMs,
      otherWorkspaces: this.#otherWorkspaces(run),
      host,
    });
  }

  /**
   * An endpoint that has been removed from the configuration counts as draining
   * as well.
   */
  #isDraining(target: RunTarget): boolean {
    const { clock, endpoints } = this.#services;
    const configured = endpoints.endpointsOf(target.service)
      .find(({ id }) => id === target.endpoint);
    const untilMs = this.#drainingUntilMs.get(endpointKey(target)) ?? 0;
    return !configured || configured.isLeaving || untilMs > clock.monotonicMs();
  }

  #otherWorkspaces(run: Run): WorkspaceId[] {
    const oldestMs = this.#services.clock.monotonicMs() - CO_RUNNER_WINDOW_MS;
    const workspaces = new Set<WorkspaceId>();
    for (
      const { workspace, crashedMs } of this.#runs.get(endpointKey(run)) ?? []
    ) {
      const isRecent = crashedMs === undefined || crashedMs >= oldestMs;
      if (isRecent && workspace !== run.workspace) workspaces.add(workspace);
    }
    return [...workspaces].slice(0, MAX_OTHER_WORKSPACES);
  }

  /**
   * Adds a run. Crashed runs remain for a while, because they count as
   * co-runners of the other runs on the endpoint.
   */
  #addRun(run: Run): void {
    const key = endpointKey(run);
    const runs = this.#runs.get(key) ?? new Set();
    const oldestMs = this.#services.clock.monotonicMs() - CO_RUNNER_WINDOW_MS;
    for (const other of runs) {
      if (other.crashedMs !== undefined && other.crashedMs < oldestMs) {
        runs.delete(other);
      }
    }
    this.#runs.set(key, runs.add(run));
  }

  #removeRun(run: Run): void {
    const key = endpointKey(run);
    const runs = this.#runs.get(key);
    runs?.delete(run);
    if (runs?.size === 0) this.#runs.delete(key);
  }

  #broadcast(message: QuarantineMessage): void {
    for (const host of this.#services.links.connectedHosts()) {
      this.#channel.send(host, message);
    }
  }

  #onMessage(from: HostId, message: QuarantineMessage): void {
    switch (message.kind) {
      case "records":
        // Merged by the synchronization of the records.
        return;
      case "claim":
        this.claims.receiveClaim(
          from,
          message.endpoint,
          message.run,
          message.isRunning,
        );
        return;
      case "unclaim":
        this.claims.receiveUnclaim(message.endpoint, message.run);
        return;
      default:
        assertNever(message);
    }
  }
}

/** Returns the identifier of an endpoint that is unique across services. */
export function endpointKey({ service, endpoint }: RunTarget): string {
  return `${service}/${endpoint}`;
}
