/**
 * Copies running generations away from engines that are draining or that this
 * host cannot reach. On a draining engine a run continues while its KV state is
 * copied. The few tokens generated in the meantime are prefilled on the target,
 * which takes less time than a second copy would wait for the link.
 */

import { type Clock, sleep } from "../../../../base/common/clock.ts";
import type { EndpointId, RequestId } from "../../../../base/common/ids.ts";
import type { Disposable } from "../../../../base/common/lifecycle.ts";
import { leftOf, rightOf } from "../../../../base/common/result.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { EngineControl } from "../protocol/engine_control.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";

/** Result of a migration. */
export type MigrationResult =
  /** The run may be stopped; it can continue on `endpoint` from the copy. */
  | {
    readonly kind: "copied";
    readonly endpoint: RegisteredEndpoint;
    readonly copyRef: string;
    readonly durationMs: number;
  }
  /** No copy was made. */
  | {
    readonly kind: "not-copied";
    readonly reason: string;
    /** Whether engines exist but none has free capacity. */
    readonly areTargetsFull: boolean;
  };

/** Engine to which a run is copied. */
export interface MigrationTarget {
  readonly endpoint: RegisteredEndpoint;
  /** Claim on its memory; disposed of when the copy is complete or refused. */
  readonly claim: Disposable;
}

/** A generation to be migrated. */
export interface MigratableRun {
  readonly requestId: RequestId;
  readonly source: RegisteredEndpoint;
  /** Whether the run is to end at the source, which this host cannot reach. */
  readonly endsAtSource: boolean;
  /**
   * @param excluded - Endpoints that were already tried.
   * @returns An endpoint for the generation, with its memory claimed. It is
   * known at once unless generations wait for room.
   */
  reserveTarget(
    excluded: ReadonlySet<EndpointId>,
  ): MigrationTarget | undefined | Promise<MigrationTarget | undefined>;
  /**
   * Returns whether the migration is still required; the run may have ended in
   * the meantime.
   */
  isRequired(): boolean;
}

/** Maximum number of targets tried in one pass. */
const MAX_TARGETS_PER_PASS = 3;
/** Time between passes: on a full fleet some generation ends every 40 ms. */
const PASS_INTERVAL_MS = 120;
/**
 * Time after which no further pass starts. Engines announce their shutdown 1.5
 * to 2.1 s ahead, so later passes would no longer find them.
 */
const MIGRATION_TIMEOUT_MS = 2_500;

/** Longest wait for the right to ask a source with a limit for a copy. */
const MAX_RIGHT_WAIT_MS = 500;

/** Copies the KV state of runs to other engines. */
export class RunMigrator {
  readonly #clock: Clock;
  readonly #control: EngineControl;
  readonly #limits: EndpointLimits;

  /**
   * @param clock - Measures the duration of migrations.
   * @param control - Copies the KV state.
   * @param limits - Migrations count against the limits of their sources.
   */
  constructor(clock: Clock, control: EngineControl, limits: EndpointLimits) {
    this.#clock = clock;
    this.#control = control;
    this.#limits = limits;
  }

  /**
   * Copies a run to the first engine that accepts it.
   *
   * @param run - The generation to migrate.
   * @returns The result of the migration.
   */
  async migrate(run: MigratableRun): Promise<MigrationResult> {
    const startMs = this.#clock.monotonicMs();
    for (;;) {
      const result = await this.#tryTargets(run, startMs);
      const elapsedMs = this.#clock.monotonicMs() - startMs;
      const isFinal = result.kind === "copied" || !result.areTargetsFull ||
        elapsedMs > MIGRATION_TIMEOUT_MS;
      if (isFinal) return result;
      await sleep(this.#clock, PASS_INTERVAL_MS);
    }
  }

  async #tryTargets(
    run: MigratableRun,
    startMs: number,
  ): Promise<MigrationResult> {
    const excluded = new Set<EndpointId>([run.source.id]);
    const source = run.source.announcement.address;
    let reason = "no engine has free capacity";
    for (let count = 0; count < MAX_TARGETS_PER_PASS; count++) {
      if (run.source.isHeld(this.#clock.monotonicMs())) {
        reason = "the source wants no requests for now";
        break;
      }
      if (this.#limits.isLimited(run.source)) {
        const offer = await this.#limits.take(run.source, MAX_RIGHT_WAIT_MS);
        if (offer.kind === "denied") {
          reason = "the limit of the source is used up";
          break;
        }
      }
      if (!run.isRequired()) return notCopied("no longer required");
      const reserved = run.reserveTarget(excluded);
      const target = reserved instanceof Promise ? await reserved : reserved;
      if (!target) break;
      const { claim, endpoint } = target;
      excluded.add(endpoint.id);
      if (!run.isRequired()) {
        claim.dispose();
        return notCopied("no longer required");
      }
      const { address } = endpoint.announcement;
      const result = await this.#control.copyRun(
        source,
        address,
        run.requestId,
        run.endsAtSource,
      );
      claim.dispose();
      const copy = rightOf(result);
      if (!copy) {
        const failure = leftOf(result)!;
        reason = `${failure.kind}: ${failure.message}`;
        if (failure.kind === "no-room") continue;
        return notCopied(reason);
      }
      if (!run.isRequired()) {
        await this.#control.freeCopy(source, copy.name);
        return notCopied("no longer required");
      }
      return {
        kind: "copied",
        endpoint,
        copyRef: this.#control.copyReference(source, copy.name),
        durationMs: Math.round(this.#clock.monotonicMs() - startMs),
      };
    }
    return { kind: "not-copied", reason, areTargetsFull: true };
  }
}

function notCopied(reason: string): MigrationResult {
  return { kind: "not-copied", reason, areTargetsFull: false };
}
