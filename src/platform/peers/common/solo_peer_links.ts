/** Links of a daemon without peers. */

import { Emitter, type Event } from "../../../base/common/event.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type {
  PeerChannel,
  PeerLinkChange,
  PeerLinks,
  PeerMessage,
  PeerTraffic,
} from "./peer_links.ts";

const NO_TRAFFIC: PeerTraffic = {
  messagesSent: 0,
  messagesReceived: 0,
  bytesSent: 0,
  bytesReceived: 0,
  channels: new Map(),
};

/** Never connected to anyone. */
export class SoloPeerLinks implements PeerLinks {
  readonly onDidChangeLink: Event<PeerLinkChange> =
    new Emitter<PeerLinkChange>().event;

  /** {@inheritDoc PeerLinks.connectedHosts} */
  connectedHosts(): readonly HostId[] {
    return [];
  }

  /** {@inheritDoc PeerLinks.setPeers} */
  setPeers(): void {
    // There is nobody to connect to.
  }

  /** {@inheritDoc PeerLinks.openChannel} */
  openChannel<T>(): PeerChannel<T> {
    const received = new Emitter<PeerMessage<T>>();
    return {
      onDidReceive: received.event,
      send: () => "not-connected",
      broadcast: () => undefined,
      dispose: () => received.dispose(),
    };
  }

  /** {@inheritDoc PeerLinks.traffic} */
  traffic(): PeerTraffic {
    return NO_TRAFFIC;
  }

  /** Releases nothing. */
  dispose(): void {
    // Nothing is held.
  }
}
