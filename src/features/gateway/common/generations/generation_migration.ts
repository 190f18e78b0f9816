/**
 * Moves one generation away from an endpoint that is leaving, or to which this
 * host has lost its path.
 */

import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { MigrationTargets } from "./migration_target.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/** Why a generation is moved. */
export type MigrationCause = "leaving" | "cut";

/** Receives the result of a migration. */
export interface GenerationMigrationListener {
  /** @returns Whether the attempt still runs and is the current one. */
  isRequired(attempt: UpstreamAttempt): boolean;
  onCopied(
    endpoint: RegisteredEndpoint,
    copyRef: string,
    cause: MigrationCause,
  ): void;
  /** Called unless the migration is no longer required. */
  onNotCopied(cause: MigrationCause): void;
}

/** Runs at most one migration at a time. */
export class GenerationMigration {
  readonly #context: RequestContext;
  readonly #targets: MigrationTargets;
  readonly #listener: GenerationMigrationListener;
  #isRunning = false;
  /** Attempts whose runs were to be stopped at their source. */
  readonly #stoppedAttempts = new WeakSet<UpstreamAttempt>();

  /**
   * @param context - State of the request.
   * @param targets - Chooses the engines to which the generation is copied.
   * @param listener - Receives the result.
   */
  constructor(
    context: RequestContext,
    targets: MigrationTargets,
    listener: GenerationMigrationListener,
  ) {
    this.#context = context;
    this.#targets = targets;
    this.#listener = listener;
  }

  /** Whether a migration is in progress. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /**
   * Returns whether an attempt may have been stopped at its source, which ends
   * its connection as if the run were complete. A source that has not answered
   * may still stop it.
   */
  mayHaveStopped(attempt: UpstreamAttempt): boolean {
    return this.#stoppedAttempts.has(attempt);
  }

  /**
   * Whether the migration in progress stops an attempt at its source, so that
   * the generation can go on from the copy.
   */
  isStopping(attempt: UpstreamAttempt): boolean {
    return this.#isRunning && this.mayHaveStopped(attempt) &&
      !this.#context.isQuarantined;
  }

  /** Copies the state of an attempt to another endpoint, if there is one. */
  async run(attempt: UpstreamAttempt, cause: MigrationCause): Promise<void> {
    const { services, request } = this.#context;
    if (!request.service.engine?.canMigrate) return;
    this.#isRunning = true;
    // Its connection carries no data, not even its end.
    const endsAtSource = cause === "cut";
    if (endsAtSource) this.#stoppedAttempts.add(attempt);
    const result = await services.migrator.migrate({
      requestId: request.id,
      source: attempt.endpoint,
      endsAtSource,
      reserveTarget: (excluded) =>
        this.#targets.reserve(attempt.endpoint.softwareVersion, excluded),
      isRequired: () => this.#listener.isRequired(attempt),
    });
    this.#isRunning = false;
    if (endsAtSource && result.kind === "copied") attempt.markOutOfReach();
    const from = attempt.endpoint.id;
    switch (result.kind) {
      case "copied":
        this.#context.log("info", "stream-moved", {
          from,
          to: result.endpoint.id,
          cause,
          tookMs: result.durationMs,
        });
        services.metrics.count("streams_moved");
        if (!this.#context.isQuarantined) {
          this.#listener.onCopied(result.endpoint, result.copyRef, cause);
        }
        return;
      case "not-copied": {
        const { reason } = result;
        this.#context.log("warn", "stream-not-moved", { from, cause, reason });
        // The backup may have become usable in the meantime.
        if (this.#listener.isRequired(attempt)) {
          this.#listener.onNotCopied(cause);
        }
      }
    }
  }
}
