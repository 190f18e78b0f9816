/** Stand-in for the platform's host list; what it says lags behind. */

import { createServer, type Server } from "node:http";
import type { Clock } from "../../src/base/common/clock.ts";
import { type AsyncEither, Left } from "../../src/base/common/result.ts";
import type {
  HostListClient,
  HostListEntry,
  HostListFailure,
} from "../../src/services/hosts/common/host_list.ts";
import { parseHostList } from "../../src/services/hosts/common/host_list_format.ts";

/** One group of the list, as it is served. */
export interface HostListGroup {
  readonly targets: readonly string[];
  readonly labels: Readonly<Record<string, string>>;
}

/** The list in memory. */
export class HostListModel implements HostListClient {
  /** How far the list lags behind. */
  lagMs = 0;
  /** Whether it answers at all. */
  isDown = false;
  readonly #clock: Clock;
  readonly #groups = new Map<string, HostListGroup>();

  /** @param clock - Clock of the lag. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The list as it is served now. */
  get groups(): readonly HostListGroup[] {
    return [...this.#groups.values()];
  }

  /** Adds or replaces a host, after the lag. */
  set(key: string, group: HostListGroup): void {
    this.#clock.setTimer(this.lagMs, () => this.#groups.set(key, group));
  }

  /** Removes a host, after the lag. */
  remove(key: string): void {
    this.#clock.setTimer(this.lagMs, () => this.#groups.delete(key));
  }

  /** {@inheritDoc HostListClient.read} */
  read(): AsyncEither<HostListFailure, readonly HostListEntry[]> {
    const fail = (detail: string): HostListFailure => ({
      step: "hosts.read",
      peer: "host list",
      detail,
    });
    if (this.isDown) return Promise.resolve(Left(fail("the list is down")));
    return Promise.resolve(parseHostList(this.groups).mapLeft(fail));
  }
}

/** Creates the list's server; it does not listen yet. */
export function createHostListServer(model: HostListModel): Server {
  return createServer((_request, response) => {
    response.writeHead(model.isDown ? 503 : 200, {
      "content-type": "application/json",
    });
    response.end(JSON.stringify(model.groups));
  });
}
