/**
 * Passes the end of a response on only when it is verified. The end of a
 * response that has neither a length nor chunks is that of its connection, and
 * a process that ends closes its connections in the same way.
 */

import {
  onUnexpectedError,
  toErrorMessage,
} from "../../../base/common/errors.ts";
import {
  type HeaderList,
  isCloseDelimited,
} from "../../../services/http/common/header_list.ts";
import type { PassThroughListener } from "../../../services/http/common/pass_through_client.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { Timestamp } from "../../../base/common/timestamp.ts";
import { ResponseTiming } from "./response_timing.ts";

/**
 * Verifies the end of a response.
 *
 * @param endedSince - Earliest time at which the response may have ended.
 * @param isCancelled - Returns whether the response is not needed any more.
 * @returns Why it is not verified, or `undefined` if it is.
 */
export type EndCheck = (
  endedSince: Timestamp,
  isCancelled: () => boolean,
) => Promise<string | undefined>;

/** A response whose end is verified before it is passed on. */
export class VerifiedResponse {
  readonly #method: string;
  readonly #listener: Pick<
    PassThroughListener,
    "onHead" | "onEnd" | "onFailure"
  >;
  readonly #createCheck: () => EndCheck;
  readonly #timing: ResponseTiming;
  #isVerifiedByPeer = false;
  /** Check for the end; `undefined` where the framing marks the end. */
  #check: EndCheck | undefined;
  #isCancelled = false;

  /**
   * @param clock - Clock for the times at which the response arrives.
   * @param method - Method of the request.
   * @param listener - Receives the response.
   * @param createCheck - Creates the check for a response whose end only the
   * closing of its connection marks, while the process that writes it is known.
   */
  constructor(
    clock: Clock,
    method: string,
    listener: Pick<PassThroughListener, "onHead" | "onEnd" | "onFailure">,
    createCheck: () => EndCheck,
  ) {
    this.#method = method;
    this.#listener = listener;
    this.#createCheck = createCheck;
    this.#timing = new ResponseTiming(clock);
  }

  /** The peer that passes the response on verifies its end. */
  onEndVerified(): void {
    this.#isVerifiedByPeer = true;
  }

  /** The head of the response has arrived. */
  onHead(status: number, headers: HeaderList): void {
    this.#timing.recordArrival();
    if (
      isCloseDelimited(this.#method, status, headers) && !this.#isVerifiedByPeer
    ) this.#check = this.#createCheck();
    this.#listener.onHead(status, headers);
  }

  /** A part of the body has arrived. */
  onData(): void {
    this.#timing.recordArrival();
  }

  /** The response has ended according to its framing. */
  onEnd(): void {
    if (this.#check) void this.#verify(this.#check);
    else this.#listener.onEnd();
  }

  /** Makes no further calls of the listener. */
  cancel(): void {
    this.#isCancelled = true;
  }

  async #verify(check: EndCheck): Promise<void> {
    const reason = await check(
      this.#timing.earliestEnd(),
      () => this.#isCancelled,
    ).catch((thrown: unknown) => {
      onUnexpectedError(thrown);
      return toErrorMessage(thrown);
    });
    if (this.#isCancelled) return;
    if (reason === undefined) this.#listener.onEnd();
    else this.#listener.onFailure({ kind: "broken", message: reason });
  }
}
