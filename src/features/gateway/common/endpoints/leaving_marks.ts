/**
 * Marks endpoints that have stated themselves that they are about to leave, and
 * shares the marks with the peers.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import type { EndpointId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import { Left, Right } from "../../../../base/common/result.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "./endpoint_registry.ts";

interface LeavingMessage {
  readonly endpoint: EndpointId;
  readonly bornMs: number;
}

const LEAVING_CHANNEL: PeerChannelSpec<LeavingMessage> = {
  name: "leaving.v1",
  decode: (body) => {
    const { endpoint, bornMs } = (body ?? {}) as Record<string, unknown>;
    if (typeof endpoint !== "string" || typeof bornMs !== "number") {
      return Left("the endpoint id or its process start time is missing");
    }
    return Right({ endpoint: endpoint as EndpointId, bornMs });
  },
};

const MAX_MARKS = 1_000;

/**
 * Marks of one daemon. A hub passes on each mark that is new to it; all of them
 * are sent over each new link, as their messages may have been lost with the
 * link before.
 */
export class LeavingMarks implements Disposable {
  readonly #registry: EndpointRegistry;
  readonly #overlay: PeerOverlay;
  readonly #channel: PeerChannel<LeavingMessage>;
  readonly #disposables = new DisposableStore();
  /** Marks by endpoint, also of endpoints that are not announced here yet. */
  readonly #marks = new BoundedMap<EndpointId, LeavingMessage>(MAX_MARKS);

  /**
   * @param links - Links to the peers.
   * @param overlay - Determines which daemons pass marks on.
   * @param registry - Registry of the marked endpoints.
   */
  constructor(
    links: PeerLinks,
    overlay: PeerOverlay,
    registry: EndpointRegistry,
  ) {
    this.#registry = registry;
    this.#overlay = overlay;
    this.#channel = this.#disposables.add(links.openChannel(LEAVING_CHANNEL));
    this.#disposables.add(this.#channel.onDidReceive(({ body }) => {
      const isNew = this.#marks.get(body.endpoint)?.bornMs !== body.bornMs;
      this.#marks.set(body.endpoint, body);
      this.#apply(registry.get(body.endpoint));
      if (isNew && overlay.isHub) this.#send(body);
    }));
    this.#disposables.add(
      registry.onDidAdd((endpoint) => this.#apply(endpoint)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (!isUp) return;
      for (const mark of this.#marks.values) {
        // Endpoints that are gone here are gone everywhere soon.
        if (registry.get(mark.endpoint)) this.#channel.send(host, mark);
      }
    }));
  }

  /**
   * Marks an endpoint, unless it is known to have said that it leaves. The
   * removal of its entry alone does not count, as the entry may come back.
   *
   * @param endpoint - The endpoint that is about to leave.
   * @param reason - Source of the mark, for the log.
   */
  mark(
    { announcement, hasSaidLeaving, id, isPresent }: RegisteredEndpoint,
    reason: string,
  ): void {
    if (!isPresent || hasSaidLeaving) return;
    const mark = { endpoint: id, bornMs: announcement.bornMs };
    this.#marks.set(id, mark);
    this.#registry.markDraining(id, reason);
    this.#send(mark);
  }

  /** Stops sharing marks. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #apply(endpoint: RegisteredEndpoint | undefined): void {
    if (!endpoint) return;
    const { bornMs, id } = endpoint.announcement;
    if (this.#marks.get(id)?.bornMs !== bornMs) return;
    this.#registry.markDraining(id, "reported by a peer");
  }

  #send(message: LeavingMessage): void {
    const hosts = [
      ...this.#overlay.linkedHubs(),
      ...this.#overlay.linkedLeaves(),
    ];
    this.#channel.multicast(hosts, message);
  }
}
