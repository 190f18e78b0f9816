/** Small pages, such as readiness and metrics, on an address of their own. */

import { createServer, type Server } from "node:http";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Logger } from "../../log/common/logger.ts";
import { listenAt } from "./listen.ts";

/** An answer in plain text. */
export interface Page {
  readonly status: number;
  readonly text: string;
}

/** Answers requests to an address with pages. */
export class PageServer implements Disposable {
  readonly #server: Server;

  /**
   * @param logger - Where failures of the page are told.
   * @param page - Makes the page of a path, which may have a query.
   */
  constructor(logger: Logger, page: (path: string) => Promise<Page>) {
    this.#server = createServer((request, response) => {
      page(request.url ?? "/").then(({ status, text }) => {
        const length = Buffer.byteLength(text);
        response.writeHead(status, { "content-length": length });
        response.end(text);
      }, (thrown: unknown) => {
        logger.log("error", "page-failed", { detail: toErrorMessage(thrown) });
        response.writeHead(500).end();
      });
    });
  }

  /** Starts to answer. */
  async listen(address: Address): Promise<void> {
    await listenAt(this.#server, address);
  }

  /** Closes the address and all connections. */
  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
