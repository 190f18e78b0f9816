/** Client whose responses end only when their end is verified. */

import type { Clock } from "../../../base/common/clock.ts";
import type {
  Address,
  EndpointId,
  RequestId,
} from "../../../base/common/ids.ts";
import type {
  PassThroughExchange,
  PassThroughListener,
  PassThroughRequest,
  ProvenConnectionClient,
} from "../../../services/http/common/pass_through_client.ts";
import { type EndCheck, VerifiedResponse } from "./verified_response.ts";

/** Verifies the ends of the responses of another client. */
export class VerifyingClient implements ProvenConnectionClient {
  readonly #clock: Clock;
  readonly #client: ProvenConnectionClient;
  readonly #createCheck: (endpoint: EndpointId) => EndCheck;

  /**
   * @param clock - Clock for the times at which responses arrive.
   * @param client - The client that sends the requests.
   * @param createCheck - Creates the check for a response of an endpoint.
   */
  constructor(
    clock: Clock,
    client: ProvenConnectionClient,
    createCheck: (endpoint: EndpointId) => EndCheck,
  ) {
    this.#clock = clock;
    this.#client = client;
    this.#createCheck = createCheck;
  }

  /** {@inheritDoc PassThroughClient.send} */
  send(
    request: PassThroughRequest,
    listener: PassThroughListener,
  ): PassThroughExchange {
    const { endpoint, method } = request;
    if (endpoint === undefined) return this.#client.send(request, listener);
    const response = new VerifiedResponse(
      this.#clock,
      method,
      listener,
      () => this.#createCheck(endpoint),
    );
    const exchange = this.#client.send(request, {
      ...listener,
      onHead: (status, headers) => response.onHead(status, headers),
      onData: (chunk) => {
        response.onData();
        return listener.onData(chunk);
      },
      onEnd: () => response.onEnd(),
    });
    return {
      abort: () => {
        response.cancel();
        exchange.abort();
      },
      resume: () => exchange.resume(),
    };
  }

  /** {@inheritDoc PassThroughClient.closeIdleConnections} */
  closeIdleConnections(address: Address): void {
    this.#client.closeIdleConnections(address);
  }

  /** {@inheritDoc ProvenConnectionClient.hasProvenConnection} */
  hasProvenConnection(
    address: Address,
    sinceMs: number,
    requestId: RequestId | undefined,
  ): boolean {
    return this.#client.hasProvenConnection(address, sinceMs, requestId);
  }
}
