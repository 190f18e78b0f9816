/**
 * Interface between the benchmark runner and the benchmarks in
 * `bench/benches`.
 */

/** Options and output functions of a benchmark run. */
export interface BenchOptions {
  /** Seed of the random number generators. */
  readonly seed: number;
  /** Further command-line arguments, such as names of variants. */
  readonly args: readonly string[];
  /**
   * Prints one row of results, as a line of JSON with `--json` and as a table
   * otherwise.
   */
  printRow(row: object): void;
  /** Prints a progress message to standard error, apart from the results. */
  printNote(line: string): void;
}

/** Benchmark; `bench/benches/<name>.ts` exports it as `bench`. */
export interface Bench {
  /** Measured quantities, in one line. */
  readonly description: string;
  /**
   * Runs the benchmark.
   *
   * @param options - Options and output functions of the run.
   * @returns The last row, which summarizes the run.
   */
  run(options: BenchOptions): Promise<object>;
}
