/** Lets the requests in progress end before a gateway daemon stops. */

import { type Clock, sleep } from "../../base/common/clock.ts";
import type { Gateway } from "../../features/gateway/common/gateway.ts";
import type { CallerServer } from "../../services/http/node/caller_server.ts";
import type { GatewayRelay } from "./gateway_relay.ts";
import type { Logger } from "../../services/log/common/logger.ts";

/**
 * Time until load balancers stop sending new connections after the daemon is no
 * longer ready.
 */
const BALANCER_REMOVAL_DELAY_MS = 2_600;
/**
 * Time before the drain deadline in which no request is admitted; a call takes
 * up to 1 s.
 */
const ADMISSION_CUTOFF_MS = 1_500;
const CHECK_INTERVAL_MS = 100;
/**
 * Time for which a connection stays open after a response that did not announce
 * its close. A caller that reuses it by then gets its answer, with the close.
 */
const REUSE_WINDOW_MS = 500;

/**
 * Waits until no request is in progress, up to a limit.
 *
 * @param clock - Clock for the limit.
 * @param logger - Logs the start and the end of the drain.
 * @param gateway - Refuses what could not end in time.
 * @param callers - Server whose connections are closed as they become idle.
 * @param relay - Refuses further requests of peers.
 * @param limitMs - Maximum duration in milliseconds.
 */
export async function drainRequests(
  clock: Clock,
  logger: Logger,
  gateway: Gateway,
  callers: CallerServer,
  relay: GatewayRelay,
  limitMs: number,
): Promise<void> {
  const startMs = clock.monotonicMs();
  logger.log("info", "drain-started", {
    active: gateway.activeCount,
    relayed: relay.activeCount,
    limitMs,
  });
  gateway.beginDrain();
  relay.beginDrain();
  callers.announceConnectionClose();
  await sleep(clock, BALANCER_REMOVAL_DELAY_MS);
  // Responses whose headers were sent before the drain did not announce the
  // close, so their connections stay open.
  callers.closeIdleConnections(REUSE_WINDOW_MS);
  while (
    callers.activeCount + relay.activeCount > 0 ||
    callers.hasRecentlyUsed(REUSE_WINDOW_MS)
  ) {
    const tookMs = clock.monotonicMs() - startMs;
    if (tookMs > limitMs) break;
    if (tookMs > limitMs - ADMISSION_CUTOFF_MS) gateway.stopAdmitting();
    await sleep(clock, CHECK_INTERVAL_MS);
    callers.closeIdleConnections(REUSE_WINDOW_MS);
  }
  callers.closeIdleConnections();
  logger.log("info", "drain-ended", {
    active: gateway.activeCount,
    unread: callers.unreadCount,
    tookMs: Math.round(clock.monotonicMs() - startMs),
  });
}
