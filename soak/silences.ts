/**
 * Silences the open connections of all daemons in series, after which an endpoint
 * leaves without a word.
 */

import type { SeededRandom } from "../src/base/common/random.ts";
import type { InvariantChecker } from "./invariant_checker.ts";
import type { SoakDeployment, SoakEndpoint } from "./soak_deployment.ts";

const MAX_SILENCES = 4;
const MIN_GAP_MS = 100;
const MAX_GAP_MS = 2_000;
const LINKS_SHARE = 0.5;
const WITHDRAWAL_DELAY_MS = 100;
/** Time after a withdrawal in which daemons get in touch and are checked. */
const CHECKED_MS = 4_500;
/** Time for which a withdrawn endpoint serves on, past each bound. */
const WITHDRAWN_MS = 6_000;
/** Number of endpoints of each service that a withdrawal must leave. */
const MIN_ENDPOINTS_PER_SERVICE = 1;

/** Series of silences; new connections work all the while. */
export class Silences {
  readonly #deployment: SoakDeployment;
  readonly #random: SeededRandom;
  readonly #invariants: InvariantChecker;
  #checkedUntilMs = 0;

  /**
   * @param deployment - Deployment whose connections fall silent.
   * @param random - Source of the numbers, gaps and endpoints.
   * @param invariants - Checker that records the endpoints that leave.
   */
  constructor(
    deployment: SoakDeployment,
    random: SeededRandom,
    invariants: InvariantChecker,
  ) {
    this.#deployment = deployment;
    this.#random = random;
    this.#invariants = invariants;
  }

  /**
   * Begins a series unless one is not over: daemons are bound only after a time
   * without silences.
   *
   * @returns What happens from now on.
   */
  begin(): string {
    const nowMs = Date.now();
    if (nowMs < this.#checkedUntilMs) return "no silence in another series";
    const { endpoints } = this.#deployment;
    const count = 1 + Math.floor(this.#random.float() * MAX_SILENCES);
    const gapMs = MIN_GAP_MS + this.#random.float() * (MAX_GAP_MS - MIN_GAP_MS);
    const hasLinks = this.#random.float() < LINKS_SHARE;
    const index = Math.floor(this.#random.float() * endpoints.length);
    const endpoint = endpoints[index]!;
    for (let silence = 0; silence < count; silence++) {
      setTimeout(() => this.#silence(hasLinks), silence * gapMs);
    }
    const withdrawalMs = (count - 1) * gapMs + WITHDRAWAL_DELAY_MS;
    this.#checkedUntilMs = nowMs + withdrawalMs + CHECKED_MS;
    setTimeout(() => this.#withdraw(endpoint), withdrawalMs);
    return `${count} silences of the store${
      hasLinks ? " and all links" : ""
    } every ${Math.round(gapMs)} ms, then ${endpoint.process} is withdrawn`;
  }

  #silence(hasLinks: boolean): void {
    const { daemons, partitions } = this.#deployment;
    for (const { storeProxy } of partitions) storeProxy.silence();
    if (!hasLinks) return;
    for (const partition of partitions) partition.silenceLinksOfPeers();
    for (const daemon of daemons) daemon.recordSilentLinks();
  }

  #withdraw(endpoint: SoakEndpoint): void {
    const { endpoints, storeServer } = this.#deployment;
    const { process, service } = endpoint;
    const others = endpoints.filter((other) =>
      other !== endpoint && other.service === service
    );
    const isPresent = endpoints.includes(endpoint);
    if (!isPresent || others.length < MIN_ENDPOINTS_PER_SERVICE) return;
    void this.#deployment.addReplacement(endpoint);
    this.#deployment.withdrawEndpoint(endpoint, WITHDRAWN_MS);
    const nowMs = Date.now();
    this.#invariants.endpointRules.recordRemoval(
      process,
      nowMs,
      nowMs - storeServer.failedMsOf(""),
    );
  }
}
