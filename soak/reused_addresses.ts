/** Which endpoints of a soak return at their addresses under other ids. */

import { SeededRandom } from "../src/base/common/random.ts";
import { hash } from "./answer_shapes.ts";

/** Share of the crashed endpoints whose addresses are used again. */
const REUSED_SHARE = 0.3;
/** Bounds of the time for which the entry of an endpoint outlasts it. */
const MIN_LEFT_MS = 2_400;
const MAX_LEFT_MS = 3_600;

/**
 * @param seed - Seed of the soak.
 * @param endpoint - Name of an endpoint that has crashed.
 * @returns Time in milliseconds for which its entry remains, while another
 * process listens at its address; `undefined` if that is not used again.
 */
export function leftEntryMsOf(
  seed: number,
  endpoint: string,
): number | undefined {
  const random = new SeededRandom(hash(`${seed} address ${endpoint}`));
  if (random.float() >= REUSED_SHARE) return undefined;
  return drawLeftMs(random);
}

/**
 * @param random - Source of the time.
 * @returns Time in milliseconds for which the entry of an endpoint outlasts it.
 */
export function drawLeftMs(random: SeededRandom): number {
  return random.int(MIN_LEFT_MS, MAX_LEFT_MS);
}
