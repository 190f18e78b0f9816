/** Stand-in for the platform's host list, with a configurable lag. */

import { createServer, type Server } from "node:http";
import type { Clock } from "../../src/base/common/clock.ts";
import { type AsyncEither, Left } from "../../src/base/common/result.ts";
import type {
  HostListClient,
  HostListEntry,
  HostListFailure,
} from "../../src/services/hosts/common/host_list.ts";
import { parseHostList } from "../../src/services/hosts/common/host_list_format.ts";

/** One group of the list in the format in which it is served. */
export interface HostListGroup {
  readonly targets: readonly string[];
  readonly labels: Readonly<Record<string, string>>;
}

/** The host list in memory. */
export class HostListModel implements HostListClient {
  /** Delay before a change becomes visible, in milliseconds. */
  lagMs = 0;
  /** Whether reading the list fails. */
  isDown = false;
  readonly #clock: Clock;
  readonly #groups = new Map<string, HostListGroup>();

  /** @param clock - The clock of the lag. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The groups that are currently served. */
  get groups(): readonly HostListGroup[] {
    return [...this.#groups.values()];
  }

  /** Adds or replaces a host once the lag has passed. */
  set(key: string, group: HostListGroup): void {
    this.#clock.setTimer(this.lagMs, () => this.#groups.set(key, group));
  }

  /** Removes a host once the lag has passed. */
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
    if (this.isDown) return Promise.resolve(Left(fail("unavailable")));
    return Promise.resolve(parseHostList(this.groups).mapLeft(fail));
  }
}

/** Creates an HTTP server for the list; the caller has to make it listen. */
export function createHostListServer(model: HostListModel): Server {
  return createServer((_request, response) => {
    response.writeHead(model.isDown ? 503 : 200, {
      "content-type": "application/json",
    });
    response.end(JSON.stringify(model.groups));
  });
}
