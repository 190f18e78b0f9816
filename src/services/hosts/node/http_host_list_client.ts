/** Client that reads the platform's host list over HTTP. */

import { request } from "undici";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import { type AsyncEither, Left } from "../../../base/common/result.ts";
import { readBoundedText } from "../../http/node/bounded_response.ts";
import type {
  HostListClient,
  HostListEntry,
  HostListFailure,
} from "../common/host_list.ts";
import { parseHostList } from "../common/host_list_format.ts";

/** Time limit for the whole response, however it arrives. */
const TIMEOUT_MS = 3_000;
/** Room for thousands of hosts. */
const MAX_RESPONSE_BYTES = 1_048_576;
const HTTP_OK = 200;

/** Reads the host list from one address. */
export class HttpHostListClient implements HostListClient {
  readonly #address: Address;

  /** @param address - The address of the host list. */
  constructor(address: Address) {
    this.#address = address;
  }

  /** {@inheritDoc HostListClient.read} */
  async read(): AsyncEither<HostListFailure, readonly HostListEntry[]> {
    try {
      const response = await request(`http://${this.#address}/`, {
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const json: unknown = JSON.parse(
        await readBoundedText(response.body, MAX_RESPONSE_BYTES),
      );
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
