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
export interface ResumeNotification {
  /** `taken`: a caller follows it here. `given-up`: it could not be reached. */
  readonly kind: "taken" | "given-up";
  readonly id: GenerationId;
}

/** Something that holds a generation for a caller. */
export interface GenerationHolder {
  /** A caller has resumed the generation somewhere else. */
  onResumedElsewhere(): void;
  /** The one that had resumed it could not reach the engine. */
  onAbandonedElsewhere(): void;
}

const MAX_ID_CHARACTERS = 2_048;
/** Lets notices that have already arrived go before a window's end. */
const NOTIFICATION_GRACE_MS = 50;

const notificationSchema = z.object({
  kind: z.enum(["taken", "given-up"]),
  id: z.string().min(1).max(MAX_ID_CHARACTERS)
    .transform((text) => asId<GenerationId>(text)),
});

const GENERATIONS_CHANNEL: PeerChannelSpec<ResumeNotification> = {
  name: "generations.v1",
  decode: (body) =>
    attempt(() => notificationSchema.parse(body), toErrorMessage),
};

/** Followers of this daemon, and the notices between the daemons. */
export class GenerationResumeRegistry implements Disposable {
  readonly #links: PeerLinks;
  readonly #channel: PeerChannel<ResumeNotification>;
  readonly #holders = new Map<GenerationId, Set<GenerationHolder>>();
  readonly #resumedHere = new Map<GenerationId, GenerationHolder>();
  readonly #disposables = new DisposableStore();

  /** @param links - Links to the other daemons; not owned. */
  constructor(links: PeerLinks) {
    this.#links = links;
    this.#channel = this.#disposables.add(
      links.openChannel(GENERATIONS_CHANNEL),
    );
    this.#disposables.add(
      this.#channel.onDidReceive(({ body }) =>
        this.#notifyHolders(body, undefined)
      ),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (!isUp) return;
      for (const id of this.#resumedHere.keys()) {
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
  register(id: GenerationId, follower: GenerationHolder): Disposable {
    const followers = this.#holders.get(id) ?? new Set();
    this.#holders.set(id, followers.add(follower));
    return toDisposable(() => {
      if (this.#resumedHere.get(id) === follower) this.#resumedHere.delete(id);
      followers.delete(follower);
      if (followers.size === 0) this.#holders.delete(id);
    });
  }

  /** Tells everyone else that a caller follows a generation here. */
  announceResumed(id: GenerationId, follower: GenerationHolder): void {
    this.#resumedHere.set(id, follower);
    this.#broadcast({ kind: "taken", id }, follower);
  }

  /** Tells everyone else that a generation is not followed here any more. */
  announceAbandoned(id: GenerationId, follower: GenerationHolder): void {
    this.#broadcast({ kind: "given-up", id }, follower);
  }

  /** Stops listening. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #broadcast(notice: ResumeNotification, follower: GenerationHolder): void {
    this.#notifyHolders(notice, follower);
    for (const host of this.#links.connectedHosts()) {
      this.#channel.send(host, notice);
    }
  }

  #notifyHolders(
    { kind, id }: ResumeNotification,
    except: GenerationHolder | undefined,
  ): void {
    for (const follower of [...this.#holders.get(id) ?? []]) {
      if (follower === except) continue;
      if (kind === "taken") follower.onResumedElsewhere();
      else follower.onAbandonedElsewhere();
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
      this.#timer = clock.setTimer(NOTIFICATION_GRACE_MS, onExpired);
    });
  }

  /** Stops the window. */
  dispose(): void {
    this.#timer.dispose();
  }
}
