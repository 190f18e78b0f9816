/**
 * Signals of this process. Must be the first import of an entry point: a signal
 * ends a process that does not listen for it yet.
 */

import { ProcessSignals } from "./process_signals.ts";

/** Signals of this process, from the evaluation of this module on. */
export const ownSignals = new ProcessSignals(process);
