/** The promises that the soak checks, from what callers and endpoints see. */

/** What a caller was told. */
export type RequestResult =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly text: string;
  }
  /** The connection ended without a whole answer. */
  | { readonly kind: "cut"; readonly text: string };

/** A request that a caller sent. */
export interface SentRequest {
  readonly id: string;
  readonly kind: "book" | "read" | "draft";
  readonly key: string;
  readonly sentMs: number;
  result: RequestResult | undefined;
}

/** A run that an endpoint began. */
export interface RecordedRun {
  readonly id: string;
  readonly endpoint: string;
  readonly atMs: number;
  /** Whether it goes on from the memory of another run. */
  readonly isContinuation: boolean;
  readonly body: string;
  readonly workspace: string | undefined;
}

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Collects requests and runs, and says which promise was broken. */
export class InvariantChecker {
  readonly #sent = new Map<string, SentRequest>();
  readonly #runs = new Map<string, RecordedRun[]>();
  readonly #revokedMs = new Map<string, number>();
  readonly #workspaceByKey: ReadonlyMap<string, string>;
  readonly #maxRevocationMs: number;
  readonly #draftEventCount: number;

  /**
   * @param workspaceByKey - Workspace of each key.
   * @param maxRevocationMs - Time within which a revoked key has to be refused.
   * @param draftEventCount - Events of a whole draft.
   */
  constructor(
    workspaceByKey: ReadonlyMap<string, string>,
    maxRevocationMs: number,
    draftEventCount: number,
  ) {
    this.#workspaceByKey = workspaceByKey;
    this.#maxRevocationMs = maxRevocationMs;
    this.#draftEventCount = draftEventCount;
  }

  /** Requests sent so far. */
  get sentCount(): number {
    return this.#sent.size;
  }

  /** @returns How many requests were served whole. */
  servedCount(): number {
    return [...this.#sent.values()].filter(({ result }) =>
      result?.kind === "answered" && result.status === 200
    ).length;
  }

  recordSent(request: SentRequest): void {
    this.#sent.set(request.id, request);
  }

  recordRun(run: RecordedRun): void {
    const runs = this.#runs.get(run.id) ?? [];
    this.#runs.set(run.id, runs);
    runs.push(run);
  }

  recordRevocation(key: string, atMs: number): void {
    this.#revokedMs.set(key, atMs);
  }

  recordRestoration(key: string): void {
    this.#revokedMs.delete(key);
  }

  /** @returns Every promise that is broken by now, one line each. */
  findViolations(): string[] {
    const found = [...this.#runs.keys()].filter((id) => !this.#sent.has(id))
      .map((id) => `unasked: ${id} was run, and no caller sent it`);
    for (const request of this.#sent.values()) {
      const runs = this.#runs.get(request.id) ?? [];
      const violation = this.#findRequestViolation(request, runs);
      if (violation) found.push(`${violation} (${request.kind} ${request.id})`);
    }
    return found;
  }

  #findRequestViolation(
    request: SentRequest,
    runs: readonly RecordedRun[],
  ): string | undefined {
    const { result, kind, id, key, sentMs } = request;
    const initialRuns = runs.filter(({ isContinuation }) => !isContinuation);
    if (kind !== "read" && initialRuns.length > 1) {
      return `twice: begun at ${
        initialRuns.map(({ endpoint }) => endpoint).join()
      }`;
    }
    const workspace = this.#workspaceByKey.get(key);
    if (runs.some((run) => run.workspace !== workspace)) {
      return "unasked: run for another workspace";
    }
    if (runs.some((run) => kind !== "draft" && run.body !== id)) {
      return "unasked: run with another body";
    }
    if (result?.kind !== "answered") return undefined;
    const isRefused = NOT_RUN_STATUSES.has(result.status);
    if (isRefused && kind !== "read" && runs.length > 0) {
      return `refused with ${result.status}, and was run`;
    }
    if (result.status !== 200) return undefined;
    if (kind === "draft") return this.#findDraftViolation(result.text);
    return result.text.endsWith(`:${id}`)
      ? undefined
      : `mixed: got ${JSON.stringify(result.text)} at ${sentMs}`;
  }

  #findDraftViolation(text: string): string | undefined {
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    const isComplete = ids.length === this.#draftEventCount &&
      ids.every((id, index) => id === index + 1);
    return isComplete ? undefined : `order: events ${ids.join()}`;
  }

  /** @returns Runs of keys that had been taken away long enough before. */
  findRunsOfRevokedKeys(): string[] {
    return [...this.#sent.values()].flatMap(({ id, key, sentMs }) => {
      const revokedMs = this.#revokedMs.get(key);
      const isPastRevocation = revokedMs !== undefined &&
        sentMs > revokedMs + this.#maxRevocationMs;
      const hasRun = (this.#runs.get(id)?.length ?? 0) > 0;
      return isPastRevocation && hasRun
        ? [`revoked: ${id} ran with key ${key}`]
        : [];
    });
  }
}
