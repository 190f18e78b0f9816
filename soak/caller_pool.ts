/**
 * Generates the load of a soak: concurrent callers that each send one request at
 * a time to random daemons and report what they received.
 */

import { Agent, request as sendRequest } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import type { SeededRandom } from "../src/base/common/random.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type {
  InvariantChecker,
  RequestResult,
  SentRequest,
} from "./invariant_checker.ts";
import { WORKSPACE_BY_KEY } from "./soak_deployment.ts";

const REQUEST_KINDS = ["book", "read", "draft"] as const;
const REQUEST_PATHS = { book: "/book/x", read: "/read/x", draft: "/stream/x" };
/** Time after which a caller abandons a request, also sent as its deadline. */
const REQUEST_TIMEOUT_MS = 8_000;
const REQUEST_GAP_MS = 25;

/** Runs concurrent callers until it is stopped. */
export class CallerPool {
  readonly #random: SeededRandom;
  readonly #daemons: readonly DaemonProcess[];
  readonly #invariants: InvariantChecker;
  // Connections are reused until the daemon process ends.
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 200 });
  #isStopping = false;
  #requestCount = 0;

  /**
   * @param random - Source of the choice of daemon, request kind and API key.
   * @param daemons - Daemons that receive the requests.
   * @param invariants - Checker that records each request and its result.
   */
  constructor(
    random: SeededRandom,
    daemons: readonly DaemonProcess[],
    invariants: InvariantChecker,
  ) {
    this.#random = random;
    this.#daemons = daemons;
    this.#invariants = invariants;
  }

  /**
   * Runs callers until {@link stop} is called.
   *
   * @param callerCount - Number of concurrent callers.
   * @returns A promise that resolves when all callers have stopped.
   */
  async run(callerCount: number): Promise<void> {
    const callers = Array.from(
      { length: callerCount },
      () => this.#runCaller(),
    );
    await Promise.all(callers);
    this.#agent.destroy();
  }

  /** Stops each caller after its current request. */
  stop(): void {
    this.#isStopping = true;
  }

  async #runCaller(): Promise<void> {
    while (!this.#isStopping) {
      const daemon = this.#pick(this.#daemons);
      const kind = this.#pick(REQUEST_KINDS);
      const key = this.#pick([...WORKSPACE_BY_KEY.keys()]);
      const id = `q-${++this.#requestCount}`;
      const sentMs = Date.now();
      const sent: SentRequest = { id, kind, key, sentMs, result: undefined };
      this.#invariants.recordSent(sent);
      sent.result = await this.#send(daemon, sent);
      await wait(REQUEST_GAP_MS);
    }
  }

  #send(
    daemon: DaemonProcess,
    { id, kind, key }: SentRequest,
  ): Promise<RequestResult> {
    const { ip, port } = daemon.options;
    return new Promise((resolve) => {
      let text = "";
      const request = sendRequest({
        host: ip,
        port,
        path: REQUEST_PATHS[kind],
        method: "POST",
        agent: this.#agent,
        headers: {
          "Host": "app.example",
          "X-Request-Id": id,
          "X-Deadline-Ms": String(REQUEST_TIMEOUT_MS),
          "X-Token-Count": "300,400",
          "Authorization": `Bearer ${key}`,
        },
      }, (response) => {
        response.on("data", (chunk) => text += String(chunk));
        response.on("error", () => resolve({ kind: "cut", text }));
        response.on("close", () => {
          if (!response.complete) resolve({ kind: "cut", text });
        });
        response.on("end", () => {
          const status = response.statusCode ?? 0;
          resolve(
            response.complete
              ? { kind: "answered", status, text }
              : { kind: "cut", text },
          );
        });
      });
      request.on("error", () => resolve({ kind: "cut", text }));
      request.setTimeout(REQUEST_TIMEOUT_MS, () => request.destroy());
      request.end(kind === "draft" ? "" : id);
    });
  }

  #pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.#random.float() * choices.length)]!;
  }
}
