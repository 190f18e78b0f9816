/** Which events of a stream its caller has. */

/** What an event is to its caller. */
export type EventOrder =
  | "next"
  /** The caller has it; a run that goes on may repeat events. */
  | "repeated"
  /** Events before it are missing. */
  | "gap";

/** Keeps the order of events over the runs behind one stream. */
export class DeliveredEventTracker {
  #lastId: string | undefined;
  #lastNumber: number;
  /** Whether the ids of all events so far were consecutive. */
  #areIdsConsecutive = true;

  /** @param resumeAfter - Event that the caller had before, if any. */
  constructor(resumeAfter: string | undefined) {
    this.#lastId = resumeAfter;
    const number = Number(resumeAfter ?? NaN);
    this.#lastNumber = Number.isNaN(number) ? -Infinity : number;
  }

  /** Id of the last event, from which another run goes on. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /**
   * @param id - Id of the next event; ids are increasing numbers.
   * @param isFirstOfRun - Whether it is the first event of a run.
   * @returns What the event is; only a next one is to be delivered.
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
