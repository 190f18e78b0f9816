/**
 * Who follows a generation. A caller may resume at any daemon, so the daemon
 * that it left must learn that the generation is still wanted.
 */

import * as z from "zod";
import type { Clock } from "../../../base/common/clock.ts";
import { asId, type GenerationId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  NOOP_DISPOSABLE,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import { attempt } from "../../../base/common/result.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";

/** What a daemon tells the others about a generation. */
export interface FollowerNotice {
  /** `taken`: a caller follows it here. `given-up`: it could not be reached. */
  readonly kind: "taken" | "given-up";
  readonly id: GenerationId;
}

/** Something that holds a generation for a caller. */
export interface Follower {
  /** A caller has resumed the generation somewhere else. */
  onTakenElsewhere(): void;
  /** The one that had resumed it could not reach the engine. */
  onGivenUpElsewhere(): void;
}

const MAX_ID_CHARACTERS = 2_048;
/** Lets notices that have already arrived go before a window's end. */
const NOTICE_GRACE_MS = 50;

const noticeSchema = z.object({
  kind: z.enum(["taken", "given-up"]),
  id: z.string().min(1).max(MAX_ID_CHARACTERS)
    .transform((text) => asId<GenerationId>(text)),
});

const CHANNEL: PeerChannelSpec<FollowerNotice> = {
  name: "generations.v1",
  decode: (body) => attempt(() => noticeSchema.parse(body), toErrorMessage),
};

/** Followers of this daemon, and the notices between the daemons. */
export class GenerationFollowers implements Disposable {
  readonly #links: PeerLinks;
  readonly #channel: PeerChannel<FollowerNotice>;
  readonly #followers = new Map<GenerationId, Set<Follower>>();
  readonly #taken = new Map<GenerationId, Follower>();
  readonly #owned = new DisposableStore();

  /** @param links - Links to the other daemons; not owned. */
  constructor(links: PeerLinks) {
    this.#links = links;
    this.#channel = this.#owned.add(links.openChannel(CHANNEL));
    this.#owned.add(
      this.#channel.onDidReceive(({ body }) => this.#notify(body, undefined)),
    );
    this.#owned.add(links.onDidChangeLink(({ host, isUp }) => {
      if (!isUp) return;
      for (const id of this.#taken.keys()) {
        this.#channel.send(host, { kind: "taken", id });
      }
    }));
  }

  /**
   * Adds a follower.
   *
   * @param id - The generation.
   * @param follower - Told when the generation is followed elsewhere.
   * @returns Disposing it removes the follower.
   */
  add(id: GenerationId, follower: Follower): Disposable {
    const followers = this.#followers.get(id) ?? new Set();
    this.#followers.set(id, followers.add(follower));
    return toDisposable(() => {
      if (this.#taken.get(id) === follower) this.#taken.delete(id);
      followers.delete(follower);
      if (followers.size === 0) this.#followers.delete(id);
    });
  }

  /** Tells everyone else that a caller follows a generation here. */
  announceTaken(id: GenerationId, follower: Follower): void {
    this.#taken.set(id, follower);
    this.#announce({ kind: "taken", id }, follower);
  }

  /** Tells everyone else that a generation is not followed here any more. */
  announceGivenUp(id: GenerationId, follower: Follower): void {
    this.#announce({ kind: "given-up", id }, follower);
  }

  /** Stops listening. */
  dispose(): void {
    this.#owned.dispose();
  }

  #announce(notice: FollowerNotice, follower: Follower): void {
    this.#notify(notice, follower);
    for (const host of this.#links.connectedHosts()) {
      this.#channel.send(host, notice);
    }
  }

  #notify({ kind, id }: FollowerNotice, except: Follower | undefined): void {
    for (const follower of [...this.#followers.get(id) ?? []]) {
      if (follower === except) continue;
      if (kind === "taken") follower.onTakenElsewhere();
      else follower.onGivenUpElsewhere();
    }
  }
}

/** The time for which a generation is kept without its caller. */
export class ResumeWindow implements Disposable {
  #timer: Disposable = NOOP_DISPOSABLE;

  /**
   * Starts the window, in place of one that runs.
   *
   * @param clock - Clock of the window.
   * @param windowMs - Its length, in milliseconds.
   * @param onExpired - Called unless the window is disposed before. A notice
   * that arrived while the process was paused is read first.
   */
  start(clock: Clock, windowMs: number, onExpired: () => void): void {
    this.dispose();
    this.#timer = clock.setTimer(windowMs, () => {
      this.#timer = clock.setTimer(NOTICE_GRACE_MS, onExpired);
    });
  }

  /** Stops the window. */
  dispose(): void {
    this.#timer.dispose();
  }
}
