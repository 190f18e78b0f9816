/** Child processes of a measurement, so that each role's processor time shows. */

import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Processor time and memory of a process. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly rssBytes: number;
}

/** What a child answers to each message of its parent. */
export type ChildMessage =
  | { readonly kind: "started"; readonly address: string }
  | { readonly kind: "usage"; readonly usage: ProcessUsage }
  | { readonly kind: "done" };

/** What a parent asks of its child. */
export type ChildCommand =
  | { readonly kind: "usage" }
  | { readonly kind: "stall"; readonly isStalled: boolean };

const MICROSECONDS_PER_MS = 1_000;

/** A child process with a typed channel. */
export class BenchChild {
  readonly #process: ChildProcess;
  address = "";

  private constructor(child: ChildProcess) {
    this.#process = child;
  }

  /**
   * Starts a child.
   *
   * @param module - URL of its module.
   * @param args - Its arguments.
   * @returns The child, once it listens.
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

  /** Reads processor time and memory, after a collection of garbage. */
  async readUsage(): Promise<ProcessUsage> {
    const reply = await this.request({ kind: "usage" });
    if (reply.kind !== "usage") throw new Error("the child gave no usage");
    return reply.usage;
  }

  /** Sends a command and waits for its reply. */
  async request(command: ChildCommand): Promise<ChildMessage> {
    const reply = this.#nextReply();
    this.#process.send(command);
    return await reply;
  }

  /** Ends the child. */
  stop(): void {
    this.#process.disconnect();
  }

  #nextReply(): Promise<ChildMessage> {
    return new Promise((resolve, reject) => {
      this.#process.once("message", (reply) => resolve(reply as ChildMessage));
      this.#process.once(
        "exit",
        () => reject(new Error("a child ended early")),
      );
    });
  }
}

/** Arguments for every child, such as `--cpu-prof`, from the environment. */
function readExtraNodeArguments(): string[] {
  const text = process.env["BENCH_CHILD_ARGS"] ?? "";
  return text.split(" ").filter((part) => part !== "");
}

/**
 * Serves the commands of the parent; called in the child.
 *
 * @param address - Where the child listens.
 * @param onStall - Stops or continues the child's work.
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
