/** The copy of a generation's memory that another engine keeps as it grows. */

import type { Choice, Need } from "./endpoint_choice.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { RequestContext } from "./gateway_request.ts";
import type { GenerationSize } from "./generation_size.ts";
import type { CopyClaim } from "./load_board.ts";

/** Age of a run from which its backup holds the prompt; it is sent several times a second. */
const SETTLE_MS = 700;

/** Where a backup is, and whether it can be used. */
export class GenerationBackup {
  readonly #context: RequestContext;
  readonly #need: Need;
  readonly #size: GenerationSize;
  #endpoint: RegisteredEndpoint | undefined;
  #claim: CopyClaim | undefined;

  /**
   * @param context - The request.
   * @param need - What the generation needs.
   * @param size - Its size as it grows.
   */
  constructor(context: RequestContext, need: Need, size: GenerationSize) {
    this.#context = context;
    this.#need = need;
    this.#size = size;
  }

  /** The engine that keeps the copy. */
  get endpoint(): RegisteredEndpoint | undefined {
    return this.#endpoint;
  }

  /**
   * Chooses the engine that is to keep the copy of a new run, if any has room.
   *
   * @param primary - Where the run is.
   * @param granted - What another daemon has chosen with it.
   */
  chooseFor(primary: RegisteredEndpoint, granted?: Choice["granted"]): void {
    this.drop();
    const { request, services } = this.#context;
    const { board, chooser } = services;
    const endpoint = granted
      ? granted.backup
      : chooser.chooseBackup(this.#need, request.service, primary);
    if (!endpoint?.isUsable) return;
    this.#endpoint = endpoint;
    this.#claim = board.claimCopy(endpoint.id, this.#size.heldTokens);
  }

  /** Takes note of the size of the copy by now. */
  resize(): void {
    this.#claim?.resize(this.#size.heldTokens);
  }

  /**
   * @param runningMs - Time since the first event of the run.
   * @returns The engine from whose copy the generation can go on now.
   */
  usableAfter(runningMs: number): RegisteredEndpoint | undefined {
    const isSettled = runningMs >= SETTLE_MS;
    return isSettled && this.#endpoint?.isUsable ? this.#endpoint : undefined;
  }

  /** @returns Text by which a backup engine finds the copy that it keeps. */
  nameAt(backup: RegisteredEndpoint): string {
    const { request, services } = this.#context;
    return services.codec.backupName(backup.announcement.address, request.id);
  }

  /** There is no backup any more. */
  drop(): void {
    this.#claim?.dispose();
    this.#claim = undefined;
    this.#endpoint = undefined;
  }
}
