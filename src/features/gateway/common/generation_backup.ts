/** The copy of a generation's memory that another engine keeps as it grows. */

import type { EndpointChoice, EndpointCriteria } from "./endpoint_chooser.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { RequestContext } from "./request_context.ts";
import type { GenerationMemoryEstimate } from "./generation_memory_estimate.ts";
import type { BackupClaim } from "./load_table.ts";

/** Age of a run from which its backup holds the prompt; it is sent several times a second. */
const BACKUP_READY_AFTER_MS = 700;

/** Where a backup is, and whether it can be used. */
export class GenerationBackup {
  readonly #context: RequestContext;
  readonly #criteria: EndpointCriteria;
  readonly #memory: GenerationMemoryEstimate;
  #endpoint: RegisteredEndpoint | undefined;
  #claim: BackupClaim | undefined;

  /**
   * @param context - The request.
   * @param criteria - What the generation needs.
   * @param memory - Its size as it grows.
   */
  constructor(
    context: RequestContext,
    criteria: EndpointCriteria,
    memory: GenerationMemoryEstimate,
  ) {
    this.#context = context;
    this.#criteria = criteria;
    this.#memory = memory;
  }

  /** The engine that keeps the copy. */
  get endpoint(): RegisteredEndpoint | undefined {
    return this.#endpoint;
  }

  /**
   * Chooses the engine that is to keep the copy of a new run, if any has room.
   *
   * @param primary - Where the run is.
   * @param grant - What another daemon has chosen with it.
   */
  chooseFor(
    primary: RegisteredEndpoint,
    grant?: EndpointChoice["grant"],
  ): void {
    this.release();
    const { request, services } = this.#context;
    const { loadTable: loadTable, chooser } = services;
    const endpoint = grant
      ? grant.backup
      : chooser.chooseBackup(this.#criteria, request.service, primary);
    if (!endpoint?.isUsable) return;
    this.#endpoint = endpoint;
    this.#claim = loadTable.claimBackup(endpoint.id, this.#memory.usedTokens);
  }

  /** Takes note of the size of the copy by now. */
  resize(): void {
    this.#claim?.resize(this.#memory.usedTokens);
  }

  /**
   * @param streamingMs - Time since the first event of the run.
   * @returns The engine from whose copy the generation can go on now.
   */
  usableAfter(streamingMs: number): RegisteredEndpoint | undefined {
    const isReady = streamingMs >= BACKUP_READY_AFTER_MS;
    return isReady && this.#endpoint?.isUsable ? this.#endpoint : undefined;
  }

  /** @returns Text by which a backup engine finds the copy that it keeps. */
  referenceAt(backup: RegisteredEndpoint): string {
    const { request, services } = this.#context;
    return services.codec.backupReference(
      backup.announcement.address,
      request.id,
    );
  }

  /** There is no backup any more. */
  release(): void {
    this.#claim?.dispose();
    this.#claim = undefined;
    this.#endpoint = undefined;
  }
}
