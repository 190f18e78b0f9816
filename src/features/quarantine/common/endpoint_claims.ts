/**
 * Tracks which endpoints are reserved for a suspect request, so that no two
 * suspects run on the same endpoint.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";

/** Claim of this daemon on an endpoint. */
export interface EndpointClaim extends Disposable {
  /**
   * Whether the claim is still valid, which means that no competing claim has
   * taken precedence.
   */
  readonly isHeld: boolean;
  /**
   * Marks the suspect as running; from now on no competing claim can take
   * precedence.
   */
  confirm(): void;
}

/** Announces claims to the other daemons. */
export interface ClaimAnnouncer {
  announceClaim(endpoint: string, run: string, isRunning: boolean): void;
  announceUnclaim(endpoint: string, run: string): void;
}

/** Claim of any daemon; `run` is unique across daemons. */
interface Claim {
  readonly run: string;
  readonly host: HostId;
  isRunning: boolean;
  expiry: Disposable;
}

/**
 * Time after which the claim of another daemon expires if its release has not
 * been received.
 */
const REMOTE_CLAIM_TTL_MS = 30_000;

/**
 * Local view of the claims of all daemons. If two daemons claim an endpoint at
 * the same time, the claim with the lower run name takes precedence.
 */
export class EndpointClaims {
  readonly #clock: Clock;
  readonly #host: HostId;
  readonly #announcer: ClaimAnnouncer;
  readonly #claims = new Map<string, Claim>();
  readonly #didReleaseEndpoint = new Emitter<void>();
  #runCount = 0;

  /** Fires after a claim has been released or has expired. */
  readonly onDidReleaseEndpoint = this.#didReleaseEndpoint.event;

  /**
   * @param clock - Clock for the expiry of claims.
   * @param host - Identifier of the local host.
   * @param announcer - Announces claims to the other daemons.
   */
  constructor(clock: Clock, host: HostId, announcer: ClaimAnnouncer) {
    this.#clock = clock;
    this.#host = host;
    this.#announcer = announcer;
  }

  /** @returns Whether the endpoint is claimed for a suspect. */
  isClaimed(endpoint: string): boolean {
    return this.#claims.has(endpoint);
  }

  /**
   * Claims an endpoint. If the endpoint is claimed already, the returned claim
   * is not held.
   */
  claim(endpoint: string): EndpointClaim {
    const run = `${this.#host}/${this.#runCount++}`;
    const claim = { run, host: this.#host, isRunning: false };
    if (!this.isClaimed(endpoint)) {
      this.#set(endpoint, claim);
      this.#announcer.announceClaim(endpoint, run, false);
    }
    const isHeld = (): boolean => this.#claims.get(endpoint)?.run === run;
    return {
      get isHeld() {
        return isHeld();
      },
      confirm: () => this.#confirm(endpoint, run),
      dispose: () => {
        if (!isHeld()) return;
        this.#release(endpoint);
        this.#announcer.announceUnclaim(endpoint, run);
      },
    };
  }

  /** Handles a claim announced by another daemon. */
  receiveClaim(
    host: HostId,
    endpoint: string,
    run: string,
    isRunning: boolean,
  ): void {
    const existing = this.#claims.get(endpoint);
    const isLocal = existing !== undefined && existing.host === this.#host;
    if (isLocal && (existing.isRunning || (!isRunning && existing.run < run))) {
      this.#announcer.announceClaim(endpoint, existing.run, existing.isRunning);
      return;
    }
    this.#set(endpoint, { run, host, isRunning });
  }

  /** Handles the release of a claim announced by another daemon. */
  receiveUnclaim(endpoint: string, run: string): void {
    if (this.#claims.get(endpoint)?.run === run) this.#release(endpoint);
  }

  /** Releases all claims of a daemon that has disconnected. */
  releaseClaimsOf(host: HostId): void {
    for (const [endpoint, claim] of [...this.#claims]) {
      if (claim.host === host) this.#release(endpoint);
    }
  }

  #confirm(endpoint: string, run: string): void {
    const claim = this.#claims.get(endpoint);
    if (claim?.run !== run) return;
    claim.isRunning = true;
    this.#announcer.announceClaim(endpoint, run, true);
  }

  #set(endpoint: string, claim: Omit<Claim, "expiry">): void {
    this.#claims.get(endpoint)?.expiry.dispose();
    const isLocal = claim.host === this.#host;
    const expiry = isLocal ? NOOP_DISPOSABLE : this.#clock.setTimer(
      REMOTE_CLAIM_TTL_MS,
      () => this.receiveUnclaim(endpoint, claim.run),
    );
    this.#claims.set(endpoint, { ...claim, expiry });
  }

  #release(endpoint: string): void {
    this.#claims.get(endpoint)?.expiry.dispose();
    this.#claims.delete(endpoint);
    this.#didReleaseEndpoint.fire();
  }
}
