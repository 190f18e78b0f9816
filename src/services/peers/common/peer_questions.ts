/**
 * Questions to peers that are answered by messages with the same number. A peer
 * that does not answer in time is not asked again for a while.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { SendResult } from "./peer_links.ts";

/** Time for the answer of another host; a round trip takes 2 to 10 ms. */
const ANSWER_TIMEOUT_MS = 150;
/** Time for which a host that did not answer is not asked again. */
const UNRESPONSIVE_MS = 1_000;

/** Open questions of one daemon on one channel. */
export class PeerQuestions<A> {
  readonly #clock: Clock;
  readonly #pending = new Map<number, (answer: A) => void>();
  readonly #unresponsiveUntilMs = new Map<HostId, number>();
  #nextNumber = 0;

  /** @param clock - Clock of the time limits. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Asks a host.
   *
   * @param host - The host to ask.
   * @param send - Sends the question with its number.
   * @param onSilent - Called when the host does not answer in time.
   * @returns The answer, or `undefined` if there is none.
   */
  ask(
    host: HostId,
    send: (number: number) => SendResult,
    onSilent: () => void,
  ): Promise<A | undefined> {
    const nowMs = this.#clock.monotonicMs();
    const isUnresponsive = nowMs < (this.#unresponsiveUntilMs.get(host) ?? 0);
    const number = this.#nextNumber++;
    if (isUnresponsive || send(number) !== "queued") {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      const timer = this.#clock.setTimer(ANSWER_TIMEOUT_MS, () => {
        this.#pending.delete(number);
        const untilMs = this.#clock.monotonicMs() + UNRESPONSIVE_MS;
        this.#unresponsiveUntilMs.set(host, untilMs);
        onSilent();
        resolve(undefined);
      });
      this.#pending.set(number, (answer) => {
        timer.dispose();
        this.#pending.delete(number);
        resolve(answer);
      });
    });
  }

  /**
   * Passes on an answer.
   *
   * @returns Whether the question was still open.
   */
  settle(number: number, answer: A): boolean {
    const resolve = this.#pending.get(number);
    resolve?.(answer);
    return resolve !== undefined;
  }

  /** Asks a host again that did not answer, as its link is new. */
  forgive(host: HostId): void {
    this.#unresponsiveUntilMs.delete(host);
  }
}
