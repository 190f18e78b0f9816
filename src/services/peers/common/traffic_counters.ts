/** Counters of the messages and bytes on peer links, by channel. */

import type { ChannelTraffic, PeerTraffic } from "./peer_links.ts";

type MutableTraffic = { -readonly [K in keyof ChannelTraffic]: number };

/** Counts the messages and bytes that were sent and received. */
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

  /** Counts a frame that was received on an open channel. */
  countReceived(channel: string, sizeBytes: number): void {
    for (const traffic of [this.#total, this.#trafficOf(channel)]) {
      traffic.messagesReceived++;
      traffic.bytesReceived += sizeBytes;
    }
  }

  /**
   * @param waitingBytes - Bytes that wait for links at present.
   * @returns A copy of the current counters.
   */
  snapshot(waitingBytes: number): PeerTraffic {
    const channels = [...this.#channels].map(([name, traffic]) =>
      [name, { ...traffic }] as const
    );
    return { ...this.#total, channels: new Map(channels), waitingBytes };
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
