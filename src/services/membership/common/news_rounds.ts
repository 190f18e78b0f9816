/** Records that are new here and still have to be told. */

import type { HostId } from "../../../base/common/ids.ts";

const ROUNDS = 2;
const MAX_PER_ROUND = 64;

/** Each piece of news goes into a few heartbeats, a bounded number in each. */
export class NewsRounds {
  readonly #roundsLeft = new Map<HostId, number>();

  /** @param host - Host whose record is new. */
  add(host: HostId): void {
    this.#roundsLeft.set(host, ROUNDS);
  }

  /** Hosts whose records go into the next heartbeat. */
  current(): HostId[] {
    return [...this.#roundsLeft.keys()].slice(0, MAX_PER_ROUND);
  }

  /** Takes note that the current news has been sent to all. */
  endRound(): void {
    for (const host of this.current()) {
      const rounds = this.#roundsLeft.get(host)! - 1;
      if (rounds <= 0) this.#roundsLeft.delete(host);
      else this.#roundsLeft.set(host, rounds);
    }
  }
}
