/** Reads the platform's host list over HTTP. */

import { request } from "undici";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import { type AsyncEither, Left } from "../../../base/common/result.ts";
import type {
  HostListClient,
  HostListEntry,
  HostListFailure,
} from "../common/host_list.ts";
import { parseHostList } from "../common/host_list_format.ts";

const TIMEOUT_MS = 3_000;
const HTTP_OK = 200;

/** Client of the host list at one address. */
export class HttpHostListClient implements HostListClient {
  readonly #address: Address;

  /** @param address - Address of the list. */
  constructor(address: Address) {
    this.#address = address;
  }

  /** {@inheritDoc HostListClient.read} */
  async read(): AsyncEither<HostListFailure, readonly HostListEntry[]> {
    try {
      const response = await request(`http://${this.#address}/`, {
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const json: unknown = await response.body.json();
      if (response.statusCode !== HTTP_OK) {
        return Left(this.#failure(`status ${response.statusCode}`));
      }
      return parseHostList(json).mapLeft((detail) => this.#failure(detail));
    } catch (thrown) {
      return Left(this.#failure(toErrorMessage(thrown)));
    }
  }

  #failure(detail: string): HostListFailure {
    return { step: "hosts.read", peer: this.#address, detail };
  }
}
