/** App client that calls fake app services in the same process. */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import type { Address } from "../../src/base/common/ids.ts";
import { type AsyncEither, Left, Right } from "../../src/base/common/result.ts";
import type {
  AppClient,
  AppFailure,
  AppRequest,
  AppResponse,
} from "../../src/services/endpoints/common/app_client.ts";
import type { Endpoint } from "../../src/services/endpoints/common/engine_client.ts";
import type { CallCountingApp } from "./call_counting_app.ts";

const LINK_DELAY_MS = 1;

/** App client of one simulated host. */
export class InProcessAppClient implements AppClient {
  readonly #clock: Clock;
  readonly #apps: ReadonlyMap<Address, CallCountingApp>;

  /**
   * @param clock - Clock for link delays and request timeouts.
   * @param apps - App services by address.
   */
  constructor(clock: Clock, apps: ReadonlyMap<Address, CallCountingApp>) {
    this.#clock = clock;
    this.#apps = apps;
  }

  /** {@inheritDoc AppClient.send} */
  async send(
    endpoint: Endpoint,
    request: AppRequest,
  ): AsyncEither<AppFailure, AppResponse> {
    await sleep(this.#clock, LINK_DELAY_MS);
    const app = this.#apps.get(endpoint.address);
    if (!app || app.faults.isDown) {
      return Left(fail(endpoint, "not-sent", "connection refused"));
    }
    const timeout = sleep(this.#clock, request.timeoutMs).then(() =>
      "timeout" as const
    );
    const result = await Promise.race([app.run(request), timeout]);
    if (result === "timeout") return Left(fail(endpoint, "unknown", "timeout"));
    if (!result) {
      const failure = fail(endpoint, "unknown", "connection lost");
      return Left({ ...failure, isConnectionLost: true });
    }
    return Right(result);
  }

  /** {@inheritDoc AppClient.isListening} */
  async isListening(endpoint: Endpoint): Promise<boolean> {
    await sleep(this.#clock, LINK_DELAY_MS);
    const app = this.#apps.get(endpoint.address);
    return app !== undefined && !app.faults.isDown;
  }

  /** Does nothing, since the client holds no resources. */
  dispose(): void {
    // Required by the interface.
  }
}

function fail(
  { address }: Endpoint,
  kind: AppFailure["kind"],
  detail: string,
): AppFailure {
  return { kind, step: "app.send", peer: address, detail };
}
