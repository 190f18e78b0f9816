/** Checks that streams go on only at the software version that began them. */

/** A run of a stream, or of a part of it. */
export interface StreamRun {
  /** Id of the first try of its caller. */
  readonly stream: string;
  /** Id of the try that it belongs to. */
  readonly request: string;
  /** Daemon that received the try. */
  readonly daemon: string | undefined;
  readonly version: string;
  /** Whether it continues after events of another run. */
  readonly goesOn: boolean;
}

/** Streams that may hold events of two versions. */
const MAX_MIXED = 2;

/** Records runs and finds streams that hold events of two versions. */
export class VersionRules {
  readonly #versions = new Map<string, string>();
  /** What is known of mixed streams, by their ids. */
  readonly #mixed = new Map<string, string>();
  #resumedCount = 0;

  /** Number of runs that went on after another one. */
  get resumedCount(): number {
    return this.#resumedCount;
  }

  /** The mixed streams, also if they are too few for a violation. */
  get mixedStreams(): readonly string[] {
    return [...this.#mixed.values()];
  }

  /** Records a run that an endpoint starts. */
  recordRun({ daemon, goesOn, request, stream, version }: StreamRun): void {
    const begun = this.#versions.get(stream);
    if (!goesOn || begun === undefined) {
      this.#versions.set(stream, version);
      return;
    }
    this.#resumedCount++;
    if (begun === version || this.#mixed.has(stream)) return;
    const text = `${stream} of ${begun}, on with ${version} as ${request} at ${
      daemon ?? "no daemon"
    }`;
    this.#mixed.set(stream, text);
  }

  /** @returns One line per violation. */
  findViolations(): readonly string[] {
    if (this.#mixed.size <= MAX_MIXED) return [];
    const streams = [...this.#mixed.keys()].join(", ");
    return [`order: streams went on at another version: ${streams}`];
  }
}
