/** One worker process, seen from the measurement. */

import { type ChildProcess, fork } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Emitter } from "../../src/base/common/event.ts";
import type {
  WorkerCommand,
  WorkerReport,
  WorkerSample,
} from "./worker_messages.ts";

const FOLDER = dirname(fileURLToPath(import.meta.url));

/** A process that runs some of the daemons. */
export class WorkerProcess {
  readonly #child: ChildProcess;
  readonly #didReport = new Emitter<WorkerReport>();

  /** Fires for each report. */
  readonly onDidReport = this.#didReport.event;

  /** Starts the process. */
  constructor() {
    this.#child = fork(join(FOLDER, "control_worker.ts"));
    this.#child.on(
      "message",
      (message) => this.#didReport.fire(message as WorkerReport),
    );
  }

  /** @param command - What the worker is to do. */
  send(command: WorkerCommand): void {
    this.#child.send(command);
  }

  /**
   * @param command - What the worker is to do.
   * @param kind - Kind of the report that answers it.
   */
  request<K extends WorkerReport["kind"]>(
    command: WorkerCommand,
    kind: K,
  ): Promise<Extract<WorkerReport, { kind: K }>> {
    return new Promise((resolve) => {
      const subscription = this.onDidReport((report) => {
        if (report.kind !== kind) return;
        subscription.dispose();
        resolve(report as Extract<WorkerReport, { kind: K }>);
      });
      this.send(command);
    });
  }

  /** @returns The counters now. */
  sample(): Promise<WorkerSample> {
    return this.request({ kind: "sample" }, "sample");
  }

  /** Ends the process. */
  stop(): void {
    this.#child.disconnect();
  }
}

/** @returns Memory of a Node process that does nothing, in megabytes. */
export function measureIdleProcessMb(settleMs: number): Promise<number> {
  const child = fork(join(FOLDER, "idle_worker.ts"));
  setTimeout(() => child.send("sample"), settleMs);
  return new Promise((resolve) => {
    child.on("message", (message) => {
      child.disconnect();
      resolve((message as { rssMb: number }).rssMb);
    });
  });
}
