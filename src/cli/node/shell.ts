/** What the command line stands on: the process, or a test in its place. */

import { readFileSync, writeFileSync } from "node:fs";
import type { CAC } from "cac";
import { toErrorMessage } from "../../base/common/errors.ts";
import type { Address } from "../../base/common/ids.ts";
import { attempt, type Either } from "../../base/common/result.ts";
import type { StoreClient } from "../../services/store/common/store_client.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  parseAddresses,
} from "./cli_context.ts";

const DEFAULT_STORE_ADDRESS = "127.0.0.1:2379";

/** Options of every command. */
export interface GlobalOptions {
  readonly json?: boolean;
  readonly store?: string;
  readonly daemons?: string;
}

/** The process around the command line. */
export interface ProcessEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether results go to a terminal. */
  readonly isTerminal: boolean;
  /** Whether remarks go to a terminal. */
  readonly isErrorTerminal: boolean;
  createStore(addresses: readonly Address[]): StoreClient;
  createChangeId(): string;
  write(text: string): void;
  writeError(text: string): void;
  setExitCode(code: ExitCode): void;
}

/** Runs commands with their context and sets the exit code. */
export class Shell {
  readonly #process: ProcessEnvironment;

  /** @param processEnvironment - The process around the command line. */
  constructor(processEnvironment: ProcessEnvironment) {
    this.#process = processEnvironment;
  }

  /** Whether results go to a terminal. */
  get isTerminal(): boolean {
    return this.#process.isTerminal;
  }

  /** Writes text as it is, such as codes for the terminal. */
  write(text: string): void {
    this.#process.write(text);
  }

  /**
   * Runs a command.
   *
   * @param options - Options of every command.
   * @param command - The command.
   */
  async run(
    options: GlobalOptions,
    command: (context: CliContext) => Promise<ExitCode> | ExitCode,
  ): Promise<void> {
    const { env } = this.#process;
    const storeText = options.store ?? env["RAGWORT_STORE"] ??
      DEFAULT_STORE_ADDRESS;
    const store = this.#process.createStore(parseAddresses(storeText));
    const daemonsText = options.daemons ?? env["RAGWORT_DAEMONS"] ?? "";
    const context: CliContext = {
      store,
      daemons: parseAddresses(daemonsText),
      operatorKey: env["RAGWORT_OPERATOR_KEY"] ?? "",
      isJson: options.json === true,
      isColored: this.#process.isTerminal && env["NO_COLOR"] === undefined,
      createChangeId: () => this.#process.createChangeId(),
      print: (line) => this.#process.write(`${line}\n`),
      printError: (line) => this.#process.writeError(`${line}\n`),
      showProgress: (text) => this.#showProgress(text),
    };
    this.#process.setExitCode(await command(context));
    store.dispose();
  }

  /** Prints what was wrong with the command line itself. */
  fail(message: string): void {
    this.#process.writeError(`${message}\n`);
    this.#process.setExitCode(EXIT_CODES.badInput);
  }

  #showProgress(text: string): void {
    if (this.#process.isErrorTerminal) this.#process.writeError(`${text}…\n`);
  }
}

/**
 * Runs a command on the text of a file.
 *
 * @param context - Where a failure is printed.
 * @param path - The file.
 * @param run - The command.
 */
export async function withFile(
  context: CliContext,
  path: string,
  run: (text: string) => Promise<ExitCode> | ExitCode,
): Promise<ExitCode> {
  const read: Either<string, string> = attempt(
    () => readFileSync(path, "utf8"),
    toErrorMessage,
  );
  return await read.caseOf<Promise<ExitCode> | ExitCode>({
    Left: (message) => {
      context.printError(`the file cannot be read: ${message}`);
      return EXIT_CODES.badInput;
    },
    Right: run,
  });
}

/**
 * @param context - Where a failure is printed.
 * @param path - The file; it is replaced.
 * @param text - What is written.
 */
export function writeResultFile(
  context: CliContext,
  path: string,
  text: string,
): ExitCode {
  return attempt(() => writeFileSync(path, text), toErrorMessage).caseOf<
    ExitCode
  >({
    Left: (message) => {
      context.printError(`the file cannot be written: ${message}`);
      return EXIT_CODES.badInput;
    },
    Right: () => {
      printWritten(context, path, text);
      return EXIT_CODES.ok;
    },
  });
}

function printWritten(context: CliContext, path: string, text: string): void {
  const sizeBytes = Buffer.byteLength(text);
  context.print(
    context.isJson
      ? JSON.stringify({ path, sizeBytes })
      : `${path}: ${sizeBytes} bytes`,
  );
}

/**
 * Adds commands to the command line.
 *
 * @param cli - The command line.
 * @param shell - Runs the commands.
 */
export type AddCommand = (cli: CAC, shell: Shell) => void;
