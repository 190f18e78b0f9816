/** Which events of a stream its caller has. */

/** Keeps the order of events over the runs behind one stream. */
export class DeliveredEvents {
  #lastId: string | undefined;
  #lastNumber = -Infinity;

  /** @param resumeAfter - Event that the caller had before, if any. */
  constructor(resumeAfter: string | undefined) {
    this.#lastId = resumeAfter;
  }

  /** Id of the last event, from which another run goes on. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /**
   * @param id - Id of the next event; ids are increasing numbers.
   * @returns Whether to deliver it; a run that goes on may repeat events.
   */
  accept(id: string | undefined): boolean {
    const number = id === undefined ? NaN : Number(id);
    if (number <= this.#lastNumber) return false;
    if (!Number.isNaN(number)) this.#lastNumber = number;
    if (id !== undefined) this.#lastId = id;
    return true;
  }
}
