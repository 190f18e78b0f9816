/** Checks that streams go on only at the software version that began them. */

/** A run of a stream, or of a part of it. */
export interface StreamRun {
  /** Id of the first try of its caller. */
  readonly stream: string;
  readonly version: string;
  /** Whether it continues after events of another run. */
  readonly goesOn: boolean;
}

/** Streams that may hold events of two versions. */
const MAX_MIXED = 2;

/** Records runs and finds streams that hold events of two versions. */
export class VersionRules {
  readonly #versions = new Map<string, string>();
  readonly #mixed = new Set<string>();
  #resumedCount = 0;

  /** Number of runs that went on after another one. */
  get resumedCount(): number {
    return this.#resumedCount;
  }

  /** Records a run that an endpoint starts. */
  recordRun({ goesOn, stream, version }: StreamRun): void {
    const begun = this.#versions.get(stream);
    if (!goesOn || begun === undefined) {
      this.#versions.set(stream, version);
      return;
    }
    this.#resumedCount++;
    if (begun !== version) this.#mixed.add(stream);
  }

  /** @returns One line per violation. */
  findViolations(): readonly string[] {
    if (this.#mixed.size <= MAX_MIXED) return [];
    const streams = [...this.#mixed].join(", ");
    return [`order: streams went on at another version: ${streams}`];
  }
}
