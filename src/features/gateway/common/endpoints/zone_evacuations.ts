/**
 * The zones to whose endpoints the operator wants nothing new sent. They are
 * entries of the store, which each host follows as it follows the
 * configuration.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import { Emitter } from "../../../../base/common/event.ts";
import type { ZoneName } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../../base/common/lifecycle.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import {
  eraOf,
  type StoreRevision,
} from "../../../../services/mirror/common/store_revision.ts";

/**
 * Time for which an entry of an earlier era stays in effect after the store was
 * restored from a copy that lacks it, so that the operator can write it again.
 */
const RESTORED_RETENTION_MS = 10_000;

/** An evacuated zone, as this host knows it. */
export interface EvacuatedZone {
  readonly zone: ZoneName;
  /** Revision of the store at which the entry was last written. */
  readonly revision: StoreRevision;
  /** Wall-clock time at which this host learned of it, in milliseconds. */
  readonly learnedAtMs: number;
}

/** A zone whose evacuation has begun or ended. */
export interface EvacuationChange {
  readonly zone: ZoneName;
  /** False if the zone has returned. */
  readonly isEvacuated: boolean;
}

/** Keeps the evacuated zones. */
export class ZoneEvacuations implements Disposable {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #zones = new Map<ZoneName, EvacuatedZone>();
  /** Ends of evacuations that the restored store no longer holds. */
  readonly #expirations = new Map<ZoneName, Disposable>();
  readonly #changed = new Emitter<EvacuationChange>();
  #era = 0;
  #eraChangedMs = -Infinity;

  /** Fires when an evacuation begins or ends, not when its entry is rewritten. */
  readonly onDidChange = this.#changed.event;

  /**
   * @param clock - Clock for the time after a change of era.
   * @param logger - Logs the begin and the end of each evacuation.
   */
  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** @returns Whether nothing new may be sent to the endpoints of a zone. */
  isEvacuated(zone: ZoneName): boolean {
    return this.#zones.has(zone);
  }

  /** @returns The evacuated zones. */
  list(): readonly EvacuatedZone[] {
    return [...this.#zones.values()];
  }

  /** Applies an entry of the store. */
  record(zone: ZoneName, revision: StoreRevision): void {
    this.#cancelExpiration(zone);
    const known = this.#zones.get(zone);
    const learnedAtMs = known?.learnedAtMs ?? this.#clock.nowMs();
    this.#zones.set(zone, { zone, revision, learnedAtMs });
    if (known) return;
    this.#logger.log("warn", "zone-evacuated", { zone, revision });
    this.#changed.fire({ zone, isEvacuated: true });
  }

  /**
   * Applies the absence of an entry from the store. A removal by the operator
   * takes effect at once; an entry that was written before the store was
   * restored stays for a time.
   */
  remove(zone: ZoneName): void {
    const known = this.#zones.get(zone);
    if (!known) return;
    this.#cancelExpiration(zone);
    const keepMs = eraOf(known.revision) < this.#era
      ? this.#eraChangedMs + RESTORED_RETENTION_MS - this.#clock.monotonicMs()
      : 0;
    if (keepMs <= 0) {
      this.#end(known);
      return;
    }
    this.#logger.log("warn", "zone-evacuation-missing", {
      zone,
      revision: known.revision,
      keptForMs: Math.round(keepMs),
    });
    const expiration = this.#clock.setTimer(keepMs, () => this.#end(known));
    this.#expirations.set(zone, expiration);
  }

  /** Records that the store was restored from a copy. */
  recordEra(era: number): void {
    this.#era = era;
    this.#eraChangedMs = this.#clock.monotonicMs();
  }

  /** Stops all timers. */
  dispose(): void {
    for (const zone of [...this.#expirations.keys()]) {
      this.#cancelExpiration(zone);
    }
  }

  #end({ zone, learnedAtMs }: EvacuatedZone): void {
    this.#cancelExpiration(zone);
    this.#zones.delete(zone);
    const evacuatedForMs = this.#clock.nowMs() - learnedAtMs;
    this.#logger.log("info", "zone-returned", {
      zone,
      evacuatedForMs: Math.round(evacuatedForMs),
    });
    this.#changed.fire({ zone, isEvacuated: false });
  }

  #cancelExpiration(zone: ZoneName): void {
    (this.#expirations.get(zone) ?? NOOP_DISPOSABLE).dispose();
    this.#expirations.delete(zone);
  }
}
