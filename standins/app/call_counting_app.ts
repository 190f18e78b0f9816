/** Fake app service without sockets that counts how often each call ran. */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import type {
  AppRequest,
  AppResponse,
} from "../../src/services/endpoints/common/app_client.ts";

/** Injected faults, which can be changed at any time. */
export interface AppFaults {
  /** Whether the service refuses connections. */
  isDown: boolean;
  /** Delay of each response in milliseconds. */
  delayMs: number;
  /** Number of upcoming calls that run but whose response is lost. */
  loseAnswers: number;
}

/** A call with this text in its body crashes the app service. */
const POISON_MARK = "#poison";

/** Runs calls and counts the runs by request body. */
export class CallCountingApp {
  readonly faults: AppFaults = { isDown: false, delayMs: 0, loseAnswers: 0 };
  readonly #clock: Clock;
  readonly #runCounts = new Map<string, number>();

  /** @param clock - Clock for the response delay. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @returns The number of times that a call with this body ran. */
  runCountOf(body: string): number {
    return this.#runCounts.get(body) ?? 0;
  }

  /** Largest number of runs of the same body. */
  get maxRunCount(): number {
    return Math.max(0, ...this.#runCounts.values());
  }

  /**
   * Runs a call.
   *
   * @param request - Request of the call.
   * @returns The response, or `undefined` if the response is lost.
   */
  async run(request: AppRequest): Promise<AppResponse | undefined> {
    const body = Buffer.from(request.body).toString();
    const runCount = this.runCountOf(body) + 1;
    this.#runCounts.set(body, runCount);
    if (body.includes(POISON_MARK)) {
      this.faults.isDown = true;
      return undefined;
    }
    if (this.faults.delayMs > 0) await sleep(this.#clock, this.faults.delayMs);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--;
      return undefined;
    }
    const responseText = JSON.stringify({
      path: request.path,
      booked: body,
      run: runCount,
    });
    return {
      status: 200,
      headers: [{ name: "Content-Type", value: "application/json" }],
      body: Buffer.from(responseText),
    };
  }
}
