/** Parameters of the simulated loads of generations. */

import type { SeededRandom } from "../../src/base/common/random.ts";
import type { EngineWork } from "./batching_engine.ts";

/** Parameters of a simulated load. */
export interface LoadOptions {
  readonly seed: number;
  readonly engines: number;
  readonly memoryTokens: number;
  /** Long generations per second. */
  readonly draftsPerSecond: number;
  /** Short generations per second. */
  readonly checksPerSecond: number;
  readonly durationMs: number;
  /**
   * Number of gateways that share the load; each receives the placements of the
   * others after a delay.
   */
  readonly gateways?: number;
  readonly updateDelayMs?: number;
  /**
   * Where requests wait for capacity: in a queue of each gateway, in one queue
   * for all gateways, or on the engines.
   */
  readonly placement: "queued" | "queued-centrally" | "immediate";
  /**
   * @param engine - Number of an engine.
   * @param nowMs - Time since the start in milliseconds.
   * @returns The time that work takes there, relative to the usual time.
   */
  relativeTime?(engine: number, nowMs: number): number;
  /** Whether the engines report that time. */
  readonly reportsPace?: boolean;
  /** Whether the gateways place without regard to speeds. */
  readonly ignoresPaces?: boolean;
  /**
   * Kinds of generations that replace the usual drafts and checks; their rates
   * replace `draftsPerSecond` and `checksPerSecond`.
   */
  readonly kinds?: readonly LoadKind[];
}

/** One kind of generations. */
export interface LoadKind {
  readonly name: "drafts" | "checks";
  readonly perSecond: number;
  /** Time at which the last one is sent, in milliseconds. */
  readonly untilMs: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly objectiveMs: number;
  /** Maximum that callers state, in tokens. */
  readonly maxOutputTokens: number;
  /** @returns The size of one generation. */
  drawSize(random: SeededRandom): Pick<
    EngineWork,
    "promptTokens" | "outputTokens"
  >;
}
