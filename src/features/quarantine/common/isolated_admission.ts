/**
 * Acquires grants and ensures that a suspect request runs on an endpoint where
 * no other suspect runs.
 */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import type { EndpointId } from "../../../base/common/ids.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type {
  Dispatcher,
  Grant,
  GrantRequest,
  Refusal,
} from "../../dispatch/common/dispatcher.ts";
import type { EndpointDirectory } from "../../endpoints/common/endpoint_directory.ts";
import type { EndpointClaim } from "./endpoint_claims.ts";
import { endpointKey, type Quarantine } from "./quarantine.ts";

/** Dependencies of an {@link IsolatedAdmission}. */
export interface IsolatedAdmissionServices {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly endpoints: EndpointDirectory;
  readonly quarantine: Quarantine;
}

/**
 * Grant, together with the claim on its endpoint if the request is a suspect.
 */
export interface IsolatedGrant {
  readonly grant: Grant;
  readonly claim: EndpointClaim | undefined;
}

/** Time allowed for a competing claim of another daemon to arrive. */
const CLAIM_PROPAGATION_MS = 25;
/** Maximum time to wait for an endpoint without a suspect. */
const MAX_ISOLATION_WAIT_MS = 60_000;
const RETRY_AFTER_MS = 5_000;

/**
 * Acquires grants from the dispatcher and keeps suspects on separate endpoints.
 */
export class IsolatedAdmission {
  readonly #services: IsolatedAdmissionServices;

  /** @param services - Dependencies of the admission. */
  constructor(services: IsolatedAdmissionServices) {
    this.#services = services;
  }

  /**
   * Waits for a grant.
   *
   * @param request - Request for a grant.
   * @param fingerprint - Fingerprint of the request.
   * @param signal - Aborted when the caller disconnects.
   * @returns The grant, with a claim if the request is a suspect, or the
   * refusal.
   */
  async acquire(
    request: GrantRequest,
    fingerprint: string,
    signal: AbortSignal,
  ): AsyncEither<Refusal, IsolatedGrant> {
    const { clock, dispatcher, quarantine } = this.#services;
    const { workspace } = request;
    const maxWaitEndMs = clock.nowMs() + MAX_ISOLATION_WAIT_MS;
    const waitEndMs = Math.min(
      maxWaitEndMs,
      request.deadlineMs ?? maxWaitEndMs,
    );
    while (quarantine.isSuspect({ workspace, fingerprint })) {
      const { unclaimedCount, claimed } = this.#partitionEndpoints(request);
      if (unclaimedCount + claimed.length === 0) break;
      if (unclaimedCount > 0) {
        const isolated = await this.#acquireIsolated(request, claimed, signal);
        if (isolated) return isolated;
      } else if (!await this.#waitForUnclaimed(waitEndMs, signal)) {
        return Left(toRefusal(signal));
      }
    }
    const granted = await dispatcher.acquire(request, signal);
    return granted.map((grant) => ({ grant, claim: undefined }));
  }

  /**
   * @returns The result, or `undefined` if a competing claim took precedence.
   */
  async #acquireIsolated(
    request: GrantRequest,
    claimed: readonly EndpointId[],
    signal: AbortSignal,
  ): Promise<Either<Refusal, IsolatedGrant> | undefined> {
    const { clock, dispatcher, quarantine } = this.#services;
    const excludedEndpoints = [...request.excludedEndpoints, ...claimed];
    const granted = await dispatcher.acquire(
      { ...request, excludedEndpoints },
      signal,
    );
    const grant = rightOf(granted);
    if (!grant) {
      return granted.map((value) => ({ grant: value, claim: undefined }));
    }
    const claim = quarantine.claims.claim(
      endpointKey({ service: request.service, endpoint: grant.endpoint.id }),
    );
    await sleep(clock, CLAIM_PROPAGATION_MS);
    if (claim.isHeld) {
      claim.confirm();
      return Right({ grant, claim });
    }
    dispatcher.release(grant.id, "not-run", 0);
    return undefined;
  }

  #partitionEndpoints(
    request: GrantRequest,
  ): { unclaimedCount: number; claimed: EndpointId[] } {
    const { endpoints, quarantine } = this.#services;
    const { service, excludedEndpoints } = request;
    const usable = endpoints.endpointsOf(service).filter(({ id, isLeaving }) =>
      !isLeaving && !excludedEndpoints.includes(id)
    );
    const claimed = usable.map(({ id }) => id).filter((endpoint) =>
      quarantine.claims.isClaimed(endpointKey({ service, endpoint }))
    );
    return { unclaimedCount: usable.length - claimed.length, claimed };
  }

  /** @returns `false` if the wait timed out or was aborted. */
  #waitForUnclaimed(waitEndMs: number, signal: AbortSignal): Promise<boolean> {
    const { clock, quarantine } = this.#services;
    if (signal.aborted) return Promise.resolve(false);
    return new Promise((resolve) => {
      const settle = (wasReleased: boolean): void => {
        timer.dispose();
        subscription.dispose();
        signal.removeEventListener("abort", onAbort);
        resolve(wasReleased);
      };
      const onAbort = (): void => settle(false);
      const timer = clock.setTimer(
        waitEndMs - clock.nowMs(),
        () => settle(false),
      );
      const subscription = quarantine.claims.onDidReleaseEndpoint(() =>
        settle(true)
      );
      signal.addEventListener("abort", onAbort, { once: true });
    });
  }
}

function toRefusal(signal: AbortSignal): Refusal {
  return signal.aborted
    ? {
      reason: "cancelled",
      detail: "the caller disconnected",
      retryAfterMs: undefined,
    }
    : {
      reason: "deadline",
      detail:
        "every endpoint is running a request that may have crashed another one",
      retryAfterMs: RETRY_AFTER_MS,
    };
}
