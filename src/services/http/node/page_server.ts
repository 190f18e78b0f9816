/**
 * HTTP server for plain-text pages, such as readiness and metrics, on an
 * address of its own.
 */

import { createServer, type Server, type ServerResponse } from "node:http";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Logger } from "../../log/common/logger.ts";
import type { ServerErrorListener } from "../common/port_opener.ts";
import { listenAt } from "./listen.ts";

/** A plain-text response. */
export interface Page {
  readonly status: number;
  readonly text: string;
}

/** Serves plain-text pages on one address. */
export class PageServer implements Disposable {
  readonly #server: Server;

  /**
   * @param logger - The logger for failures to create a page.
   * @param page - Creates the page for a path, which may include a query.
   */
  constructor(logger: Logger, page: (path: string) => Promise<Page>) {
    this.#server = createServer((request, response) => {
      // The end of the connection needs no handling.
      response.on("error", () => undefined);
      // An error that leaves a callback of the HTTP parser stops the parser.
      setImmediate(() => void servePage(logger, page, request.url, response));
    });
  }

  /**
   * Starts to serve pages.
   *
   * @param address - The address to listen on.
   * @param onError - Called with each error while the server is listening.
   */
  async listen(address: Address, onError: ServerErrorListener): Promise<void> {
    await listenAt(this.#server, address, {}, onError);
  }

  /** Stops listening and closes all connections. */
  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Answers one request. Never rejects. */
async function servePage(
  logger: Logger,
  page: (path: string) => Promise<Page>,
  path: string | undefined,
  response: ServerResponse,
): Promise<void> {
  try {
    const { status, text } = await page(path ?? "/");
    const length = Buffer.byteLength(text);
    response.writeHead(status, { "content-length": length });
    response.end(text);
  } catch (thrown) {
    logger.log("error", "page-failed", { detail: toErrorMessage(thrown) });
    if (response.headersSent) response.destroy();
    else response.writeHead(500).end();
  }
}
