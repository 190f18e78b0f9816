/** Handle with which the hosts benchmark controls a worker process. */

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

/** Process that runs some of the daemons. */
export class WorkerProcess {
  readonly #child: ChildProcess;
  readonly #didReport = new Emitter<WorkerReport>();

  /** Fires for each report of the worker. */
  readonly onDidReport = this.#didReport.event;

  /** Starts the process. */
  constructor() {
    this.#child = fork(join(FOLDER, "control_worker.ts"));
    this.#child.on(
      "message",
      (message) => this.#didReport.fire(message as WorkerReport),
    );
  }

  /** @param command - Command for the worker. */
  send(command: WorkerCommand): void {
    this.#child.send(command);
  }

  /**
   * Sends a command and waits for a report.
   *
   * @param command - Command for the worker.
   * @param kind - Kind of the report to wait for.
   * @returns The next report of this kind.
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

  /** @returns The current resource usage and counters of the worker. */
  sample(): Promise<WorkerSample> {
    return this.request({ kind: "sample" }, "sample");
  }

  /** Disconnects the process, which makes it exit. */
  stop(): void {
    this.#child.disconnect();
  }
}

/**
 * Measures the resident memory of an idle Node process.
 *
 * @param settleMs - Time in milliseconds to wait before the measurement.
 * @returns Resident memory in megabytes.
 */
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
