/** Which endpoints run a suspect, so that no two suspects share one. */

import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";

/** A claim of this daemon. */
export interface EndpointClaim extends Disposable {
  /** Whether no other claim has won. */
  readonly isHeld: boolean;
  /** The suspect runs from now on; the claim cannot be lost any more. */
  confirm(): void;
}

/** Tells the other daemons about claims. */
export interface ClaimAnnouncer {
  announceClaim(endpoint: string, run: string, isRunning: boolean): void;
  announceUnclaim(endpoint: string, run: string): void;
}

interface Claim {
  readonly run: string;
  readonly host: HostId;
  isRunning: boolean;
  expiry: Disposable;
}

/** Forgets a claim whose daemon has not said that it ended. */
const REMOTE_CLAIM_TTL_MS = 30_000;

/** Claims of all daemons as known here; the lower run name wins a tie. */
export class EndpointClaims {
  readonly #clock: Clock;
  readonly #host: HostId;
  readonly #announcer: ClaimAnnouncer;
  readonly #claims = new Map<string, Claim>();
  readonly #didReleaseEndpoint = new Emitter<void>();
  #runCount = 0;

  /** Fires after an endpoint has become free. */
  readonly onDidReleaseEndpoint = this.#didReleaseEndpoint.event;

  /**
   * @param clock - Clock of the expiry.
   * @param host - This host.
   * @param announcer - Tells the other daemons.
   */
  constructor(clock: Clock, host: HostId, announcer: ClaimAnnouncer) {
    this.#clock = clock;
    this.#host = host;
    this.#announcer = announcer;
  }

  /** @returns Whether a suspect has claimed the endpoint. */
  isClaimed(endpoint: string): boolean {
    return this.#claims.has(endpoint);
  }

  /** Claims an endpoint; the claim is lost at once when it is taken. */
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

  /** Takes a claim of another daemon. */
  receiveClaim(
    host: HostId,
    endpoint: string,
    run: string,
    isRunning: boolean,
  ): void {
    const known = this.#claims.get(endpoint);
    const isOurs = known !== undefined && known.host === this.#host;
    if (isOurs && (known.isRunning || (!isRunning && known.run < run))) {
      this.#announcer.announceClaim(endpoint, known.run, known.isRunning);
      return;
    }
    this.#set(endpoint, { run, host, isRunning });
  }

  /** Takes the end of a claim of another daemon. */
  receiveUnclaim(endpoint: string, run: string): void {
    if (this.#claims.get(endpoint)?.run === run) this.#release(endpoint);
  }

  /** Drops the claims of a daemon that has gone. */
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
    const isOurs = claim.host === this.#host;
    const expiry = isOurs ? NOOP_DISPOSABLE : this.#clock.setTimer(
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
