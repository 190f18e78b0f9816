/** Fake endpoints that answer calls by themselves, after a time. */

import type { Clock } from "../../src/base/common/clock.ts";
import type { Address } from "../../src/base/common/ids.ts";
import type {
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
} from "../../src/services/http/common/pass_through_client.ts";
import { FakeEndpoints } from "./fake_endpoints.ts";

/** Answers each request after the response time of its endpoint. */
export class TimedEndpoints extends FakeEndpoints {
  /** Monotonic times of requests that were sent before, in milliseconds. */
  readonly extraSentMs: number[] = [];
  readonly #sentIds = new Set<string | undefined>();
  readonly #clock: Clock;
  readonly #responseMs: (address: Address) => number;

  /**
   * @param clock - Clock for the response times.
   * @param responseMs - Draws the response time of an endpoint, in ms.
   */
  constructor(clock: Clock, responseMs: (address: Address) => number) {
    super();
    this.#clock = clock;
    this.#responseMs = responseMs;
  }

  override send(
    request: PassThroughRequest,
    sink: PassThroughListener,
  ): PassThroughExchange {
    super.send(request, sink);
    const transfer = this.last;
    this.transfers.length = 0;
    const id = transfer.header("id");
    if (this.#sentIds.has(id)) {
      this.extraSentMs.push(this.#clock.monotonicMs());
    }
    this.#sentIds.add(id);
    this.#clock.setTimer(
      this.#responseMs(request.address),
      () => transfer.respond(200, "answer"),
    );
    return transfer;
  }
}
