/**
 * Records the parts of prompts that were in requests without an answer when
 * their endpoint crashed, and the parts on which an endpoint has written since.
 */

import { BoundedMap } from "../../../base/common/bounded_map.ts";
import type { Clock } from "../../../base/common/clock.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { ServiceId } from "../../../base/common/ids.ts";
import {
  areSameCrashes,
  countedCrashes,
  countedDurationMs,
  countSuccessive,
  type CrashEvidence,
  type CrashReport,
  evidenceOf,
  mergeCrashes,
  QUARANTINE_DURATION_MS,
  SAME_CRASH_WINDOW_MS,
} from "./endpoint_crash.ts";
import {
  type CrashingParts,
  findCrashingParts,
} from "./prompt_part_verdicts.ts";

/** Crash of an endpoint that a part may have caused. */
export interface PartCrash extends CrashReport {
  /** Version of the endpoint's software. */
  readonly version: string;
}

/** What is known of one part. Records of different daemons can be merged. */
export interface PromptPartRecord {
  readonly service: ServiceId;
  readonly part: string;
  readonly crashes: readonly PartCrash[];
  /** Software versions that have written answers on the part. */
  readonly soundVersions: readonly string[];
  /**
   * Wall-clock time in milliseconds of the newest crash of which it was accused
   * alone; 0 before.
   */
  readonly accusedMs: number;
  /** Wall-clock time in milliseconds up to which crashes are ignored. */
  readonly clearedMs: number;
}

/** Whether a prompt may be sent to the endpoints of a service. */
export type PromptVerdict =
  | { readonly kind: "allowed" }
  /** It crashes endpoints. */
  | { readonly kind: "quarantined"; readonly quarantine: QuarantinedParts }
  /**
   * It crashed endpoints that run no longer, or too long ago to be certain; one
   * request at a time may show whether it still does.
   */
  | { readonly kind: "probation"; readonly part: string };

/** Parts that are refused together, as listed for operators. */
export interface QuarantinedParts {
  readonly service: ServiceId;
  readonly parts: CrashingParts;
  /** Wall-clock time in milliseconds at which the quarantine ends. */
  readonly untilMs: number;
  /** Wall-clock time in milliseconds since which this daemon refuses them. */
  readonly sinceMs: number;
  readonly endpoints: readonly string[];
}

/** Beginning or end of a quarantine on this daemon. */
export interface PartTransition {
  readonly kind: "quarantined" | "released";
  readonly service: ServiceId;
  readonly parts: CrashingParts;
}

/** Time after the last crash for which an accused part is on probation. */
export const PROBATION_DURATION_MS = 3_600_000;

/** Time within which the reports of all hosts on a crash have arrived. */
const ACCUSATION_DELAY_MS = 1_000;
const MAX_RECORDS = 4_096;
const MAX_SOUND_PARTS = 16_384;
const MAX_SOUND_VERSIONS = 8;
const EXPIRY_PERIOD_MS = 1_000;
const ALLOWED: PromptVerdict = { kind: "allowed" };

/** Parts of prompts that may crash endpoints, of all services. */
export class PromptPartTable {
  readonly #clock: Clock;
  readonly #requestCrashes: () => readonly (readonly string[])[];
  /** Records in the order of their latest change. */
  readonly #records = new Map<string, PromptPartRecord>();
  /** Parts known to be sound, by service and version. */
  readonly #sound = new BoundedMap<string, true>(MAX_SOUND_PARTS);
  readonly #didChange = new Emitter<PromptPartRecord>();
  readonly #didTransition = new Emitter<PartTransition>();
  /** Quarantined parts by service and parts. */
  #quarantined = new Map<string, QuarantinedParts>();
  #areVerdictsStale = false;
  #nextExpiryMs = -Infinity;

  /** Fires after a record has changed. */
  readonly onDidChange = this.#didChange.event;
  /** Fires when this daemon starts or stops to refuse parts. */
  readonly onDidTransition = this.#didTransition.event;

  /**
   * @param clock - Clock for the expiry of records.
   * @param requestCrashes - Returns the endpoints that each request crashed
   * which is quarantined as a whole.
   */
  constructor(
    clock: Clock,
    requestCrashes: () => readonly (readonly string[])[] = () => [],
  ) {
    this.#clock = clock;
    this.#requestCrashes = requestCrashes;
  }

