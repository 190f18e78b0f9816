/** A daemon as a process of its own, on loopback ports. */

import {
  type ChildProcess,
  execFileSync,
  spawn,
  type StdioOptions,
} from "node:child_process";
import { once } from "node:events";
import {
  closeSync,
  constants,
  createReadStream,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request as sendRequest } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Readable } from "node:stream";
import { setTimeout as wait } from "node:timers/promises";
import { type Address, asId } from "../../src/base/common/ids.ts";
import type { Disposable } from "../../src/base/common/lifecycle.ts";
import { TEST_API_KEY, TEST_OPERATOR_KEY } from "./single_daemon_deployment.ts";

/** Differs between test runs, so that none takes the ports of another. */
const LOOPBACK_IP = `127.10.${(process.pid >> 7) % 256}.${
  1 + process.pid % 128
}`;
const POLL_INTERVAL_MS = 50;
/** Raises an error in the process for each signal that nothing else uses. */
const RAISE_ERRORS =
  "data:text/javascript,process.on('SIGWINCH',()=>{throw new Error('odd')})";
/** Time after which a caller gives up. */
const DEADLINE_MS = 3_000;
const BODY = "body";

/** Where the process writes its standard error. */
export type ErrorOutput = "read" | "socket" | "named-pipe" | "full-device";

/** Status of an answer, or why there is none. */
export type Answer = number | "reset" | "refused" | "deadline";

/** Ports of the daemon. */
export interface DaemonAddresses {
  readonly callers: Address;
  readonly peers: Address;
  readonly operators: Address;
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Starts and ends the process of one daemon. */
export class DaemonProcess implements Disposable {
  readonly #folder = mkdtempSync(join(tmpdir(), "ragwortd-"));
  readonly #output: ErrorOutput;
  readonly #child: ChildProcess;
  readonly #exited: Promise<unknown>;
  readonly addresses: DaemonAddresses;
  #log = "";
  /** Holds the named pipe open, as its reader does. */
  #pipeFd: number | undefined;

  /**
   * Starts a process.
   *
   * @param storeAddress - Address of the store.
   * @param output - Where the process writes its standard error.
   * @param settings - Further settings, by section.
   * @param addresses - Where the daemon listens; free ports if omitted.
   * @returns The process, which is not ready yet.
   */
  static async launch(
    storeAddress: Address,
    output: ErrorOutput = "read",
    settings: Readonly<Record<string, unknown>> = {},
    addresses?: DaemonAddresses,
  ): Promise<DaemonProcess> {
    return new DaemonProcess(
      addresses ?? await reserveAddresses(),
      storeAddress,
      output,
      settings,
    );
  }

  private constructor(
    addresses: DaemonAddresses,
    storeAddress: Address,
    output: ErrorOutput,
    settings: Readonly<Record<string, unknown>>,
  ) {
    this.addresses = addresses;
    this.#output = output;
    const settingsPath = join(this.#folder, "settings.yaml");
    writeFileSync(
      settingsPath,
      JSON.stringify({
        host: "edge-1",
        zone: "edge",
        listen: addresses,
        store: { addresses: [storeAddress] },
        secrets: {
          signingKeys: [{ id: "k1", source: { env: "SIGNING_KEY" } }],
          peer: { env: "PEER_SECRET" },
          operator: { env: "OPERATOR_KEY" },
        },
        ...settings,
      }),
    );
    const errorOutput = this.#openOutput();
    this.#child = spawn(
      process.execPath,
      [
        "--import",
        "tsx",
        "--import",
        RAISE_ERRORS,
        "src/daemon/node/main.ts",
        "--settings",
        settingsPath,
      ],
      {
        env: {
          PATH: process.env["PATH"],
          SIGNING_KEY: "edge-signing-secret-0123",
          PEER_SECRET: "peer secret of the edge tests",
          OPERATOR_KEY: TEST_OPERATOR_KEY,
        },
        stdio: ["ignore", "ignore", errorOutput] as StdioOptions,
      },
    );
    if (typeof errorOutput === "number") closeSync(errorOutput);
    this.#child.stderr?.on("data", (chunk) => this.#log += String(chunk));
    this.#exited = once(this.#child, "exit");
  }

  /** What the process has written to its standard error, if it is read. */
  get log(): string {
    return this.#log;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    const { exitCode, signalCode } = this.#child;
    return exitCode !== null || signalCode !== null;
  }

