/** Opens the ports of a process, also those that become free after its start. */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import {
  onUnexpectedError,
  StepError,
  toErrorMessage,
} from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import { LogGate } from "../../log/common/log_gate.ts";
import type { Logger } from "../../log/common/logger.ts";

const RETRY_INTERVAL_MS = 250;
const REPEATED_LINE_INTERVAL_MS = 10_000;
/** Errors that can pass without a change of the settings. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "ENOMEM",
]);

/** What a port serves. */
export type PortPurpose =
  | "callers"
  | "readiness"
  | "peers"
  | "relay"
  | "metrics";

/** Called with each error of a server that is listening. */
export type ServerErrorListener = (error: Error) => void;

/** A port to open. */
export interface Port {
  readonly purpose: PortPurpose;
  readonly address: Address;
  /**
   * Starts the server. Called again after it has failed.
   *
   * @param address - The address to listen on.
   * @param onError - Called with each error while the server is listening.
   * @returns Once the server is listening. Rejects if it cannot.
   */
  listen(address: Address, onError: ServerErrorListener): Promise<unknown>;
}

/** Tries to open ports until they are free. */
export class PortOpener implements Disposable {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #gate: LogGate;
  #isDisposed = false;

  /**
   * @param clock - Clock of the tries.
   * @param logger - Logger for ports that cannot be opened.
   */
  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
    this.#gate = new LogGate(clock, REPEATED_LINE_INTERVAL_MS);
  }

  /**
   * Opens a port without which the process cannot serve.
   *
   * @param port - The port.
   * @returns Once the port is open. Rejects with a {@link StepError} if it
   * cannot be opened without a change of the settings or of the rights.
   */
  open(port: Port): Promise<void> {
    return this.#openWhen(port, (code) => PASSING_CODES.has(code));
  }

  /**
   * Opens a port without which the process can serve.
   *
   * @param port - The port; tried again after any error.
   */
  openInBackground(port: Port): void {
    this.#openWhen(port, () => true).catch(onUnexpectedError);
  }

  /** Stops trying. Ports that are open stay so. */
  dispose(): void {
    this.#isDisposed = true;
  }

  async #openWhen(
    port: Port,
    mayPass: (code: string) => boolean,
  ): Promise<void> {
    const { address, purpose } = port;
    const startMs = this.#clock.monotonicMs();
    let hasFailed = false;
    while (!this.#isDisposed) {
      const error = await this.#tryOnce(port);
      if (error === undefined) {
        if (!hasFailed) return;
        const waitedMs = Math.round(this.#clock.monotonicMs() - startMs);
        this.#logger.log("info", "port-open", { purpose, address, waitedMs });
        return;
      }
      if (!mayPass(codeOf(error))) {
        const context = { step: `listen.${purpose}`, peer: address };
        throw new StepError(toErrorMessage(error), context, error);
      }
      hasFailed = true;
      this.#onUnavailable(port, error);
      await sleep(this.#clock, RETRY_INTERVAL_MS);
    }
  }

  /** Returns the error of the try, if any. */
  async #tryOnce(port: Port): Promise<unknown> {
    try {
      await port.listen(
        port.address,
        (error) => this.#onServerError(port, error),
      );
      return undefined;
    } catch (thrown) {
      return thrown;
    }
  }

  #onUnavailable({ address, purpose }: Port, error: unknown): void {
    const code = codeOf(error);
    if (this.#gate.pass(`open ${purpose} ${code}`) === undefined) return;
    const detail = toErrorMessage(error);
    const fields = { purpose, address, code, detail };
    this.#logger.log("warn", "port-unavailable", fields);
  }

  #onServerError({ address, purpose }: Port, error: Error): void {
    const code = codeOf(error);
    const suppressed = this.#gate.pass(`serve ${purpose} ${code}`);
    if (suppressed === undefined) return;
    const detail = toErrorMessage(error);
    const fields = { purpose, address, code, detail, suppressed };
    this.#logger.log("error", "port-failed", fields);
  }
}

function codeOf(thrown: unknown): string {
  const code = (thrown as NodeJS.ErrnoException | undefined)?.code;
  return code ?? "unknown";
}
