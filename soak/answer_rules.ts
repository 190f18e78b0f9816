/**
 * Records the answers of endpoints that have neither a length nor chunks, and
 * the copies from which streams went on.
 */

import type { CopyKind } from "../platform/standins/run_memory.ts";

/** An answer without a length that an endpoint has begun. */
export interface BegunAnswer {
  readonly request: string;
  /** Process of the endpoint. */
  readonly process: string;
  /**
   * @param sinceMs - Wall-clock time.
   * @returns Whether a host, the endpoint or its link was disturbed since then.
   */
  wasDisturbed(sinceMs: number): boolean;
}

/** Numbers for the result of a soak. */
export interface AnswerCounts {
  /** Answers without a length. */
  readonly unsized: number;
  /** Those whose endpoints ended inside them. */
  readonly endedInside: number;
  /** Streams that went on from copies, by the kinds of these. */
  readonly moved: Readonly<Record<CopyKind, number>>;
  /** Those that endpoints finished, undisturbed. */
  readonly calm: number;
  /** Of the calm ones, those that reached their callers broken off. */
  readonly brokenWhole: readonly string[];
  /** Of the calm ones, those whose requests were run again later. */
  readonly repeatedWhole: readonly string[];
}

/** What became of a whole answer after its endpoint had finished it. */
export type WholeAnswerFate = "kept" | "broken-off" | "repeated";

interface FinishedAnswer {
  readonly request: string;
  readonly process: string;
  readonly endMs: number;
}

/** Time in milliseconds around the end of an answer without disturbances. */
const CALM_MS = 1_000;

/** Records answers without a length, and moves of streams. */
export class AnswerRules {
  /** Answers that are being written, by the processes of their endpoints. */
  readonly #open = new Map<string, Map<string, BegunAnswer>>();
  readonly #moved: Record<CopyKind, number> = { moved: 0, backup: 0 };
  /** Calmly finished answers. */
  readonly #finished: FinishedAnswer[] = [];
  #unsizedCount = 0;
  #endedInsideCount = 0;

  /** Records an answer without a length that an endpoint begins. */
  recordBegin(answer: BegunAnswer): void {
    const { process, request } = answer;
    this.#unsizedCount++;
    const open = this.#open.get(process) ?? new Map<string, BegunAnswer>();
    this.#open.set(process, open);
    open.set(request, answer);
  }

  /** Records that an answer is no longer written, whole or not. */
  recordEnd(process: string, request: string, isWhole: boolean): void {
    const answer = this.#open.get(process)?.get(request);
    this.#open.get(process)?.delete(request);
    if (!answer || !isWhole) return;
    const endMs = Date.now();
    setTimeout(() => {
      if (answer.wasDisturbed(endMs - CALM_MS)) return;
      this.#finished.push({ request, process, endMs });
    }, CALM_MS);
  }

  /** Records that a process of an endpoint ends. */
  recordProcessEnd(process: string): void {
    this.#endedInsideCount += this.#open.get(process)?.size ?? 0;
    this.#open.delete(process);
  }

  /** Records that a stream goes on from a copy. */
  recordMove(kind: CopyKind): void {
    this.#moved[kind]++;
  }

  /**
   * @param fateOf - Returns what became of an answer to a request that was
   * finished at a wall-clock time.
   * @returns The counts so far.
   */
  counts(
    fateOf: (request: string, endMs: number) => WholeAnswerFate,
  ): AnswerCounts {
    const select = (fate: WholeAnswerFate): readonly string[] =>
      this.#finished.filter(({ endMs, request }) =>
        fateOf(request, endMs) === fate
      ).map(({ endMs, process, request }) =>
        `${request} at ${process}, ${endMs}`
      );
    return {
      unsized: this.#unsizedCount,
      endedInside: this.#endedInsideCount,
      moved: { ...this.#moved },
      calm: this.#finished.length,
      brokenWhole: select("broken-off"),
      repeatedWhole: select("repeated"),
    };
  }
}
