/**
 * Compares the outcomes that callers received with the requests that endpoints
 * ran, and counts the violations of the delivery guarantees.
 */

import type { CallCountingApp } from "../../standins/app/call_counting_app.ts";
import type { SimulatedEngine } from "../../standins/engine/simulated_engine.ts";
import { tokenText } from "../../standins/engine/engine_options.ts";
import type {
  CallerOutcome,
  ReceivedCall,
  ReceivedGeneration,
} from "./bench_callers.ts";

/** Counts and shares of all requests of the benchmark. */
export interface OutcomeSummary {
  readonly requests: number;
  /** Completed responses with missing or reordered tokens, or without a run. */
  readonly lost: number;
  /** Generations with a token delivered twice, and calls run more than once. */
  readonly doubled: number;
  /** Responses that mix generations or belong to another request. */
  readonly crossed: number;
  /** Requests that ran although `not-run` was reported. */
  readonly falseNotRun: number;
  readonly completedShare: number;
  readonly notRunShare: number;
  readonly unknownShare: number;
  readonly interruptedShare: number;
  /** Share of requests without a final response. */
  readonly noAnswerShare: number;
}

/** Counts the outcomes of requests and the violations among them. */
export class OutcomeTally {
  readonly #apps: readonly CallCountingApp[];
  readonly #promptsById = new Map<string, string>();
  readonly #startedPrompts = new Set<string>();
  readonly #outcomes = new Map<CallerOutcome, number>();
  #requests = 0;
  #lost = 0;
  #doubled = 0;
  #crossed = 0;
  #falseNotRun = 0;

  /**
   * @param engines - Engines that ran the generations.
   * @param apps - App services that ran the calls.
   */
  constructor(
    engines: readonly SimulatedEngine[],
    apps: readonly CallCountingApp[],
  ) {
    this.#apps = apps;
    for (const { startedPrompts } of engines) {
      for (const [id, prompt] of startedPrompts) {
        this.#promptsById.set(id, prompt);
        this.#startedPrompts.add(prompt);
      }
    }
  }

  /**
   * Checks a generation.
   *
   * @param received - Tokens and outcome that the caller received.
   * @param lengthTokens - Number of tokens of the complete generation.
   */
  addGeneration(received: ReceivedGeneration, lengthTokens: number): void {
    const { tokens, prompt, outcome } = received;
    this.#countOutcome(outcome);
    const id = tokens[0]?.id;
    const belongsToRequest = tokens.every((token) =>
      token.id === id && token.text === tokenText(token.id, token.offset) &&
      this.#promptsById.get(token.id) === prompt
    );
    if (!belongsToRequest) this.#crossed++;
    const offsets = new Set(tokens.map(({ offset }) => offset));
    if (offsets.size !== tokens.length) this.#doubled++;
    const isInOrder = tokens.every(({ offset }, index) => offset === index);
    const isTruncated = outcome === "completed" &&
      tokens.length !== lengthTokens;
    if (!isInOrder || isTruncated) this.#lost++;
    if (outcome === "not-run" && this.#startedPrompts.has(prompt)) {
      this.#falseNotRun++;
    }
  }

  /** Checks a call against the number of its runs. */
  addCall({ body, outcome, booked }: ReceivedCall): void {
    this.#countOutcome(outcome);
    const runs = this.#apps.reduce((sum, app) => sum + app.runCountOf(body), 0);
    if (runs > 1) this.#doubled++;
    if (outcome === "completed" && runs === 0) this.#lost++;
    if (outcome === "completed" && booked !== body) this.#crossed++;
    if (outcome === "not-run" && runs > 0) this.#falseNotRun++;
  }

  /** @returns Counts and shares of the requests that were added. */
  summarize(): OutcomeSummary {
    return {
      requests: this.#requests,
      lost: this.#lost,
      doubled: this.#doubled,
      crossed: this.#crossed,
      falseNotRun: this.#falseNotRun,
      completedShare: this.#shareOf("completed"),
      notRunShare: this.#shareOf("not-run"),
      unknownShare: this.#shareOf("unknown"),
      interruptedShare: this.#shareOf("interrupted"),
      noAnswerShare: this.#shareOf("no-answer"),
    };
  }

  #countOutcome(outcome: CallerOutcome): void {
    this.#requests++;
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
  }

  #shareOf(outcome: CallerOutcome): number {
    const share = (this.#outcomes.get(outcome) ?? 0) / this.#requests;
    return Number(share.toFixed(4));
  }
}
