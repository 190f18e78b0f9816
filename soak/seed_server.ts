/**
 * Lists the hosts that a daemon knows to daemons that start, as the daemon
 * itself does, with the addresses of the proxies in front of them.
 */

import { get, type IncomingMessage, type ServerResponse } from "node:http";
import { LoopbackServer } from "../platform/standins/loopback_server.ts";
import type { Address } from "../src/base/common/ids.ts";

/** Seed in front of one daemon. */
export class SeedServer extends LoopbackServer {
  readonly #daemonAddress: Address;
  readonly #proxyOf: (host: string) => Address | undefined;

  /**
   * @param daemonAddress - Address at which the daemon lists the hosts.
   * @param proxyOf - Finds the address at which the peers of a host reach it.
   */
  constructor(
    daemonAddress: Address,
    proxyOf: (host: string) => Address | undefined,
  ) {
    super();
    this.#daemonAddress = daemonAddress;
    this.#proxyOf = proxyOf;
  }

  protected override async handle(
    { url = "/" }: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const hosts = JSON.parse(await this.#read(url)) as { host: string }[];
      const listed = hosts.map((host) => ({
        ...host,
        address: this.#proxyOf(host.host),
      }));
      response.writeHead(200, { connection: "close" });
      response.end(JSON.stringify(listed));
    } catch {
      // The daemon does not run.
      response.destroy();
    }
  }

  #read(path: string): Promise<string> {
    return new Promise((resolve, reject) => {
      const request = get(`http://${this.#daemonAddress}${path}`, (answer) => {
        let text = "";
        answer.on("data", (chunk) => text += String(chunk));
        answer.on("end", () => resolve(text));
        answer.on("error", reject);
      });
      request.on("error", reject);
    });
  }
}
