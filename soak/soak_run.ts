/**
 * Runs one soak: real daemon processes serve load under random faults while the
 * guarantees of the system are checked continuously.
 */

import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { SeededRandom } from "../src/base/common/random.ts";
import { CallerPool } from "./caller_pool.ts";
import { CopiedAnswers, type CopyCounts } from "./copied_answers.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import {
  FAULT_NAMES,
  FaultInjector,
  type FaultName,
  firstVersions,
} from "./faults.ts";
import { MAX_START_MS, StartRules } from "./process_rules.ts";
import type { AnswerCounts } from "./answer_rules.ts";
import { InvariantChecker, type TakeUpCounts } from "./invariant_checker.ts";
import {
  MAX_REVOCATION_MS,
  SoakDeployment,
  WORKSPACE_BY_KEY,
} from "./soak_deployment.ts";

const CHECK_INTERVAL_MS = 250;
/** Time after the last answer in which requests may still reach endpoints. */
const LATE_RUN_MS = 2_500;
/** Time in milliseconds that ready daemons get to link up. */
const STARTUP_MS = 2_000;
/** Large fleets take long to start on one machine. */
const MAX_READY_MS = 60_000;
const READY_POLL_INTERVAL_MS = 500;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly daemonCount: number;
  readonly callerCount: number;
  /** Time between the requests of a caller, in milliseconds. */
  readonly gapMs: number;
  readonly firstPort: number;
  /** Faults to choose from; all by default. */
  readonly faults?: readonly FaultName[];
  /** Path of the built daemon program. */
  readonly programPath: string;
  /** Path of the program of every second daemon; the same by default. */
  readonly otherProgramPath?: string;
  /** Path of the folder for settings, logs and the list of events. */
  readonly folder: string;
}

/** Result of a soak. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly sentCount: number;
  readonly servedCount: number;
  readonly restartCount: number;
  /** Number of endpoints that requests have crashed. */
  readonly crashCount: number;
  /** Number of limits that endpoints have named. */
  readonly limitCount: number;
  /** Number of evacuations of zones. */
  readonly evacuationCount: number;
  /** Those that lasted longer than an evacuation may take to be in effect. */
  readonly longEvacuationCount: number;
  /** Cut streams that ran in zones while these were evacuated. */
  readonly evacuatedCutCount: number;
  /** Number of streams that went on after events of another run. */
  readonly resumedCount: number;
  readonly takeUps: TakeUpCounts;
  readonly answers: AnswerCounts;
  /** One line per stream that holds events of two software versions. */
  readonly mixedStreams: readonly string[];
  /** Most repeats of one service in any 10 s. */
  readonly mostRepeats: number;
  /** Number of requests that daemons passed on for their peers. */
  readonly relayedCount: number;
  /** Number of requests that were refused with a promise. */
  readonly refusedCount: number;
  /** Answers too many that were sent; `undefined` if none were to be sent. */
  readonly copies: CopyCounts | undefined;
  /** Number of endpoints that returned at their addresses under other ids. */
  readonly reusedAddressCount: number;
  /** Number of short requests that daemons served first. */
  readonly shortCount: number;
}

