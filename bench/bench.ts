/** Contract of a measurement. */

/** How a measurement is run. */
export interface BenchOptions {
  /** Seed of everything random. */
  readonly seed: number;
  /** Further words of the command line, such as names of variants. */
  readonly args: readonly string[];
  /** Prints one row of results, as one JSON object a line. */
  printRow(row: object): void;
  /** Prints a remark for people; it is not part of the results. */
  printNote(line: string): void;
}

/** A measurement; `bench/benches/<name>.ts` exports one as `bench`. */
export interface Bench {
  /** What it measures, in one line. */
  readonly description: string;
  /**
   * Runs the measurement.
   *
   * @param options - How to run it.
   * @returns The last row, which sums up the run.
   */
  run(options: BenchOptions): Promise<object>;
}
