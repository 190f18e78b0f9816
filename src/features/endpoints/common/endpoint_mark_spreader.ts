/** Spreads the marks of leaving endpoints to all daemons. */

import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { PeerLinks } from "../../../services/peers/common/peer_links.ts";
import type { ConfiguredEndpoints } from "./configured_endpoints.ts";
import { ENDPOINT_MARK_CHANNEL } from "./endpoint_mark.ts";

const MARKS_PER_MESSAGE = 256;

/** What the spreader works with. */
export interface EndpointMarkSpreaderServices {
  readonly links: PeerLinks;
  readonly logger: Logger;
  readonly endpoints: ConfiguredEndpoints;
}

/** Passes on each mark that is new here, and all marks on a new link. */
export class EndpointMarkSpreader implements Disposable {
  readonly #owned = new DisposableStore();

  /** @param services - Where marks come from and go to. */
  constructor({ links, logger, endpoints }: EndpointMarkSpreaderServices) {
    const channel = this.#owned.add(links.openChannel(ENDPOINT_MARK_CHANNEL));
    this.#owned.add(channel.onDidReceive(({ body }) => {
      for (const mark of body) endpoints.applyMark(mark);
    }));
    this.#owned.add(endpoints.onDidMark((mark) => {
      const { service, endpoint, isLeaving, reason } = mark;
      const event = isLeaving ? "endpoint-leaving" : "endpoint-returned";
      logger.log("info", event, { service, endpoint, reason });
      channel.broadcast([mark]);
    }));
    this.#owned.add(links.onDidChangeLink(({ host, isUp }) => {
      if (!isUp) return;
      const marks = endpoints.marks();
      for (let at = 0; at < marks.length; at += MARKS_PER_MESSAGE) {
        channel.send(host, marks.slice(at, at + MARKS_PER_MESSAGE));
      }
    }));
  }

  /** Stops spreading. */
  dispose(): void {
    this.#owned.dispose();
  }
}