/**
 * Runs a soak and stops everything that it started.
 *
 * @param options - Seed, size and duration of the soak.
 * @returns The violations and the request and restart counts.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, daemonCount, callerCount, folder } = options;
  const faults = options.faults ?? FAULT_NAMES;
  const invariants = new InvariantChecker(
    WORKSPACE_BY_KEY,
    MAX_REVOCATION_MS,
  );
  const copiedAnswers = faults.includes("copied-answers")
    ? new CopiedAnswers(seed)
    : undefined;
  const deployment = new SoakDeployment({
    ...options,
    versions: firstVersions(faults),
    hasUnprovenAnswers: faults.includes("unproven-answers"),
    hasOddAnswers: faults.includes("odd-status"),
    copiedAnswers,
    reusesAddresses: faults.includes("two-ids"),
    invariants,
  });
  await deployment.start();
  await wait(STARTUP_MS);
  if (!await areReady(deployment.daemons)) {
    await awaitReady(deployment.daemons);
    await wait(STARTUP_MS);
  }
  const events: string[] = [];
  const startMs = Date.now();
  const faultInjector = new FaultInjector(
    deployment,
    new SeededRandom(seed),
    invariants,
    (line) => {
      events.push(`${Date.now() - startMs} ms  ${line}`);
    },
    faults,
  );
  const callers = new CallerPool(
    new SeededRandom(seed + 1),
    deployment.daemons,
    invariants,
    options.gapMs,
    () => deployment.isolatedDaemons,
    faults.includes("crashing-requests"),
    faults.includes("uploads"),
  );
  if (copiedAnswers) await callers.sendShort();
  const callersStopped = callers.run(callerCount);
  const faultsStopped = faultInjector.run();
  const violations = new Set<string>();
  const startRules = new StartRules();
  const check = (): void => {
    void recordStarts(deployment, startRules);
    for (
      const violation of [
        ...invariants.findViolations(),
        ...invariants.findRunsOfRevokedKeys(),
        ...deployment.daemons.flatMap(({ ownEnds }) => ownEnds),
        ...startRules.findViolations(),
      ]
    ) {
      if (!violations.has(violation)) {
        events.push(`${Date.now() - startMs} ms  BROKEN ${violation}`);
      }
      violations.add(violation);
    }
  };
  const checkTimer = setInterval(check, CHECK_INTERVAL_MS);
  await wait(seconds * 1_000);
  faultInjector.stop();
  await faultsStopped;
  callers.stop();
  await callersStopped;
  // Requests that were refused may still run.
  await wait(LATE_RUN_MS);
  await awaitStarts(deployment, startRules);
  check();
  clearInterval(checkTimer);
  await deployment.stop();
  writeFileSync(join(folder, "series.txt"), `${events.join("\n")}\n`);
  return {
    violations: [...violations],
    sentCount: invariants.sentCount,
    servedCount: invariants.servedCount(),
    crashCount: invariants.endpointRules.crashCount,
    resumedCount: invariants.versionRules.resumedCount,
    takeUps: invariants.takeUpCounts(),
    answers: invariants.answerCounts(),
    mixedStreams: invariants.versionRules.mixedStreams,
    evacuationCount: invariants.evacuationRules.evacuationCount,
    longEvacuationCount: invariants.evacuationRules.longCount,
    evacuatedCutCount: invariants.evacuationRules.checkedCutCount,
    limitCount: invariants.limitRules.limitCount,
    mostRepeats: invariants.retryRules.mostRepeats,
    relayedCount: countRelayed(folder),
    refusedCount: invariants.refusedCount(),
    copies: copiedAnswers?.counts(),
    reusedAddressCount: deployment.reusedAddressCount,
    shortCount: callers.shortCount,
    restartCount:
      deployment.daemons.reduce((sum, { startCount }) => sum + startCount, 0) -
      daemonCount,
  };
}

/** Records which daemons are ready after their latest starts. */
async function recordStarts(
  deployment: SoakDeployment,
  startRules: StartRules,
): Promise<void> {
  await Promise.all(deployment.daemons.map(async (daemon) => {
    const { name } = daemon.options;
    const { startCount } = daemon;
    if (startRules.hasBeenReady(name, startCount)) return;
    const isReady = await daemon.isReady();
    if (daemon.startCount !== startCount) return;
    const undisturbedSinceMs = Math.max(
      daemon.separatedMs,
      deployment.storeFailedMsOf(daemon),
    );
    const { isServing } = daemon;
    startRules.record(
      { name, startCount, isServing, isReady, undisturbedSinceMs },
      Date.now(),
    );
  }));
}

/** Waits until each daemon has been ready, or has had the time for it. */
async function awaitStarts(
  { daemons }: SoakDeployment,
  startRules: StartRules,
): Promise<void> {
  const endMs = Date.now() + MAX_START_MS + CHECK_INTERVAL_MS;
  const isDone = ({ options, startCount }: DaemonProcess): boolean =>
    startRules.hasBeenReady(options.name, startCount);
  while (Date.now() < endMs && !daemons.every(isDone)) {
    await wait(CHECK_INTERVAL_MS);
  }
}

/** Counts what the logs have; lines of outputs without readers are missing. */
function countRelayed(folder: string): number {
  const logs = readdirSync(folder).filter((name) => name.endsWith(".log"));
  return logs.reduce((count, name) => {
    const text = readFileSync(join(folder, name), "utf8");
    const passedOn = text.match(/"relay-ended".*"result":"passed-on"/g);
    return count + (passedOn?.length ?? 0);
  }, 0);
}

async function areReady(daemons: readonly DaemonProcess[]): Promise<boolean> {
  const states = await Promise.all(daemons.map((daemon) => daemon.isReady()));
  return states.every((isReady) => isReady);
}

/** The soak begins without those that are not ready in time. */
async function awaitReady(daemons: readonly DaemonProcess[]): Promise<void> {
  const endMs = Date.now() + MAX_READY_MS;
  while (Date.now() < endMs && !await areReady(daemons)) {
    await wait(READY_POLL_INTERVAL_MS);
  }
}
