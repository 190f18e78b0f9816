/**
 * Tracks the backup of a generation: the second copy of its KV state, which
 * another engine keeps up to date while the generation runs.
 */

import type {
  EndpointChoice,
  EndpointCriteria,
} from "../placement/endpoint_chooser.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { GenerationMemoryEstimate } from "./generation_memory_estimate.ts";
import type { BackupClaim } from "../load/load_table.ts";

/**
 * Time after the first event from which the backup holds the prompt; the KV
 * state is sent several times a second.
 */
const BACKUP_READY_AFTER_MS = 700;

/** Backup of one generation. */
export class GenerationBackup {
  readonly #context: RequestContext;
  readonly #criteria: EndpointCriteria;
  readonly #memory: GenerationMemoryEstimate;
  #endpoint: RegisteredEndpoint | undefined;
  #claim: BackupClaim | undefined;

  /**
   * @param context - State of the request.
   * @param criteria - Requirements of the generation.
   * @param memory - Memory estimate of the generation, which grows with its
   * events.
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

  /** The engine that keeps the backup. */
  get endpoint(): RegisteredEndpoint | undefined {
    return this.#endpoint;
  }

  /**
   * Chooses the engine that keeps the backup of a new run, if one has capacity.
   *
   * @param primary - The endpoint of the run.
   * @param grant - The backup chosen by the daemon that granted the placement,
   * if it was another daemon.
   */
  chooseFor(
    primary: RegisteredEndpoint,
    grant?: EndpointChoice["grant"],
  ): void {
    this.release();
    const { eligibility, request, services } = this.#context;
    const { loadTable, chooser } = services;
    // The daemon that granted the placement does not know the allowed regions.
    const isGranted = grant &&
      (!grant.backup || eligibility.isAllowed(grant.backup));
    const endpoint = isGranted
      ? grant.backup
      : chooser.chooseBackup(this.#criteria, request.service, primary);
    if (!endpoint?.isUsable) return;
    // A copy is of no use to another software version.
    if (endpoint.softwareVersion !== primary.softwareVersion) return;
    this.#endpoint = endpoint;
    this.#claim = loadTable.claimBackup(endpoint.id, this.#memory.usedTokens);
  }

  /** Updates the memory claimed for the backup. */
  resize(): void {
    this.#claim?.resize(this.#memory.usedTokens);
  }

  /**
   * Returns the backup if it can be used now.
   *
   * @param streamingMs - Time since the first event of the run, in
   * milliseconds.
   * @returns The engine from whose backup the generation can continue.
   */
  usableAfter(streamingMs: number): RegisteredEndpoint | undefined {
    const isReady = streamingMs >= BACKUP_READY_AFTER_MS;
    const endpoint = this.#endpoint;
    const nowMs = this.#context.services.clock.monotonicMs();
    if (!isReady || !endpoint?.isUsable) return undefined;
    if (!this.#context.eligibility.isAllowed(endpoint)) return undefined;
    return endpoint.isHeld(nowMs) ? undefined : endpoint;
  }

  /**
   * @returns The reference by which a backup engine finds the KV state that it
   * keeps.
   */
  referenceAt(backup: RegisteredEndpoint): string {
    const { request, services } = this.#context;
    return services.codec.backupReference(
      backup.announcement.address,
      request.id,
    );
  }

  /** Releases the backup. */
  release(): void {
    this.#claim?.dispose();
    this.#claim = undefined;
    this.#endpoint = undefined;
  }
}
