/** Counters of what links carried, for each channel. */

import type { ChannelTraffic, PeerTraffic } from "./peer_links.ts";

type MutableTraffic = { -readonly [K in keyof ChannelTraffic]: number };

/** Counts messages and bytes. */
export class TrafficCounters {
  readonly #total: MutableTraffic = emptyTraffic();
  readonly #channels = new Map<string, MutableTraffic>();

  /** Counts a frame that was sent. */
  countSent(channel: string, sizeBytes: number): void {
    for (const traffic of [this.#total, this.#trafficOf(channel)]) {
      traffic.messagesSent++;
      traffic.bytesSent += sizeBytes;
    }
  }

  /** Counts a frame that was received on a channel that is open here. */
  countReceived(channel: string, sizeBytes: number): void {
    for (const traffic of [this.#total, this.#trafficOf(channel)]) {
      traffic.messagesReceived++;
      traffic.bytesReceived += sizeBytes;
    }
  }

  /** @returns A copy of the counters. */
  snapshot(): PeerTraffic {
    const channels = [...this.#channels].map(([name, traffic]) =>
      [name, { ...traffic }] as const
    );
    return { ...this.#total, channels: new Map(channels) };
  }

  #trafficOf(channel: string): MutableTraffic {
    const existing = this.#channels.get(channel);
    if (existing) return existing;
    const traffic = emptyTraffic();
    this.#channels.set(channel, traffic);
    return traffic;
  }
}

function emptyTraffic(): MutableTraffic {
  return {
    messagesSent: 0,
    messagesReceived: 0,
    bytesSent: 0,
    bytesReceived: 0,
  };
}