  /** @returns Once the daemon is ready. */
  async untilReady(): Promise<void> {
    while (await this.get(this.addresses.callers, "/readyz") !== 200) {
      if (this.hasEnded) {
        throw new Error(`the daemon ended before it was ready: ${this.#log}`);
      }
      await wait(POLL_INTERVAL_MS);
    }
  }

  /**
   * Waits for text in the log.
   *
   * @param text - The text.
   */
  async untilLogged(text: string): Promise<void> {
    while (!this.#log.includes(text)) {
      if (this.hasEnded) {
        throw new Error(`the daemon ended without "${text}": ${this.#log}`);
      }
      await wait(POLL_INTERVAL_MS);
    }
  }

  /** Takes the reader of the standard error away. */
  closeOutput(): void {
    this.#child.stderr?.destroy();
    if (this.#pipeFd !== undefined) closeSync(this.#pipeFd);
    this.#pipeFd = undefined;
  }

  /** Reads the named pipe again after {@link closeOutput}. */
  openOutput(): Readable {
    return createReadStream(join(this.#folder, "output"), {
      encoding: "utf8",
    });
  }

  /** Sends a request with a body to the app service. */
  call(path = "/app/x"): Promise<Answer> {
    return send(this.addresses.callers, "POST", path, TEST_API_KEY);
  }

  /** Sends a request without a body. */
  get(address: Address, path: string): Promise<Answer> {
    return send(address, "GET", path, TEST_OPERATOR_KEY);
  }

  /** Makes the daemon write a line, by a change of an endpoint's mark. */
  async writeLine(index: number): Promise<Answer> {
    const verb = index % 2 === 0 ? "drain" : "return";
    const path = `/endpoints/team/app/absent/${verb}`;
    return send(this.addresses.operators, "POST", path, TEST_OPERATOR_KEY);
  }

  /** @returns The counters of the daemon. */
  async counters(): Promise<Readonly<Record<string, number>>> {
    const response = await fetch(
      `http://${this.addresses.operators}/figures`,
      { headers: { authorization: `Bearer ${TEST_OPERATOR_KEY}` } },
    );
    const { counters } = await response.json() as {
      readonly counters: Readonly<Record<string, number>>;
    };
    return counters;
  }

  /** Raises an error in the process that nothing handles. */
  raiseError(): void {
    this.kill("SIGWINCH");
  }

  /** Sends a signal to the process. */
  kill(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** @returns How the process ended, once it has. */
  async end(): Promise<ProcessEnd> {
    await this.#exited;
    const { exitCode, signalCode } = this.#child;
    return { code: exitCode, signal: signalCode };
  }

  /** Ends the process if it runs. */
  dispose(): void {
    this.kill("SIGKILL");
    this.closeOutput();
    rmSync(this.#folder, { recursive: true });
  }

  #openOutput(): "pipe" | number {
    switch (this.#output) {
      case "read":
      case "socket":
        return "pipe";
      case "named-pipe": {
        const path = join(this.#folder, "output");
        execFileSync("mkfifo", [path]);
        this.#pipeFd = openSync(path, constants.O_RDWR);
        return openSync(path, constants.O_WRONLY);
      }
      case "full-device":
        return openSync("/dev/full", "w");
    }
  }
}

/** @returns Addresses for a daemon. */
export async function reserveAddresses(): Promise<DaemonAddresses> {
  return {
    callers: await reserveAddress(),
    peers: await reserveAddress(),
    operators: await reserveAddress(),
  };
}

/** @returns A loopback address whose port was free just now. */
async function reserveAddress(): Promise<Address> {
  const server = createServer().listen(0, LOOPBACK_IP);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return asId<Address>(`${LOOPBACK_IP}:${port}`);
}

function send(
  address: Address,
  method: "GET" | "POST",
  path: string,
  key: string,
): Promise<Answer> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const headers = {
      "authorization": `Bearer ${key}`,
      "content-type": "text/plain",
      ...(method === "POST" ? { "content-length": BODY.length } : {}),
    };
    const request = sendRequest(
      { host, port, method, path, headers },
      (response) => {
        response.resume();
        response.on("end", () => resolve(response.statusCode!));
        response.on("error", () => resolve("reset"));
      },
    );
    request.on("error", (error: NodeJS.ErrnoException) => {
      resolve(error.code === "ECONNREFUSED" ? "refused" : "reset");
    });
    request.setTimeout(DEADLINE_MS, () => {
      resolve("deadline");
      request.destroy();
    });
    request.end(method === "POST" ? BODY : undefined);
  });
}
