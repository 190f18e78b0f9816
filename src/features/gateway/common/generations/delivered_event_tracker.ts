/**
 * Tracks which events of a stream were delivered to the caller, across the runs
 * of one generation.
 */

import type { EventFrame } from "./event_frame_splitter.ts";

/** Position of an event relative to those already delivered. */
export type EventOrder =
  | "next"
  /** It is the last delivered event again. */
  | "repeated"
  /**
   * An earlier event again; a run that continues another may repeat events.
   */
  | "behind"
  /** Events before this one are missing. */
  | "gap";

/** Ids of events are increasing numbers of any size. */
const EVENT_NUMBER_PATTERN = /^\d{1,40}$/;

/** Keeps the order of events across the runs that make up one stream. */
export class DeliveredEventTracker {
  #lastId: string | undefined;
  #lastNumber: bigint | undefined;
  /** Whether the ids of all events so far were consecutive. */
  #areIdsConsecutive = true;
  #canContinue = true;

  /**
   * @param resumeAfter - Id of the event after which the caller resumes, if
   * any.
   */
  constructor(resumeAfter: string | undefined) {
    this.#lastId = resumeAfter;
    this.#lastNumber = parseEventNumber(resumeAfter);
  }

  /** Id of the last delivered event, after which another run continues. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /**
   * Whether another run can continue: it cannot after an event without a number,
   * which it would repeat.
   */
  get canContinue(): boolean {
    return this.#canContinue;
  }

  /**
   * Classifies the next event.
   *
   * @param event - The event; ids are increasing numbers.
   * @param isFirstOfRun - Whether no event of its run with a number was
   * delivered.
   * @returns The position of the event; only `next` may be delivered.
   */
  classify(
    { id, hasData }: Pick<EventFrame, "id" | "hasData">,
    isFirstOfRun: boolean,
  ): EventOrder {
    const number = parseEventNumber(id);
    if (number === undefined) {
      if (hasData) this.#canContinue = false;
      return "next";
    }
    const last = this.#lastNumber;
    if (last !== undefined && number <= last) {
      return number === last ? "repeated" : "behind";
    }
    const isConsecutive = last === undefined || number === last + 1n;
    if (!isConsecutive && isFirstOfRun && this.#areIdsConsecutive) return "gap";
    if (!isConsecutive) this.#areIdsConsecutive = false;
    this.#lastNumber = number;
    this.#lastId = id;
    this.#canContinue = true;
    return "next";
  }
}

function parseEventNumber(id: string | undefined): bigint | undefined {
  const text = id?.trim() ?? "";
  return EVENT_NUMBER_PATTERN.test(text) ? BigInt(text) : undefined;
}
