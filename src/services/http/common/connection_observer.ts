/** Contract for observing the connections that a client opens. */

import type { Address } from "../../../base/common/ids.ts";

/** Why a connection could not be opened. The values appear in the log. */
export type ConnectFailure = "timed-out" | "refused" | "reset" | "failed";

/** Observes the connections of one client. */
export interface ConnectionObserver {
  /** Called when a connection was opened. */
  onOpened(address: Address): void;
  /**
   * Called when a connection could not be opened.
   *
   * @param address - The address that was tried.
   * @param failure - How it failed.
   * @param startedMs - Monotonic time at which it was tried, in milliseconds.
   */
  onOpenFailed(
    address: Address,
    failure: ConnectFailure,
    startedMs: number,
  ): void;
  /** Called when a part of a response has arrived on a connection. */
  onReceived(address: Address): void;
}
