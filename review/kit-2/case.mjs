/** What all cases share: the time limit, the record and the exit code. */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const LIMIT_MS = 115_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** Whether the disruption happens. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Period at which pauses of this process are looked for. */
const PAUSE_CHECK_MS = 20;

/**
 * Measures how long this process, and with it all stand-ins, has stood still. A
 * machine that is too busy delays all arrivals and lets them come together.
 *
 * @returns A function that returns the longest pause so far, in milliseconds.
 */
export function watchPauses() {
  let lastMs = performance.now();
  let longestMs = 0;
  setInterval(() => {
    const nowMs = performance.now();
    longestMs = Math.max(longestMs, nowMs - lastMs - PAUSE_CHECK_MS);
    lastMs = nowMs;
  }, PAUSE_CHECK_MS);
  return () => longestMs;
}

/**
 * Runs a case and exits.
 *
 * @param url - `import.meta.url` of the case.
 * @param run - Plays the case; returns whether the rule was broken.
 */
export async function runCase(url, run) {
  const folder = fileURLToPath(new URL(".", url));
  const lines = [];
  const startMs = performance.now();
  /** Adds a line to the record. */
  const record = (line) => {
    lines.push(
      `${((performance.now() - startMs) / 1_000).toFixed(3)} s  ${line}`,
    );
  };
  const finish = (code, text) => {
    record(text);
    writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    console.log(text);
    process.exit(code);
  };
  process.on("SIGTERM", () => finish(EXIT_NOT_RUN, "stopped from outside"));
  process.on("SIGINT", () => finish(EXIT_NOT_RUN, "stopped from outside"));
  process.on(
    "uncaughtException",
    (error) => finish(EXIT_NOT_RUN, `not run: ${error.stack}`),
  );
  setTimeout(() => finish(EXIT_NOT_RUN, "not run: out of time"), LIMIT_MS);
  record(hasTrouble ? "with the disruption" : "without the disruption");
  try {
    const { isBroken, text } = await run(record);
    finish(
      isBroken ? EXIT_BROKEN : EXIT_HELD,
      `${isBroken ? "BROKEN" : "held"}: ${text}`,
    );
  } catch (error) {
    finish(EXIT_NOT_RUN, `not run: ${error.stack}`);
  }
}
