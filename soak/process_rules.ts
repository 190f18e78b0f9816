/** Checks that daemon processes end only when asked, and become ready in time. */

/**
 * Time in milliseconds within which a daemon is ready once it has all that it
 * needs. A start takes less than half a second on a machine that is not busy.
 */
export const MAX_START_MS = 5_000;

/** How a daemon process ended, and what it had been asked for. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Whether it was sent SIGKILL. */
  readonly isKillRequested: boolean;
  /** Whether it was asked for a planned stop. */
  readonly isStopRequested: boolean;
  /** Whether it had loaded its program when it was asked. */
  readonly wasLoadedAtStop: boolean;
}

/**
 * @param name - Name of the daemon.
 * @param end - How its process ended.
 * @returns One line if the process ended by itself, or by a signal that it has
 * to handle; `undefined` if it was killed or stopped as planned.
 */
export function describeOwnEnd(
  name: string,
  end: ProcessEnd,
): string | undefined {
  const { code, isKillRequested, isStopRequested, signal } = end;
  if (signal === null) {
    return code === 0 && isStopRequested
      ? undefined
      : `fault: ${name} ended by itself with code ${code}`;
  }
  if (signal === "SIGKILL" && isKillRequested) return undefined;
  // Node.js alone ends at the signal.
  if (isStopRequested && !end.wasLoadedAtStop) return undefined;
  return `fault: ${name} was ended by ${signal}`;
}

/** What is known of a daemon at one time. */
export interface DaemonState {
  readonly name: string;
  /** Number of the start of its process. */
  readonly startCount: number;
  /** Whether its process runs, is not paused and was not asked to stop. */
  readonly isServing: boolean;
  readonly isReady: boolean;
  /**
   * Wall-clock time in milliseconds since which it has its ports, its settings,
   * the store and its peers.
   */
  readonly undisturbedSinceMs: number;
}

/** Finds daemons that do not become ready after a start. */
export class StartRules {
  /** Latest start after which each daemon was ready. */
  readonly #readyStarts = new Map<string, number>();
  /** Starts that are watched, and since when. */
  readonly #watched = new Map<
    string,
    { readonly startCount: number; readonly sinceMs: number }
  >();
  readonly #late = new Set<string>();

  /** Records the state of a daemon at a wall-clock time in milliseconds. */
  record(state: DaemonState, nowMs: number): void {
    const { name, startCount } = state;
    if (state.isReady) this.#readyStarts.set(name, startCount);
    if (this.#watched.get(name)?.startCount !== startCount) {
      this.#watched.set(name, { startCount, sinceMs: nowMs });
    }
    if (this.hasBeenReady(name, startCount) || !state.isServing) return;
    const { sinceMs } = this.#watched.get(name)!;
    const waitMs = nowMs - Math.max(sinceMs, state.undisturbedSinceMs);
    if (waitMs <= MAX_START_MS) return;
    this.#late.add(
      `fault: ${name} was not ready ${MAX_START_MS} ms after start ${startCount} or the last disturbance`,
    );
  }

  /** @returns Whether a daemon was ready after one of its starts. */
  hasBeenReady(name: string, startCount: number): boolean {
    return this.#readyStarts.get(name) === startCount;
  }

  /** @returns One line per start after which a daemon was not ready in time. */
  findViolations(): readonly string[] {
    return [...this.#late];
  }
}
