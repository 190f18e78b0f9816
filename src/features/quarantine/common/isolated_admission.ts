/** Gets grants for suspects only where no other suspect runs. */

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

/** What the admission works with. */
export interface IsolatedAdmissionServices {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly endpoints: EndpointDirectory;
  readonly quarantine: Quarantine;
}

/** A grant, with the claim of its endpoint when the request is a suspect. */
export interface IsolatedGrant {
  readonly grant: Grant;
  readonly claim: EndpointClaim | undefined;
}

/** Time for a claim of another daemon to arrive. */
const CLAIM_PROPAGATION_MS = 25;
/** Longest wait for an endpoint without suspects. */
const MAX_ISOLATION_WAIT_MS = 60_000;
const RETRY_AFTER_MS = 5_000;

/** Asks the dispatcher, and keeps suspects apart. */
export class IsolatedAdmission {
  readonly #services: IsolatedAdmissionServices;

  /** @param services - What the admission works with. */
  constructor(services: IsolatedAdmissionServices) {
    this.#services = services;
  }

  /**
   * Waits for a grant.
   *
   * @param request - What is needed.
   * @param fingerprint - Fingerprint of the request.
   * @param signal - Aborted when the caller has gone.
   */
  async acquire(
    request: GrantRequest,
    fingerprint: string,
    signal: AbortSignal,
  ): AsyncEither<Refusal, IsolatedGrant> {
    const { clock, dispatcher, quarantine } = this.#services;
    const { workspace } = request;
    const lastMs = clock.nowMs() + MAX_ISOLATION_WAIT_MS;
    const limitMs = Math.min(lastMs, request.deadlineMs ?? lastMs);
    while (quarantine.isSuspect({ workspace, fingerprint })) {
      const { free, claimed } = this.#partitionEndpoints(request);
      if (free + claimed.length === 0) break;
      if (free > 0) {
        const isolated = await this.#acquireIsolated(request, claimed, signal);
        if (isolated) return isolated;
      } else if (!await this.#waitForUnclaimed(limitMs, signal)) {
        return Left(toRefusal(signal));
      }
    }
    const granted = await dispatcher.acquire(request, signal);
    return granted.map((grant) => ({ grant, claim: undefined }));
  }

  /** @returns The result, or `undefined` when the claim was lost. */
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
      return granted.map((given) => ({ grant: given, claim: undefined }));
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
  ): { free: number; claimed: EndpointId[] } {
    const { endpoints, quarantine } = this.#services;
    const { service, excludedEndpoints } = request;
    const usable = endpoints.endpointsOf(service).filter(({ id, isLeaving }) =>
      !isLeaving && !excludedEndpoints.includes(id)
    );
    const claimed = usable.map(({ id }) => id).filter((endpoint) =>
      quarantine.claims.isClaimed(endpointKey({ service, endpoint }))
    );
    return { free: usable.length - claimed.length, claimed };
  }

  /** @returns `false` when the wait was in vain. */
  #waitForUnclaimed(limitMs: number, signal: AbortSignal): Promise<boolean> {
    const { clock, quarantine } = this.#services;
    if (signal.aborted) return Promise.resolve(false);
    return new Promise((resolve) => {
      const settle = (isFree: boolean): void => {
        timer.dispose();
        subscription.dispose();
        signal.removeEventListener("abort", onAbort);
        resolve(isFree);
      };
      const onAbort = (): void => settle(false);
      const timer = clock.setTimer(
        limitMs - clock.nowMs(),
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
      detail: "the caller went away",
      retryAfterMs: undefined,
    }
    : {
      reason: "deadline",
      detail: "every endpoint runs a request that may have killed another one",
      retryAfterMs: RETRY_AFTER_MS,
    };
}
