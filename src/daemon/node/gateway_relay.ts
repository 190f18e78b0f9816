/** Serves the requests that peers want passed on to endpoints. */

import { toErrorMessage } from "../../base/common/errors.ts";
import type { Address } from "../../base/common/ids.ts";
import type { Disposable } from "../../base/common/lifecycle.ts";
import {
  RelayGate,
  type RelayGateServices,
} from "../../features/gateway/common/relay/relay_gate.ts";
import type { ServerErrorListener } from "../../services/http/common/port_opener.ts";
import { CallerServer } from "../../services/http/node/caller_server.ts";

/** Longer than peers keep idle connections. */
const IDLE_TIMEOUT_MS = 10_000;
const HEADER_TIMEOUT_MS = 2_000;
/** Sizes are checked by the host that received the request. */
const MAX_SIZE_BYTES = Number.MAX_SAFE_INTEGER;

/** Server for peers, with the gate that decides what is passed on. */
export class GatewayRelay implements Disposable {
  readonly #gate: RelayGate;
  readonly #server: CallerServer;

  /** @param services - Dependencies of the gate. */
  constructor(services: RelayGateServices) {
    const { clock, logger } = services;
    this.#gate = new RelayGate(services);
    this.#server = new CallerServer(clock);
    this.#server.setLimits({
      maxHeaderBytes: MAX_SIZE_BYTES,
      maxBodyBytes: MAX_SIZE_BYTES,
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    });
    this.#server.onDidReceive((exchange) => {
      this.#gate.handle(exchange).catch((thrown: unknown) => {
        logger.log("error", "relay-crashed", {
          detail: toErrorMessage(thrown),
        });
        exchange.abort();
      });
    });
  }

  /** Number of requests of peers in progress. */
  get activeCount(): number {
    return this.#gate.activeCount;
  }

  /**
   * Starts to accept connections of peers.
   *
   * @param address - The address to listen on.
   * @param onError - Called with each error while the server is listening.
   * @returns The address with the actual port.
   */
  listen(address: Address, onError: ServerErrorListener): Promise<Address> {
    return this.#server.listen(address, onError);
  }

  /** Refuses further requests; those in progress go on. */
  beginDrain(): void {
    this.#gate.stopAdmitting();
    this.#server.announceConnectionClose();
  }

  /** Stops accepting connections and closes all of them. */
  dispose(): void {
    this.#server.dispose();
  }
}