  /** @returns All records that have not expired. */
  records(): readonly PromptPartRecord[] {
    this.#expire();
    return [...this.#records.values()];
  }

  /** @returns The record of a part, if there is one. */
  get(service: ServiceId, part: string): PromptPartRecord | undefined {
    return this.#records.get(keyOf({ service, part }));
  }

  /** @returns The parts that this daemon refuses. */
  listQuarantined(): readonly QuarantinedParts[] {
    this.#refreshVerdicts();
    return [...this.#quarantined.values()];
  }

  /**
   * Decides whether a prompt may be sent.
   *
   * @param service - Service of the request.
   * @param parts - Parts of its prompt that others may share.
   * @param versions - Software versions of the endpoints that accept requests.
   */
  verdictOn(
    service: ServiceId,
    parts: readonly string[],
    versions: ReadonlySet<string>,
  ): PromptVerdict {
    if (this.#records.size === 0 || parts.length === 0) return ALLOWED;
    this.#refreshVerdicts();
    const held = new Set(parts);
    for (const quarantine of this.#quarantined.values()) {
      if (quarantine.service !== service) continue;
      if (!quarantine.parts.every((part) => held.has(part))) continue;
      if (this.#concernsAny(quarantine, versions)) {
        return { kind: "quarantined", quarantine };
      }
    }
    for (const part of held) {
      const record = this.get(service, part);
      if (record && this.#isOnProbation(record, versions)) {
        return { kind: "probation", part };
      }
    }
    return ALLOWED;
  }

  /**
   * Records that an endpoint crashed before it had answered a request.
   *
   * @param service - Service of the endpoint.
   * @param parts - Parts of the request's prompt that others may share.
   * @param crash - The crash.
   */
  recordCrash(
    service: ServiceId,
    parts: readonly string[],
    crash: PartCrash,
  ): void {
    for (const part of new Set(parts)) {
      if (this.#isSound(service, crash.version, part)) continue;
      this.merge({
        service,
        part,
        crashes: [crash],
        soundVersions: [],
        accusedMs: 0,
        clearedMs: 0,
      });
    }
  }

  /**
   * Records that an endpoint has written an answer and lived.
   *
   * @param service - Service of the endpoint.
   * @param version - Version of its software.
   * @param parts - Parts of the prompt that others may share.
   */
  recordSound(
    service: ServiceId,
    version: string,
    parts: readonly string[],
  ): void {
    for (const part of parts) {
      this.#sound.set(soundKeyOf(service, version, part), true);
      const record = this.get(service, part);
      if (!record || record.soundVersions.includes(version)) continue;
      this.merge({ ...record, soundVersions: [version] });
    }
  }

  /**
   * Records that a process of an endpoint answered after a suspected crash.
   *
   * @param endpoint - Identifier of the endpoint and its process.
   */
  refute(endpoint: string): void {
    this.#updateEvidence(
      (crash) =>
        crash.endpoint === endpoint && evidenceOf(crash) === "suspected",
      "refuted",
    );
  }

  /**
   * Records that another process has taken the place of an endpoint's.
   *
   * @param endpoint - Identifier of the endpoint and its process.
   * @param sinceMs - Wall-clock time in milliseconds from which crashes are
   * confirmed.
   */
  confirm(endpoint: string, sinceMs: number): void {
    this.#updateEvidence(
      (crash) =>
        crash.endpoint === endpoint && crash.atMs >= sinceMs &&
        evidenceOf(crash) !== "confirmed",
      "confirmed",
    );
  }

  /**
   * Forgets the crashes of a part on behalf of an operator.
   *
   * @param part - The part, of any service.
   * @returns Whether there was a record.
   */
  release(part: string): boolean {
    const found = this.records().filter((record) => record.part === part);
    for (const record of found) {
      this.merge({ ...record, clearedMs: this.#clock.nowMs() });
    }
    return found.length > 0;
  }

  /**
   * Merges a record received from another daemon. The result does not depend on
   * the order of merges.
   */
  merge(received: PromptPartRecord): void {
    const key = keyOf(received);
    const existing = this.#records.get(key);
    const merged = existing ? mergeRecords(existing, received) : received;
    if (existing && isSameRecord(existing, merged)) return;
    if (!existing && !this.#isCurrent(merged)) return;
    this.#records.delete(key);
    this.#records.set(key, merged);
    this.#evict();
    this.#areVerdictsStale = true;
    this.#didChange.fire(merged);
    this.#addKnownSound(merged);
  }

  /** Adds what only this daemon knows, as a change of its own. */
  #addKnownSound({ crashes, part, service, soundVersions }: PromptPartRecord) {
    const unknown = crashes.map(({ version }) => version).filter((version) =>
      !soundVersions.includes(version) && this.#isSound(service, version, part)
    );
    if (unknown.length === 0) return;
    this.#clock.setTimer(0, () => {
      for (const version of unknown) this.recordSound(service, version, [part]);
    });
  }

  #isSound(service: ServiceId, version: string, part: string): boolean {
    return this.#sound.get(soundKeyOf(service, version, part)) === true;
  }

  #updateEvidence(
    matches: (crash: PartCrash) => boolean,
    evidence: CrashEvidence,
  ): void {
    for (const record of this.records()) {
      if (!record.crashes.some(matches)) continue;
      const crashes = record.crashes.map((crash) =>
        matches(crash) ? { ...crash, evidence } : crash
      );
      this.merge({ ...record, crashes });
    }
  }

