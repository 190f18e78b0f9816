/** Contract for messages between the daemons. */

import type { Event } from "../../../base/common/event.ts";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Either } from "../../../base/common/result.ts";

/** Where a daemon listens for its peers. */
export interface PeerAddress {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly address: Address;
}

/** A peer that a link is kept to. */
export interface PeerTarget extends PeerAddress {
  /** Whether the other side does not dial, so that this one need not wait. */
  readonly isSoleDialer?: boolean;
}

/**
 * A kind of messages. Each feature owns its channels; the decoder checks every
 * message, so that a foreign or malformed one never reaches the feature.
 */
export interface PeerChannelSpec<T> {
  /** Name and version, such as `dispatch.v1`. */
  readonly name: string;
  /** @returns The body as it is sent; the message itself when left out. */
  encode?(message: T): unknown;
  /** @returns The typed message, or what is wrong with it. */
  decode(body: unknown): Either<string, T>;
}

/** A message with its sender. */
export interface PeerMessage<T> {
  readonly from: HostId;
  readonly body: T;
}

/** What became of a message that was handed over for sending. */
export type SendResult = "queued" | "not-connected" | "queue-full";

/** One kind of messages on all links. Delivery is at most once, in order. */
export interface PeerChannel<T> extends Disposable {
  /** Fires for each valid message. */
  readonly onDidReceive: Event<PeerMessage<T>>;
  /** Sends to one host. */
  send(to: HostId, body: T): SendResult;
  /** Sends to some hosts; encodes the message once. */
  multicast(to: readonly HostId[], body: T): void;
  /** Sends to every host with a link that is up; encodes the message once. */
  broadcast(body: T): void;
}

/** A link that came up or went down. */
export interface PeerLinkChange {
  readonly host: HostId;
  readonly isUp: boolean;
  readonly reason: string;
}

/** Traffic of one channel since the start. */
export interface ChannelTraffic {
  readonly messagesSent: number;
  readonly messagesReceived: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** Traffic of all links since the start. */
export interface PeerTraffic extends ChannelTraffic {
  /** The same by channel. */
  readonly channels: ReadonlyMap<string, ChannelTraffic>;
}

/** The links of one daemon to its peers. */
export interface PeerLinks extends Disposable {
  /** Fires when a link comes up or goes down. */
  readonly onDidChangeLink: Event<PeerLinkChange>;
  /** Hosts with a link that is up. */
  connectedHosts(): readonly HostId[];
  /** Replaces the hosts that links are kept to. */
  setPeers(peers: readonly PeerTarget[]): void;
  /** Opens a channel; each name once. */
  openChannel<T>(spec: PeerChannelSpec<T>): PeerChannel<T>;
  /** Counters of the traffic. */
  traffic(): PeerTraffic;
}
