/** Stand-in app service without sockets: counts how often each call ran. */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import type {
  AppRequest,
  AppResponse,
} from "../../src/services/endpoints/common/app_client.ts";

/** Faults that can be changed at any time. */
export interface AppFaults {
  /** The service refuses connections. */
  isDown: boolean;
  /** Delay of each answer. */
  delayMs: number;
  /** Number of coming calls whose answer is lost after they ran. */
  loseAnswers: number;
}

/** Runs calls and remembers each body that ran. */
export class CallCountingApp {
  readonly faults: AppFaults = { isDown: false, delayMs: 0, loseAnswers: 0 };
  readonly #clock: Clock;
  readonly #runCounts = new Map<string, number>();

  /** @param clock - Clock of the delay. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @returns How often a call with this body ran. */
  runCountOf(body: string): number {
    return this.#runCounts.get(body) ?? 0;
  }

  /** Largest number of runs of any one body. */
  get maxRunCount(): number {
    return Math.max(0, ...this.#runCounts.values());
  }

  /**
   * Runs a call.
   *
   * @returns The answer, or `undefined` when it is lost.
   */
  async run(request: AppRequest): Promise<AppResponse | undefined> {
    const body = Buffer.from(request.body).toString();
    const runs = this.runCountOf(body) + 1;
    this.#runCounts.set(body, runs);
    if (this.faults.delayMs > 0) await sleep(this.#clock, this.faults.delayMs);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--;
      return undefined;
    }
    const answer = JSON.stringify({
      path: request.path,
      booked: body,
      run: runs,
    });
    return {
      status: 200,
      headers: [{ name: "Content-Type", value: "application/json" }],
      body: Buffer.from(answer),
    };
  }
}
