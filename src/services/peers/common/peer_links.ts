/**
 * Contract for links between daemons and for the typed message channels on
 * them.
 */

import type { Event } from "../../../base/common/event.ts";
import type { Address, HostId, ZoneName } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { Either } from "../../../base/common/result.ts";

/** Address at which a daemon listens for its peers. */
export interface PeerAddress {
  readonly host: HostId;
  readonly zone: ZoneName;
  readonly address: Address;
}

/** A peer to which a link is kept. */
export interface PeerTarget extends PeerAddress {
  /**
   * Whether the peer never dials this daemon, so that this daemon need not wait
   * for the peer to dial first.
   */
  readonly isSoleDialer?: boolean;
}

/**
 * Specification of a message channel. Each feature owns its channels. The
 * decoder validates every message, so that foreign or malformed messages never
 * reach the feature.
 */
export interface PeerChannelSpec<T> {
  /** Name and version of the channel, such as `dispatch.v1`. */
  readonly name: string;
  /**
   * @returns The encoded body. Without an encoder, the message is sent as it
   * is.
   */
  encode?(message: T): unknown;
  /**
   * @returns The typed message, or a description of why the body is invalid.
   */
  decode(body: unknown): Either<string, T>;
}

/** A received message with its sender. */
export interface PeerMessage<T> {
  readonly from: HostId;
  readonly body: T;
}

/** Why a message to a connected host is not sent. */
export type SendRefusal = "queue-full" | "too-large" | "not-encodable";

/** Result of handing a message over for sending. */
export type SendResult = "queued" | "not-connected" | SendRefusal;

/**
 * A message channel on all links. Messages are delivered in order and at most
 * once.
 */
export interface PeerChannel<T> extends Disposable {
  /** Fires for each valid message. */
  readonly onDidReceive: Event<PeerMessage<T>>;
  /** Sends a message to one host. */
  send(to: HostId, body: T): SendResult;
  /** Sends a message to several hosts and encodes it only once. */
  multicast(to: readonly HostId[], body: T): void;
  /**
   * Sends a message to all hosts with an established link and encodes it only
   * once.
   */
  broadcast(body: T): void;
  /**
   * Returns whether messages of this channel to a host still wait for its link.
   */
  hasWaiting(to: HostId): boolean;
}

/** What a peer states of its process when a link is established. */
export interface PeerProcess {
  /** Wall-clock time in milliseconds at which the process started. */
  readonly incarnation: number;
  /** Names of the channels that the process has open. */
  readonly channels: readonly string[];
}

/** Notification that a link was established or closed. */
export interface PeerLinkChange {
  readonly host: HostId;
  readonly isUp: boolean;
  readonly reason: string;
  /** The process of the peer; absent when the link was closed. */
  readonly peer?: PeerProcess;
}

/** Traffic of one channel since the start of the process. */
export interface ChannelTraffic {
  readonly messagesSent: number;
  readonly messagesReceived: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** Traffic of all links since the start of the process. */
export interface PeerTraffic extends ChannelTraffic {
  /** Traffic by channel. */
  readonly channels: ReadonlyMap<string, ChannelTraffic>;
  /** Bytes that wait for links at present. */
  readonly waitingBytes: number;
}

/** Observes the links of a daemon, for its metrics. */
export interface PeerLinkObserver {
  /** Called when a link closes. */
  onLinkClosed?(): void;
  /** Called when a message to a connected host is not sent. */
  onMessageRefused?(channel: string, reason: SendRefusal): void;
  /** Called when a received message was not processed because of an error. */
  onMessageFailed?(channel: string): void;
  /** Called when a link closes in the middle of a message. */
  onTransferAborted?(): void;
}

/** The links of one daemon to its peers. */
export interface PeerLinks extends Disposable {
  /** Fires when a link is established or closed. */
  readonly onDidChangeLink: Event<PeerLinkChange>;
  /** Returns the hosts with an established link. */
  connectedHosts(): readonly HostId[];
  /** Replaces the set of peers to which links are kept. */
  setPeers(peers: readonly PeerTarget[]): void;
  /** Opens a channel. Each channel name can be open only once. */
  openChannel<T>(spec: PeerChannelSpec<T>): PeerChannel<T>;
  /** Returns the current traffic counters. */
  traffic(): PeerTraffic;
}