  /** Returns the distinct crashes of which a part is a possible cause. */
  #crashesOf(
    { clearedMs, crashes, soundVersions }: PromptPartRecord,
  ): PartCrash[] {
    return countedCrashes(crashes, this.#clock.nowMs(), clearedMs)
      .filter(({ version }) => !soundVersions.includes(version));
  }

  #isCurrent(record: PromptPartRecord): boolean {
    const { accusedMs, clearedMs, crashes } = record;
    const lastMs = Math.max(clearedMs, ...crashes.map(({ atMs }) => atMs));
    const nowMs = this.#clock.nowMs();
    return lastMs + QUARANTINE_DURATION_MS > nowMs ||
      (accusedMs > clearedMs && accusedMs + PROBATION_DURATION_MS > nowMs);
  }

  #isOnProbation(
    record: PromptPartRecord,
    versions: ReadonlySet<string>,
  ): boolean {
    const { accusedMs, clearedMs, soundVersions } = record;
    if (accusedMs <= clearedMs || !this.#isCurrent(record)) return false;
    return [...versions].some((version) => !soundVersions.includes(version));
  }

  /** Returns whether an endpoint of a version that crashed accepts requests. */
  #concernsAny(
    { parts, service }: QuarantinedParts,
    versions: ReadonlySet<string>,
  ): boolean {
    if (versions.size === 0) return true;
    return parts.some((part) => {
      const record = this.get(service, part);
      return record !== undefined &&
        this.#crashesOf(record).some((crash) => versions.has(crash.version));
    });
  }

  #refreshVerdicts(): void {
    this.#expire();
    if (!this.#areVerdictsStale) return;
    this.#areVerdictsStale = false;
    const before = this.#quarantined;
    const now = new Map<string, QuarantinedParts>();
    for (const [service, records] of this.#recordsByService()) {
      for (const parts of this.#accusedParts(records)) {
        const key = `${service} ${parts.join(" ")}`;
        const sinceMs = before.get(key)?.sinceMs ?? this.#clock.nowMs();
        now.set(key, this.#describe(service, parts, sinceMs));
      }
    }
    this.#quarantined = now;
    for (const [key, { parts, service }] of now) {
      if (before.has(key)) continue;
      this.#didTransition.fire({ kind: "quarantined", service, parts });
    }
    for (const [key, { parts, service }] of before) {
      if (now.has(key)) continue;
      this.#didTransition.fire({ kind: "released", service, parts });
    }
  }

  #recordsByService(): Map<ServiceId, PromptPartRecord[]> {
    const byService = new Map<ServiceId, PromptPartRecord[]>();
    for (const record of this.#records.values()) {
      const records = byService.get(record.service) ?? [];
      byService.set(record.service, records);
      records.push(record);
    }
    return byService;
  }

  #accusedParts(records: readonly PromptPartRecord[]): CrashingParts[] {
    const crashIds = new CrashIds(records);
    const candidates = records.map((record) => {
      const crashes = this.#crashesOf(record);
      return {
        part: record.part,
        crashes: new Set(crashes.map((crash) => crashIds.of(crash))),
        successiveCrashes: countSuccessive(crashes),
      };
    });
    const requests = this.#requestCrashes().map((endpoints) =>
      new Set(endpoints.flatMap((endpoint) => crashIds.allOf(endpoint)))
    );
    const found = findCrashingParts(candidates, requests);
    const alone = new Set<string>();
    for (const parts of found) {
      if (parts.length !== 1) continue;
      alone.add(parts[0]!);
      this.#accuse(records.find(({ part }) => part === parts[0])!);
    }
    const relapsed = records.filter((record) =>
      !alone.has(record.part) && this.#hasRelapsed(record)
    ).map(({ part }) => [part]);
    return [...found, ...relapsed];
  }

  /** Remembers a part beyond its crashes, once all reports have arrived. */
  #accuse(record: PromptPartRecord): void {
    const lastMs = this.#crashesOf(record).at(-1)!.atMs;
    if (lastMs <= record.accusedMs) return;
    if (this.#clock.nowMs() - lastMs < ACCUSATION_DELAY_MS) return;
    this.#records.set(keyOf(record), { ...record, accusedMs: lastMs });
  }

  /**
   * Returns whether a part that was on probation has crashed an endpoint again.
   */
  #hasRelapsed(record: PromptPartRecord): boolean {
    const { accusedMs, clearedMs, crashes } = record;
    if (accusedMs <= clearedMs) return false;
    const formerVersions = new Set(
      crashes.filter(({ atMs }) => atMs <= accusedMs)
        .map(({ version }) => version),
    );
    return this.#crashesOf(record).some(({ atMs, version }) =>
      atMs >= accusedMs + QUARANTINE_DURATION_MS ||
      (atMs > accusedMs && !formerVersions.has(version))
    );
  }

  #describe(
    service: ServiceId,
    parts: CrashingParts,
    sinceMs: number,
  ): QuarantinedParts {
    const crashes = parts.flatMap((part) =>
      this.#crashesOf(this.get(service, part)!)
    );
    const untilMs = Math.max(
      ...crashes.map((crash) => crash.atMs + countedDurationMs(crash)),
    );
    const endpoints = [...new Set(crashes.map(({ endpoint }) => endpoint))];
    return { service, parts, untilMs, sinceMs, endpoints };
  }

  /** Removes the oldest record, if possible one that was at one crash only. */
  #evict(): void {
    if (this.#records.size <= MAX_RECORDS) return;
    const [oldest] = this.#records.keys();
    for (const [key, { accusedMs, crashes }] of this.#records) {
      if (accusedMs > 0 || crashes.length > 1) continue;
      this.#records.delete(key);
      return;
    }
    this.#records.delete(oldest!);
  }

  /** Removes what no longer counts, at most once in a period. */
  #expire(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs < this.#nextExpiryMs) return;
    this.#nextExpiryMs = nowMs + EXPIRY_PERIOD_MS;
    if (this.#records.size === 0) return;
    for (const [key, record] of this.#records) {
      if (!this.#isCurrent(record)) this.#records.delete(key);
    }
    this.#areVerdictsStale = true;
  }
}

