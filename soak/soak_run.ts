/** One soak: real daemons under faults, and the promises checked all the while. */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { SeededRandom } from "../src/base/common/random.ts";
import { Callers } from "./callers.ts";
import { Faults } from "./faults.ts";
import { Promises } from "./promises.ts";
import { DRAFT_EVENTS, KEYS, REVOCATION_MS, SoakWorld } from "./soak_world.ts";

const CHECK_PERIOD_MS = 250;
/** Time for the first daemons to be ready. */
const START_MS = 2_000;

/** What a soak is asked to do. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly daemonCount: number;
  readonly callerCount: number;
  readonly firstPort: number;
  /** Built program of the daemons. */
  readonly program: string;
  /** Where settings and logs go. */
  readonly folder: string;
}

/** What a soak has seen. */
export interface SoakResult {
  readonly broken: readonly string[];
  readonly sent: number;
  readonly served: number;
  readonly starts: number;
}

/** @returns What was seen, once everything has been stopped. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, daemonCount, callerCount, folder } = options;
  const promises = new Promises(KEYS, REVOCATION_MS, DRAFT_EVENTS);
  const world = new SoakWorld({ ...options, promises });
  await world.start();
  await wait(START_MS);
  const series: string[] = [];
  const startMs = Date.now();
  const faults = new Faults(world, new SeededRandom(seed), promises, (line) => {
    series.push(`${Date.now() - startMs} ms  ${line}`);
  });
  const callers = new Callers(
    new SeededRandom(seed + 1),
    world.daemons,
    promises,
  );
  const calling = callers.run(callerCount);
  const disturbing = faults.run();
  const broken = new Set<string>();
  const check = setInterval(() => {
    for (const line of [...promises.broken(), ...promises.revokedRuns()]) {
      if (!broken.has(line)) {
        series.push(`${Date.now() - startMs} ms  BROKEN ${line}`);
      }
      broken.add(line);
    }
  }, CHECK_PERIOD_MS);
  await wait(seconds * 1_000);
  faults.stop();
  await disturbing;
  callers.stop();
  await calling;
  await wait(CHECK_PERIOD_MS * 2);
  clearInterval(check);
  await world.stop();
  writeFileSync(join(folder, "series.txt"), `${series.join("\n")}\n`);
  return {
    broken: [...broken],
    sent: promises.sentCount,
    served: promises.servedCount(),
    starts: world.daemons.reduce((sum, { starts }) => sum + starts, 0) -
      daemonCount,
  };
}
