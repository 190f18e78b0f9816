/** Waits at the start for ports that another process still holds. */

import { type Clock, sleep } from "../../base/common/clock.ts";
import type { Address } from "../../base/common/ids.ts";
import type { Logger } from "../../services/log/common/logger.ts";

const RETRY_INTERVAL_MS = 500;

/**
 * Listens on an address, again and again while its port is taken.
 *
 * @param services - Clock of the time between tries, and log of the failures.
 * @param address - The address.
 * @param listen - Tries to listen.
 * @returns What `listen` returns; rejects with any other of its errors.
 */
export async function listenOnceFree<T>(
  services: { readonly clock: Clock; readonly logger: Logger },
  address: Address,
  listen: () => Promise<T>,
): Promise<T> {
  for (;;) {
    try {
      return await listen();
    } catch (thrown) {
      if ((thrown as NodeJS.ErrnoException).code !== "EADDRINUSE") throw thrown;
      services.logger.log("warn", "port-taken", { address });
      await sleep(services.clock, RETRY_INTERVAL_MS);
    }
  }
}
