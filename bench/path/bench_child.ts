/**
 * Child processes of the path benchmark. The daemon and the engine run in
 * processes of their own, so that the processor time of each can be measured.
 */

import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly rssBytes: number;
}

/** Message of a child to its parent. */
export type ChildMessage =
  | { readonly kind: "started"; readonly address: string }
  | { readonly kind: "usage"; readonly usage: ProcessUsage }
  | { readonly kind: "done" };

/** Command of a parent to its child. */
export type ChildCommand =
  | { readonly kind: "usage" }
  | { readonly kind: "stall"; readonly isStalled: boolean };

const MICROSECONDS_PER_MS = 1_000;

/** Child process with a typed message channel. */
export class BenchChild {
  readonly #process: ChildProcess;
  address = "";

  private constructor(child: ChildProcess) {
    this.#process = child;
  }

  /**
   * Starts a child and waits until it listens.
   *
   * @param module - URL of the child's main module.
   * @param args - Command-line arguments of the child.
   * @returns The child, with the address at which it listens.
   */
  static async start(
    module: URL,
    args: readonly string[],
  ): Promise<BenchChild> {
    const child = new BenchChild(
      fork(fileURLToPath(module), args, {
        execArgv: ["--expose-gc", ...readExtraNodeArguments()],
      }),
    );
    const reply = await child.#nextReply();
    if (reply.kind === "started") child.address = reply.address;
    return child;
  }

  /**
   * Reads the resource usage of the child after a garbage collection.
   *
   * @throws Error if the child replies with another kind of message.
   */
  async readUsage(): Promise<ProcessUsage> {
    const reply = await this.request({ kind: "usage" });
    if (reply.kind !== "usage") throw new Error("child sent no resource usage");
    return reply.usage;
  }

  /** Sends a command and waits for the next message of the child. */
  async request(command: ChildCommand): Promise<ChildMessage> {
    const reply = this.#nextReply();
    this.#process.send(command);
    return await reply;
  }

  /** Disconnects the child, which makes it exit. */
  stop(): void {
    this.#process.disconnect();
  }

  #nextReply(): Promise<ChildMessage> {
    return new Promise((resolve, reject) => {
      this.#process.once("message", (reply) => resolve(reply as ChildMessage));
      this.#process.once(
        "exit",
        () => reject(new Error("child process exited before it replied")),
      );
    });
  }
}

/**
 * Reads additional Node arguments for every child, such as `--cpu-prof`, from
 * the environment variable `BENCH_CHILD_ARGS`.
 */
function readExtraNodeArguments(): string[] {
  const text = process.env["BENCH_CHILD_ARGS"] ?? "";
  return text.split(" ").filter((part) => part !== "");
}

/**
 * Serves the commands of the parent process, and exits when the parent
 * disconnects. To be called in the child once it listens.
 *
 * @param address - Address at which the child listens.
 * @param onStall - Called to stall the child's work or to resume it.
 */
export function serveParentCommands(
  address: string,
  onStall: (isStalled: boolean) => void,
): void {
  const reply = (message: ChildMessage): void => {
    process.send?.(message);
  };
  process.on("message", (command: ChildCommand) => {
    switch (command.kind) {
      case "usage":
        reply({ kind: "usage", usage: readOwnUsage() });
        return;
      case "stall":
        onStall(command.isStalled);
        reply({ kind: "done" });
        return;
    }
  });
  process.on("disconnect", () => process.exit());
  reply({ kind: "started", address });
}

function readOwnUsage(): ProcessUsage {
  globalThis.gc?.();
  const { user, system } = process.cpuUsage();
  return {
    cpuMs: (user + system) / MICROSECONDS_PER_MS,
    rssBytes: process.memoryUsage.rss(),
  };
}
