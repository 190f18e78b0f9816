/**
 * Finds requests that kill endpoints. All that an endpoint ran when it died
 * unannounced are suspects; a suspect whose endpoint dies again is refused for
 * a time.
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
  MAX_RECORDS_PER_MESSAGE,
  QUARANTINE_CHANNEL,
  type QuarantineMessage,
} from "./quarantine_messages.ts";
import {
  type QuarantinedRequest,
  type SuspectRecord,
  SuspectTable,
} from "./suspect_table.ts";

/** What the quarantine works with. */
export interface QuarantineServices {
  readonly clock: Clock;
  readonly host: HostId;
  readonly links: PeerLinks;
  readonly endpoints: EndpointDirectory;
}

/** A request by what it asks for. */
export interface RequestIdentity {
  readonly workspace: WorkspaceId;
  readonly fingerprint: string;
}

/** Where a request runs. */
export interface RunTarget {
  readonly service: ServiceId;
  readonly endpoint: EndpointId;
}

/** How a run ended, as far as its endpoint is concerned. */
export type RunOutcome = "completed" | "endpoint-died" | "other";

/** A run that is being watched. */
export interface WatchedRun {
  /** The endpoint has brought a token. */
  recordToken(): void;
  /** @param end - How the run ended; a second call does nothing. */
  end(end: RunOutcome): void;
}

/** A suspect that ran for so long after its first token shares its endpoint. */
const ISOLATION_AFTER_FIRST_TOKEN_MS = 5_000;
/** Runs that died count as co-runners of each other for this time. */
const CO_RUNNER_WINDOW_MS = 10_000;
/** An endpoint that has refused work as leaving is gone after this time. */
const DRAIN_STATE_TTL_MS = 60_000;

interface Run extends RequestIdentity, RunTarget {
  readonly claim: EndpointClaim | undefined;
  /** When its endpoint died, on the monotonic clock. */
  crashedMs: number | undefined;
}

/** Suspects and quarantined requests, shared between the daemons. */
export class Quarantine implements Disposable {
  readonly claims: EndpointClaims;
  readonly #services: QuarantineServices;
  readonly #table: SuspectTable;
  readonly #channel: PeerChannel<QuarantineMessage>;
  readonly #runs = new Map<string, Set<Run>>();
  readonly #drainingUntilMs = new Map<string, number>();
  readonly #disposables = new DisposableStore();

