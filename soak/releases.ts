/**
 * Releases software versions of the service for streams: endpoints of another
 * version start, serve beside the old ones for a time, and the old ones drain.
 * Releases may overlap, and may go back to an earlier version.
 */

import type { SeededRandom } from "../src/base/common/random.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

const SERVICE = "llm";
const MIN_ENDPOINTS = 2;
const MAX_ENDPOINTS = 4;
const MIN_OVERLAP_MS = 300;
const MAX_OVERLAP_MS = 2_500;
/** Time in milliseconds from an endpoint's draining entry to its end. */
const DRAIN_MS = 2_000;
/** Longer than the streams of the version before may be taken up. */
const SINGLE_VERSION_MS = 8_000;
const SINGLE_VERSION_SHARE = 0.6;
const RETURN_SHARE = 0.35;
const OVERLAP_SHARE = 0.4;
/** Time for which a version serves that is withdrawn. */
const MIN_TRIAL_MS = 500;
const MAX_TRIAL_MS = 1_500;

/** Starts releases and ends those that have begun. */
export class Releases {
  readonly #deployment: SoakDeployment;
  readonly #random: SeededRandom;
  /** All versions so far, in the order of their first release. */
  readonly #versions: string[];
  #latest: string;
  #unfinishedCount = 0;
  #singleUntilMs = 0;

  /**
   * @param deployment - Deployment whose endpoints are released.
   * @param random - Source of versions, sizes and times.
   * @param versions - Versions of the first endpoints.
   */
  constructor(
    deployment: SoakDeployment,
    random: SeededRandom,
    versions: readonly string[],
  ) {
    this.#deployment = deployment;
    this.#random = random;
    this.#versions = [...versions];
    this.#latest = versions.at(-1)!;
  }

  /**
   * Begins a release, unless one version is to serve alone for some time, or
   * another release is not over and none is to overlap with it.
   *
   * @returns What was done.
   */
  beginUnlessQuiet(): string {
    const mayOverlap = this.#random.float() < OVERLAP_SHARE;
    if (Date.now() < this.#singleUntilMs) return "no release: one version";
    if (this.#unfinishedCount > 0 && !mayOverlap) {
      return "no release: another is not over";
    }
    return this.begin();
  }

  /**
   * Begins a release.
   *
   * @returns What was done.
   */
  begin(): string {
    const random = this.#random;
    const version = this.#chooseVersion();
    const count = MIN_ENDPOINTS +
      Math.floor(random.float() * (MAX_ENDPOINTS - MIN_ENDPOINTS + 1));
    const overlapMs = MIN_OVERLAP_MS +
      random.float() * (MAX_OVERLAP_MS - MIN_OVERLAP_MS);
    const isSingleAfter = random.float() < SINGLE_VERSION_SHARE;
    this.#latest = version;
    this.#unfinishedCount++;
    this.#deployment.replacementVersion = undefined;
    for (let index = 0; index < count; index++) {
      void this.#deployment.addEndpoint(SERVICE, version);
    }
    setTimeout(() => this.#end(version, isSingleAfter), overlapMs);
    return `release ${version} at ${count} endpoints, the others drain after ${
      Math.round(overlapMs)
    } ms`;
  }

  /**
   * Starts endpoints of a version that none has had before. They end together
   * soon, without notice, and their entries with them.
   *
   * @returns What was done.
   */
  beginWithdrawn(): string {
    const version = this.#addVersion();
    const trialMs = MIN_TRIAL_MS +
      this.#random.float() * (MAX_TRIAL_MS - MIN_TRIAL_MS);
    const deployment = this.#deployment;
    for (let index = 0; index < MAX_ENDPOINTS; index++) {
      void deployment.addEndpoint(SERVICE, version);
    }
    setTimeout(() => {
      const tried = deployment.endpoints.filter((endpoint) =>
        endpoint.service === SERVICE && endpoint.version === version
      );
      for (const endpoint of tried) deployment.removeEndpoint(endpoint);
    }, trialMs);
    return `try ${version} for ${Math.round(trialMs)} ms`;
  }

  /** The endpoints of the latest release stay, also if it is another one. */
  #end(version: string, isSingleAfter: boolean): void {
    this.#unfinishedCount--;
    const deployment = this.#deployment;
    const old = deployment.endpoints.filter((endpoint) =>
      endpoint.service === SERVICE && endpoint.version !== version &&
      endpoint.version !== this.#latest
    );
    for (const endpoint of old) deployment.drainEndpoint(endpoint, DRAIN_MS);
    if (version !== this.#latest || this.#unfinishedCount > 0) return;
    deployment.replacementVersion = version;
    if (isSingleAfter) {
      this.#singleUntilMs = Date.now() + DRAIN_MS + SINGLE_VERSION_MS;
    }
  }

  /** An earlier version returns, or a new one appears. */
  #chooseVersion(): string {
    const earlier = this.#versions.filter((version) =>
      version !== this.#latest
    );
    const isReturn = this.#random.float() < RETURN_SHARE;
    const choice = Math.floor(this.#random.float() * earlier.length);
    if (isReturn && earlier.length > 0) return earlier[choice]!;
    return this.#addVersion();
  }

  #addVersion(): string {
    const version = `v${this.#versions.length + 1}`;
    this.#versions.push(version);
    return version;
  }
}
