/** Standard output of a program that prints results and may lose its reader. */

import { toErrorMessage } from "../../../base/common/errors.ts";

const EXIT_NOT_WRITTEN = 1;

/**
 * What a program does once its standard output cannot be written: `end` suits
 * one that does nothing but print, `go-on` one whose exit code is a result or
 * that must stop what it has started.
 */
export type LostOutputMode = "end" | "go-on";

/**
 * Handles the errors of standard output and standard error from now on. A
 * closed pipe is no failure. Any other error writes one line to standard error
 * and sets exit code 1.
 *
 * @param mode - What the program does then.
 */
export function handleLostOutput(mode: LostOutputMode): void {
  let isTold = false;
  process.stderr.on("error", () => undefined);
  process.stdout.on("error", (error: NodeJS.ErrnoException) => {
    const isClosed = error.code === "EPIPE";
    if (isClosed) return endIf(mode);
    process.exitCode = EXIT_NOT_WRITTEN;
    if (isTold) return;
    isTold = true;
    const line = `cannot write the output: ${toErrorMessage(error)}\n`;
    process.stderr.write(line, () => endIf(mode));
  });
}

function endIf(mode: LostOutputMode): void {
  switch (mode) {
    case "end":
      return process.exit();
    case "go-on":
      return;
  }
}
