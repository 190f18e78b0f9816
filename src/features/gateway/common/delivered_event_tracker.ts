/**
 * Tracks which events of a stream were delivered to the caller, across the runs
 * of one generation.
 */

/** Position of an event relative to those already delivered. */
export type EventOrder =
  | "next"
  /**
   * The event was already delivered; a run that continues another may repeat
   * events.
   */
  | "repeated"
  /** Events before this one are missing. */
  | "gap";

/** Keeps the order of events across the runs that make up one stream. */
export class DeliveredEventTracker {
  #lastId: string | undefined;
  #lastNumber: number;
  /** Whether the ids of all events so far were consecutive. */
  #areIdsConsecutive = true;

  /**
   * @param resumeAfter - Id of the event after which the caller resumes, if
   * any.
   */
  constructor(resumeAfter: string | undefined) {
    this.#lastId = resumeAfter;
    const number = Number(resumeAfter ?? NaN);
    this.#lastNumber = Number.isNaN(number) ? -Infinity : number;
  }

  /** Id of the last delivered event, after which another run continues. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /**
   * Classifies the next event.
   *
   * @param id - Id of the event; ids are increasing numbers.
   * @param isFirstOfRun - Whether it is the first event of a run.
   * @returns The position of the event; only `next` may be delivered.
   */
  classify(id: string | undefined, isFirstOfRun: boolean): EventOrder {
    const number = id === undefined ? NaN : Number(id);
    if (Number.isNaN(number)) return "next";
    if (number <= this.#lastNumber) return "repeated";
    const isConsecutive = number === this.#lastNumber + 1 ||
      this.#lastNumber === -Infinity;
    if (!isConsecutive && isFirstOfRun && this.#areIdsConsecutive) return "gap";
    if (!isConsecutive) this.#areIdsConsecutive = false;
    this.#lastNumber = number;
    this.#lastId = id;
    return "next";
  }
}
