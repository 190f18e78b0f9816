/**
 * Remembers at which software version streams began, so that callers can take
 * them up at any host. What endpoints of two versions write does not fit
 * together, and endpoints do not check it.
 */

import { BoundedMap } from "../../../../base/common/bounded_map.ts";
import type { Clock } from "../../../../base/common/clock.ts";
import { Emitter } from "../../../../base/common/event.ts";
import type { ServiceId, WorkspaceId } from "../../../../base/common/ids.ts";

/** A stream that has begun, under the id of the try that began it. */
export interface StreamVersion {
  readonly id: string;
  /** Workspace of the caller; empty on routes without keys. */
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly softwareVersion: string;
  /** Monotonic time in milliseconds after which no caller takes it up. */
  readonly expiresMs: number;
}

/** Identifies a stream. Other workspaces cannot find it. */
export type StreamKey = Pick<StreamVersion, "id" | "workspace" | "service">;

const MAX_STREAMS = 20_000;
/** Longer ids are not remembered. */
const MAX_ID_CHARACTERS = 200;

/** Streams that have begun at any host, as far as this one knows. */
export class StreamVersionTable {
  readonly #clock: Clock;
  readonly #streams = new BoundedMap<string, StreamVersion>(MAX_STREAMS);
  readonly #didRecord = new Emitter<StreamVersion>();
  readonly #didAdd = new Emitter<StreamVersion>();
  /** Called when a stream becomes known, by its key in the map. */
  readonly #waiting = new Map<string, Set<(softwareVersion: string) => void>>();

  /** Fires when a stream of this daemon has begun. */
  readonly onDidRecord = this.#didRecord.event;
  /** Fires when a stream of any daemon becomes known. */
  readonly onDidAdd = this.#didAdd.event;

  /** @param clock - Clock for the expiry of streams. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @returns The streams that callers may still take up. */
  streams(): readonly StreamVersion[] {
    const nowMs = this.#clock.monotonicMs();
    return this.#streams.values.filter(({ expiresMs }) => expiresMs > nowMs);
  }

  /** @returns The version at which a stream began, if it is known. */
  versionOf(key: StreamKey): string | undefined {
    const stream = this.#streams.get(toMapKey(key));
    if (!stream || stream.expiresMs <= this.#clock.monotonicMs()) {
      return undefined;
    }
    return stream.softwareVersion;
  }

  /**
   * Waits until a stream becomes known, which its host may have reported only
   * just now.
   *
   * @param key - The stream.
   * @param timeoutMs - Time to wait at most, in milliseconds.
   * @returns The version at which it began, or `undefined` after that time.
   */
  awaitVersionOf(
    key: StreamKey,
    timeoutMs: number,
  ): Promise<string | undefined> {
    const mapKey = toMapKey(key);
    const waiting = this.#waiting.get(mapKey) ?? new Set();
    this.#waiting.set(mapKey, waiting);
    return new Promise((resolve) => {
      const settle = (softwareVersion: string | undefined): void => {
        timer.dispose();
        waiting.delete(settle);
        if (waiting.size === 0) this.#waiting.delete(mapKey);
        resolve(softwareVersion);
      };
      const timer = this.#clock.setTimer(timeoutMs, () => settle(undefined));
      waiting.add(settle);
    });
  }

  /** Records that a stream of this daemon has begun or continued. */
  record(stream: StreamVersion): void {
    if (stream.id.length > MAX_ID_CHARACTERS) return;
    this.add(stream);
    this.#didRecord.fire(stream);
  }

  /**
   * Adds a stream of any daemon.
   *
   * @returns Whether it was not known yet.
   */
  add(stream: StreamVersion): boolean {
    const key = toMapKey(stream);
    const known = this.#streams.get(key);
    this.#streams.set(key, stream);
    for (const settle of this.#waiting.get(key) ?? []) {
      settle(stream.softwareVersion);
    }
    const isNew = known?.softwareVersion !== stream.softwareVersion;
    if (isNew) this.#didAdd.fire(stream);
    return isNew;
  }
}

/** @returns The key of a stream among those of all services and workspaces. */
export function toMapKey({ id, service, workspace }: StreamKey): string {
  return `${service} ${workspace} ${id}`;
}
