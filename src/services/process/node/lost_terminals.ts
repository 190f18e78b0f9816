/** Lets a process exit with its code although its terminal has been closed. */

import { closeSync } from "node:fs";
import { isatty } from "node:tty";

const STANDARD_DESCRIPTORS = [0, 1, 2];

/**
 * Closes standard descriptors whose terminal has gone as the process exits.
 * Node.js restores terminals then, and aborts the process if one cannot be.
 */
export function releaseLostTerminalsAtExit(): void {
  const terminals = STANDARD_DESCRIPTORS.filter((fd) => isatty(fd));
  if (terminals.length === 0) return;
  process.on("exit", () => {
    for (const fd of terminals) if (!isatty(fd)) closeSync(fd);
  });
}
