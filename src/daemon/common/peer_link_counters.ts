/** Counts what goes wrong on the links of a gateway. */

import type { GatewayMetrics } from "../../features/gateway/common/metrics/gateway_metrics.ts";
import type { PeerLinkObserver } from "../../services/peers/common/peer_links.ts";

/**
 * @param metrics - Metrics to count in.
 * @returns An observer that counts refused and failed messages by channel, and
 * messages that broke off.
 */
export function peerLinkCounters(metrics: GatewayMetrics): PeerLinkObserver {
  return {
    onMessageRefused: (channel, reason) =>
      metrics.count("peer_messages_refused", `${channel} ${reason}`),
    onMessageFailed: (channel) =>
      metrics.count("peer_messages_failed", channel),
    onTransferAborted: () => metrics.count("peer_transfers_aborted"),
  };
}
