/** Spreads the marks of leaving endpoints to all daemons. */

import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { PeerLinks } from "../../../services/peers/common/peer_links.ts";
import type { ConfiguredEndpointDirectory } from "./configured_endpoint_directory.ts";
import { DRAIN_MARK_CHANNEL } from "./drain_mark.ts";

const MARKS_PER_MESSAGE = 256;

/** What the spreader works with. */
export interface DrainMarkBroadcasterServices {
  readonly links: PeerLinks;
  readonly logger: Logger;
  readonly endpoints: ConfiguredEndpointDirectory;
}

/** Passes on each mark that is new here, and all marks on a new link. */
export class DrainMarkBroadcaster implements Disposable {
  readonly #disposables = new DisposableStore();

  /** @param services - Where marks come from and go to. */
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

  /** Stops spreading. */
  dispose(): void {
    this.#disposables.dispose();
  }
}