/** Identifies crashes that several records report at slightly other times. */
class CrashIds {
  /** Times of the first report of each crash, by endpoint. */
  readonly #firstMs = new Map<string, number[]>();

  constructor(records: readonly PromptPartRecord[]) {
    const crashes = records.flatMap((record) => record.crashes);
    crashes.sort((left, right) => left.atMs - right.atMs);
    for (const { atMs, endpoint } of crashes) {
      const times = this.#firstMs.get(endpoint) ?? [];
      this.#firstMs.set(endpoint, times);
      const lastMs = times.at(-1) ?? -Infinity;
      if (atMs - lastMs >= SAME_CRASH_WINDOW_MS) times.push(atMs);
    }
  }

  allOf(endpoint: string): string[] {
    const times = this.#firstMs.get(endpoint) ?? [undefined];
    return times.map((firstMs) => `${endpoint}@${firstMs}`);
  }

  of({ atMs, endpoint }: PartCrash): string {
    const times = this.#firstMs.get(endpoint) ?? [];
    return `${endpoint}@${times.findLast((firstMs) => firstMs <= atMs)}`;
  }
}

function keyOf(
  { part, service }: Pick<PromptPartRecord, "part" | "service">,
): string {
  return `${service} ${part}`;
}

function soundKeyOf(service: ServiceId, version: string, part: string): string {
  return `${service} ${version} ${part}`;
}

function withSoundVersions(
  record: PromptPartRecord,
  versions: readonly string[],
): PromptPartRecord {
  const all = new Set([...record.soundVersions, ...versions]);
  const soundVersions = [...all].sort().slice(-MAX_SOUND_VERSIONS);
  return { ...record, soundVersions };
}

function mergeRecords(
  left: PromptPartRecord,
  right: PromptPartRecord,
): PromptPartRecord {
  return withSoundVersions({
    ...left,
    crashes: mergeCrashes(left.crashes, right.crashes),
    accusedMs: Math.max(left.accusedMs, right.accusedMs),
    clearedMs: Math.max(left.clearedMs, right.clearedMs),
  }, right.soundVersions);
}

function isSameRecord(
  left: PromptPartRecord,
  right: PromptPartRecord,
): boolean {
  return left.accusedMs === right.accusedMs &&
    left.clearedMs === right.clearedMs &&
    left.soundVersions.length === right.soundVersions.length &&
    left.soundVersions.every((version, index) =>
      version === right.soundVersions[index]
    ) &&
    areSameCrashes(left.crashes, right.crashes);
}
