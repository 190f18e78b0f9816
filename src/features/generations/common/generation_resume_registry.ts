/**
 * Tracks which daemon currently serves the caller of a generation. A caller may
 * resume a generation at any daemon, so the daemon that it disconnected from
 * must be notified, or it would cancel the generation as abandoned.
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

/** Notification that a daemon sends to its peers about a generation. */
export interface ResumeNotification {
  /**
   * `taken`: a caller has resumed the generation at the sender. `given-up`: the
   * sender could not reach the engine and no longer serves the generation.
   */
  readonly kind: "taken" | "given-up";
  readonly id: GenerationId;
}

/** Object that keeps a generation running on behalf of a caller. */
export interface GenerationHolder {
  /** Called when a caller has resumed the generation through another holder. */
  onResumedElsewhere(): void;
  /** Called when the holder that resumed it could not reach the engine. */
  onAbandonedElsewhere(): void;
}

const MAX_ID_CHARACTERS = 2_048;
/** Lets notifications that have already arrived be handled before expiry. */
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

/**
 * Registry of the generation holders of this daemon. It notifies local holders
 * and connected peers when a generation is resumed or abandoned.
 */
export class GenerationResumeRegistry implements Disposable {
  readonly #links: PeerLinks;
  readonly #channel: PeerChannel<ResumeNotification>;
  readonly #holders = new Map<GenerationId, Set<GenerationHolder>>();
  readonly #resumedHere = new Map<GenerationId, GenerationHolder>();
  readonly #disposables = new DisposableStore();

  /** @param links - Links to the peers; disposed of by their owner. */
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
   * Registers a holder.
   *
   * @param id - Id of the generation.
   * @param holder - Notified when the generation is resumed or abandoned
   * elsewhere.
   * @returns Registration whose disposal removes the holder.
   */
  register(id: GenerationId, holder: GenerationHolder): Disposable {
    const holders = this.#holders.get(id) ?? new Set();
    this.#holders.set(id, holders.add(holder));
    return toDisposable(() => {
      if (this.#resumedHere.get(id) === holder) this.#resumedHere.delete(id);
      holders.delete(holder);
      if (holders.size === 0) this.#holders.delete(id);
    });
  }

  /**
   * Notifies all other holders that a caller has resumed the generation through
   * the given one. The notification is repeated for each peer that connects
   * while the holder is registered.
   */
  announceResumed(id: GenerationId, holder: GenerationHolder): void {
    this.#resumedHere.set(id, holder);
    this.#broadcast({ kind: "taken", id }, holder);
  }

  /** Notifies all other holders that the given one abandoned the generation. */
  announceAbandoned(id: GenerationId, holder: GenerationHolder): void {
    this.#broadcast({ kind: "given-up", id }, holder);
  }

  /** Closes the peer channel and stops handling notifications. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #broadcast(notification: ResumeNotification, holder: GenerationHolder): void {
    this.#notifyHolders(notification, holder);
    for (const host of this.#links.connectedHosts()) {
      this.#channel.send(host, notification);
    }
  }

  #notifyHolders(
    { kind, id }: ResumeNotification,
    except: GenerationHolder | undefined,
  ): void {
    for (const holder of [...this.#holders.get(id) ?? []]) {
      if (holder === except) continue;
      if (kind === "taken") holder.onResumedElsewhere();
      else holder.onAbandonedElsewhere();
    }
  }
}

/** Timer for how long a generation keeps running without its caller. */
export class ResumeWindow implements Disposable {
  #timer: Disposable = NOOP_DISPOSABLE;

  /**
   * Starts the window, replacing one that is already running.
   *
   * @param clock - Clock that measures the window.
   * @param windowMs - Length of the window in milliseconds.
   * @param onExpired - Called on expiry, unless the window is disposed of
   * first. Notifications that arrived while the process was paused are handled
   * before the expiry.
   */
  start(clock: Clock, windowMs: number, onExpired: () => void): void {
    this.dispose();
    this.#timer = clock.setTimer(windowMs, () => {
      this.#timer = clock.setTimer(NOTIFICATION_GRACE_MS, onExpired);
    });
  }

  /** Stops the window without calling the expiry callback. */
  dispose(): void {
    this.#timer.dispose();
  }
}
