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
const CHECK_INTERVAL_MS = 100;
/**
 * Time for which a connection stays open after a response that did not announce
 * its close. A caller that reuses it by then gets its answer, with the close.
 */
const REUSE_WINDOW_MS = 500;

/** What a drain acts on. */
export interface DrainServices {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Refuses requests that would outlast the drain. */
  readonly gateway: Gateway;
  /** Server whose connections are closed as they become idle. */
  readonly callers: CallerServer;
  /** Refuses further requests of peers. */
  readonly relay: GatewayRelay;
}

/**
 * Waits until no request is in progress, up to a limit.
 *
 * @param services - What the drain acts on.
 * @param limitMs - Maximum duration in milliseconds.
 */
export async function drainRequests(
  { callers, clock, gateway, logger, relay }: DrainServices,
  limitMs: number,
): Promise<void> {
  const startMs = clock.monotonicMs();
  logger.log("info", "drain-started", {
    active: gateway.activeCount,
    relayed: relay.activeCount,
    limitMs,
  });
  gateway.stop.begin({
    lenientUntilMs: startMs + BALANCER_REMOVAL_DELAY_MS,
    // The drain ends up to one check after its limit, never before.
    endMs: startMs + limitMs,
  });
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
    await sleep(clock, CHECK_INTERVAL_MS);
    callers.closeIdleConnections(REUSE_WINDOW_MS);
  }
  gateway.stop.end();
  callers.closeIdleConnections();
  logger.log("info", "drain-ended", {
    active: gateway.activeCount,
    unread: callers.unreadCount,
    tookMs: Math.round(clock.monotonicMs() - startMs),
  });
}