  /** @param services - What the quarantine works with. */
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
      links.onDidChangeLink(({ host: peer, isUp }) =>
        isUp ? this.#sendAllRecords(peer) : this.claims.releaseClaimsOf(peer)
      ),
    );
  }

  /** @returns Whether the request may run only where no other suspect runs. */
  isSuspect({ workspace, fingerprint }: RequestIdentity): boolean {
    return this.#table.isSuspect(workspace, fingerprint);
  }

  /**
   * @returns Time for which the request is still refused, in milliseconds, or
   * `undefined` when it may run.
   */
  quarantinedForMs(
    { workspace, fingerprint }: RequestIdentity,
  ): number | undefined {
    const untilMs = this.#table.quarantinedUntilMs(workspace, fingerprint);
    if (untilMs === undefined) return undefined;
    return Math.max(1, untilMs - this.#services.clock.nowMs());
  }

  /**
   * Watches a run.
   *
   * @param request - What runs.
   * @param place - Where it runs.
   * @param claim - Claim of the endpoint, for a suspect.
   */
  watchRun(
    request: RequestIdentity,
    place: RunTarget,
    claim: EndpointClaim | undefined,
  ): WatchedRun {
    const { workspace, fingerprint } = request;
    const run: Run = {
      workspace,
      fingerprint,
      ...place,
      claim,
      crashedMs: undefined,
    };
    this.#addRun(run);
    let isolation: Disposable | undefined;
    let isEnded = false;
    return {
      recordToken: () => {
        if (isolation || !claim) return;
        isolation = this.#services.clock.setTimer(
          ISOLATION_AFTER_FIRST_TOKEN_MS,
          () => claim.dispose(),
        );
      },
      end: (end) => {
        if (isEnded) return;
        isEnded = true;
        isolation?.dispose();
        this.#endRun(run, end);
      },
    };
  }

  /**
   * Takes note that an endpoint refuses work because it is leaving, so that its
   * end accuses nobody.
   *
   * @param place - The endpoint.
   */
  recordDraining(place: RunTarget): void {
    const untilMs = this.#services.clock.monotonicMs() + DRAIN_STATE_TTL_MS;
    this.#drainingUntilMs.set(endpointKey(place), untilMs);
  }

  /** @returns Requests that are refused now, for operators. */
  list(): readonly QuarantinedRequest[] {
    return this.#table.listQuarantined();
  }

  /**
   * Lets a request run again, at all daemons.
   *
   * @param fingerprint - As listed.
   * @returns Whether there was such a request.
   */
  release(fingerprint: string): boolean {
    const record = this.#table.release(fingerprint);
    this.#broadcastRecord(record);
    return record !== undefined;
  }

  /** Stops listening. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #endRun(run: Run, end: RunOutcome): void {
    const { workspace, fingerprint, claim } = run;
    switch (end) {
      case "completed":
        this.#removeRun(run);
        this.#broadcastRecord(this.#table.clear(workspace, fingerprint));
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

  /** A death that was announced accuses nobody. */
  #recordCrash(run: Run): void {
    if (this.#isDraining(run)) return;
    const { clock } = this.#services;
    this.#broadcastRecord(
      this.#table.recordCrash(run.workspace, run.fingerprint, {
        endpoint: endpointKey(run),
        atMs: clock.nowMs(),
        otherWorkspaces: this.#otherWorkspaces(run),
      }),
    );
  }

  /** An endpoint that is no longer configured has left as well. */
  #isDraining(place: RunTarget): boolean {
    const { clock, endpoints } = this.#services;
    const known = endpoints.endpointsOf(place.service)
      .find(({ id }) => id === place.endpoint);
    const untilMs = this.#drainingUntilMs.get(endpointKey(place)) ?? 0;
    return !known || known.isLeaving || untilMs > clock.monotonicMs();
  }

  #otherWorkspaces(run: Run): WorkspaceId[] {
    const oldestMs = this.#services.clock.monotonicMs() - CO_RUNNER_WINDOW_MS;
    const workspaces = new Set<WorkspaceId>();
    for (
      const { workspace, crashedMs: diedMs }
        of this.#runs.get(endpointKey(run)) ?? []
    ) {
      const isRecent = diedMs === undefined || diedMs >= oldestMs;
      if (isRecent && workspace !== run.workspace) workspaces.add(workspace);
    }
    return [...workspaces].slice(0, MAX_OTHER_WORKSPACES);
  }

  /** Runs that died stay for a while, as co-runners of the others there. */
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

  #broadcastRecord(record: SuspectRecord | undefined): void {
    if (record) this.#broadcast({ kind: "records", records: [record] });
  }

  #broadcast(message: QuarantineMessage): void {
    for (const host of this.#services.links.connectedHosts()) {
      this.#channel.send(host, message);
    }
  }

  /** Tells a daemon that has come up all that is known. */
  #sendAllRecords(host: HostId): void {
    const records = this.#table.records();
    for (
      let start = 0;
      start < records.length;
      start += MAX_RECORDS_PER_MESSAGE
    ) {
      const page = records.slice(start, start + MAX_RECORDS_PER_MESSAGE);
      this.#channel.send(host, { kind: "records", records: page });
    }
  }

  #onMessage(from: HostId, message: QuarantineMessage): void {
    switch (message.kind) {
      case "records":
        for (const record of message.records) this.#table.merge(record);
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

/** @returns The name of an endpoint among all services. */
export function endpointKey({ service, endpoint }: RunTarget): string {
  return `${service}/${endpoint}`;
}
