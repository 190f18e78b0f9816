/** Broadcasts the drain marks of endpoints to all daemons. */

import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { PeerLinks } from "../../../services/peers/common/peer_links.ts";
import type { ConfiguredEndpointDirectory } from "./configured_endpoint_directory.ts";
import { DRAIN_MARK_CHANNEL } from "./drain_mark.ts";

const MARKS_PER_MESSAGE = 256;

/** Dependencies of `DrainMarkBroadcaster`. */
export interface DrainMarkBroadcasterServices {
  readonly links: PeerLinks;
  readonly logger: Logger;
  readonly endpoints: ConfiguredEndpointDirectory;
}

/** Broadcasts each new drain mark, and sends all marks over a new link. */
export class DrainMarkBroadcaster implements Disposable {
  readonly #disposables = new DisposableStore();

  /** @param services - The links, the log and the endpoint directory. */
  constructor({ links, logger, endpoints }: DrainMarkBroadcasterServices) {
    const channel = this.#disposables.add(
      links.openChannel(DRAIN_MARK_CHANNEL),
    );
    this.#disposables.add(channel.onDidReceive(({ body }) => {
      for (const mark of body) endpoints.applyDrainMark(mark);
    }));
    this.#disposables.add(endpoints.onDidChangeDrainMark((mark) => {
      const { service, endpoint, isLeaving, reason } = mark;
      const event = isLeaving ? "endpoint-leaving" : "endpoint-returned";
      logger.log("info", event, { service, endpoint, reason });
      channel.broadcast([mark]);
    }));
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (!isUp) return;
      const marks = endpoints.drainMarks();
      for (let at = 0; at < marks.length; at += MARKS_PER_MESSAGE) {
        channel.send(host, marks.slice(at, at + MARKS_PER_MESSAGE));
      }
    }));
  }

  /** Stops broadcasting. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
