/** Sends control requests to endpoints through peers. */

import type { Clock } from "../../../base/common/clock.ts";
import type { Address } from "../../../base/common/ids.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";
import type { HeaderList } from "../../../services/http/common/header_list.ts";
import {
  type JsonCaller,
  type JsonRequest,
  type JsonResponse,
  parseJsonText,
} from "../../../services/http/common/json_caller.ts";
import type {
  PassThroughExchange,
  PassThroughListener,
  RelayInstructions,
} from "../../../services/http/common/pass_through_client.ts";
import type { RelayableRequest } from "../../../services/relay/common/relay_sender.ts";

/** Maximum size of a response, without its head. */
const MAX_RESPONSE_BYTES = 1_048_576;

/**
 * Returns what peers have to know to pass a control request on, or `undefined`
 * without an endpoint at the address.
 */
export type RelayInstructor = (
  address: Address,
  deadlineMs: number,
) => RelayInstructions | undefined;

/** JSON client whose requests peers pass on. */
export class RelayedJsonCaller implements JsonCaller {
  readonly #clock: Clock;
  readonly #instruct: RelayInstructor;
  readonly #send: (
    request: RelayableRequest,
    listener: PassThroughListener,
  ) => PassThroughExchange;

  /**
   * @param clock - Clock for the time limits.
   * @param instruct - Returns what peers have to know.
   * @param send - Sends a request through a peer.
   */
  constructor(
    clock: Clock,
    instruct: RelayInstructor,
    send: (
      request: RelayableRequest,
      listener: PassThroughListener,
    ) => PassThroughExchange,
  ) {
    this.#clock = clock;
    this.#instruct = instruct;
    this.#send = send;
  }

  /** {@inheritDoc JsonCaller.call} */
  call(
    address: Address,
    { body, headers: given = [], method, target, timeoutMs }: JsonRequest,
  ): AsyncEither<string, JsonResponse> {
    const deadlineMs = this.#clock.monotonicMs() + timeoutMs;
    const relay = this.#instruct(address, deadlineMs);
    if (!relay) return Promise.resolve(Left(`no endpoint at ${address}`));
    const headers = ["host", address, ...given];
    if (body !== undefined) headers.push("content-type", "application/json");
    return new Promise((resolve) => {
      const response = new CollectedResponse();
      const sent: { exchange?: PassThroughExchange } = {};
      let isSettled = false;
      const settle = (answer: Either<string, JsonResponse>): void => {
        if (isSettled) return;
        isSettled = true;
        timer.dispose();
        resolve(answer);
      };
      const giveUp = (reason: string): void => {
        settle(Left(reason));
        sent.exchange?.abort();
      };
      const timer = this.#clock.setTimer(
        timeoutMs,
        () => giveUp(`no answer through a peer within ${timeoutMs} ms`),
      );
      sent.exchange = this.#send({
        address,
        method,
        target,
        headers,
        body: body === undefined
          ? undefined
          : new TextEncoder().encode(JSON.stringify(body)),
        requestId: undefined,
        relay,
      }, {
        onHead: (status, received) => response.setHead(status, received),
        onData: (chunk) => {
          if (!response.add(chunk)) {
            giveUp(`the response is larger than ${MAX_RESPONSE_BYTES} bytes`);
          }
          return true;
        },
        onEnd: () => settle(Right(response.toJson())),
        onFailure: ({ message }) => settle(Left(message)),
      });
    });
  }
}

/** A response while its parts arrive. */
class CollectedResponse {
  #status = 0;
  #headers: Record<string, string> = {};
  readonly #chunks: Uint8Array[] = [];
  #sizeBytes = 0;

  setHead(status: number, headers: HeaderList): void {
    this.#status = status;
    for (let index = 0; index + 1 < headers.length; index += 2) {
      this.#headers[headers[index]!.toLowerCase()] = headers[index + 1]!;
    }
  }

  /** @returns Whether the response is small enough so far. */
  add(chunk: Uint8Array): boolean {
    this.#chunks.push(chunk);
    this.#sizeBytes += chunk.byteLength;
    return this.#sizeBytes <= MAX_RESPONSE_BYTES;
  }

  toJson(): JsonResponse {
    const decoder = new TextDecoder();
    const text =
      this.#chunks.map((chunk) => decoder.decode(chunk, { stream: true })).join(
        "",
      ) + decoder.decode();
    return {
      status: this.#status,
      headers: this.#headers,
      body: parseJsonText(text),
    };
  }
}
