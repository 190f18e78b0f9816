/**
 * Connects commands to the process: environment variables, files, output and
 * exit code. Tests replace the process.
 */

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

/** Options that all commands support. */
export interface GlobalOptions {
  readonly json?: boolean;
  readonly store?: string;
  readonly daemons?: string;
}

/** Environment variables, output and services of the process. */
export interface ProcessEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether standard output is a terminal. */
  readonly isTerminal: boolean;
  /** Whether standard error is a terminal. */
  readonly isErrorTerminal: boolean;
  createStore(addresses: readonly Address[]): StoreClient;
  createChangeId(): string;
  write(text: string): void;
  writeError(text: string): void;
  setExitCode(code: ExitCode): void;
}

/** Creates the context of commands, runs them and sets the exit code. */
export class Shell {
  readonly #process: ProcessEnvironment;

  /** @param processEnvironment - Environment and output of the process. */
  constructor(processEnvironment: ProcessEnvironment) {
    this.#process = processEnvironment;
  }

  /** Whether standard output is a terminal. */
  get isTerminal(): boolean {
    return this.#process.isTerminal;
  }

  /** Writes unmodified text, such as escape sequences, to standard output. */
  write(text: string): void {
    this.#process.write(text);
  }

  /**
   * Runs a command and sets its exit code.
   *
   * @param options - Options that all commands support.
   * @param command - Command to run.
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

  /** Prints an error in the command line and sets the exit code for it. */
  fail(message: string): void {
    this.#process.writeError(`${message}\n`);
    this.#process.setExitCode(EXIT_CODES.badInput);
  }

  #showProgress(text: string): void {
    if (this.#process.isErrorTerminal) this.#process.writeError(`${text}…\n`);
  }
}

/**
 * Runs a command with the text of a file.
 *
 * @param context - Context to print errors to.
 * @param path - Path of the file.
 * @param run - Function to call with the text of the file.
 * @returns The exit code of the command.
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
      context.printError(`cannot read the file: ${message}`);
      return EXIT_CODES.badInput;
    },
    Right: run,
  });
}

/**
 * Writes the result of a command to a file.
 *
 * @param context - Context to print the result or errors to.
 * @param path - Path of the file. An existing file is overwritten.
 * @param text - Text to write.
 * @returns The exit code of the command.
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
      context.printError(`cannot write the file: ${message}`);
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
 * Registers a command or a group of commands.
 *
 * @param cli - Command line parser.
 * @param shell - Shell that runs the commands.
 */
export type AddCommand = (cli: CAC, shell: Shell) => void;
