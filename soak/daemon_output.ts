/** The standard output of one daemon process, and who reads it. */

import { type ChildProcess, execFileSync } from "node:child_process";
import { closeSync, constants, openSync, rmSync } from "node:fs";
import { Socket } from "node:net";
import type { Readable, Writable } from "node:stream";
import type { Disposable } from "../src/base/common/lifecycle.ts";

/** Where a process writes its standard output. */
export type OutputKind = "socket" | "named-pipe" | "full-device";

/** Opens an output for a process, and reads it into a log. */
export class DaemonOutput implements Disposable {
  readonly kind: OutputKind;
  readonly #pipePath: string;
  readonly #log: Writable;
  /** Ends of the output until the process has inherited its own. */
  #writeFd: number | undefined;
  #reader: Readable | undefined;
  #hasText = false;

  /**
   * @param kind - Where the process writes its standard output.
   * @param pipePath - Path of the named pipe, if it is one.
   * @param log - Receives what can be read.
   */
  constructor(kind: OutputKind, pipePath: string, log: Writable) {
    this.kind = kind;
    this.#pipePath = pipePath;
    this.#log = log;
  }

  /** Whether the process has written something that was read. */
  get hasText(): boolean {
    return this.#hasText;
  }

  /** Whether the output is read now. */
  get isRead(): boolean {
    return this.#reader !== undefined && !this.#reader.isPaused();
  }

  /** @returns What the process inherits as its standard output. */
  open(): "pipe" | number {
    switch (this.kind) {
      case "socket":
        return "pipe";
      case "named-pipe":
        rmSync(this.#pipePath, { force: true });
        execFileSync("mkfifo", [this.#pipePath]);
        // A writer can open a named pipe without waiting once it has a reader.
        this.#read(this.#openReader());
        this.#writeFd = openSync(this.#pipePath, constants.O_WRONLY);
        return this.#writeFd;
      case "full-device":
        this.#writeFd = openSync("/dev/full", constants.O_WRONLY);
        return this.#writeFd;
    }
  }

  /** Reads the output of a process that has just inherited it. */
  attach(child: ChildProcess): void {
    if (this.#writeFd !== undefined) closeSync(this.#writeFd);
    this.#writeFd = undefined;
    if (child.stdout) this.#read(child.stdout);
  }

  /** Takes the reader away. */
  loseReader(): void {
    this.#reader?.destroy();
    this.#reader = undefined;
  }

  /** @returns Whether the output is read again, which a named pipe can be. */
  readAgain(): boolean {
    if (this.kind !== "named-pipe" || this.#reader) return false;
    this.#read(this.#openReader());
    return true;
  }

  /** Lets the reader stand still; all further output has to wait. */
  stall(): void {
    this.#reader?.pause();
  }

  /** Lets the reader go on. */
  resume(): void {
    this.#reader?.resume();
  }

  /** Reads what is left, and no more. */
  dispose(): void {
    this.resume();
    if (this.kind === "named-pipe") rmSync(this.#pipePath, { force: true });
  }

  #openReader(): Readable {
    const flags = constants.O_RDONLY | constants.O_NONBLOCK;
    return new Socket({ fd: openSync(this.#pipePath, flags), writable: false });
  }

  #read(reader: Readable): void {
    this.#reader = reader;
    reader.on("error", () => reader.destroy());
    reader.on("data", (chunk: Buffer) => {
      this.#hasText = true;
      if (!this.#log.writableEnded) this.#log.write(chunk);
    });
  }
}
