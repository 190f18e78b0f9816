/** JSON calls over HTTP with a hard time-out. */

import { Pool } from "undici";
import type { Clock } from "../../../base/common/clock.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import { type AsyncEither, Left, Right } from "../../../base/common/result.ts";

/** Connections kept to one address: a waiting call must not block the others. */
const CONNECTIONS_PER_ADDRESS = 6;
const CONNECT_TIMEOUT_MS = 500;
/** Unused connections are closed before most servers do so. */
const IDLE_LIMIT_MS = 4_000;
/** Addresses that are not called for so long are gone; peers are polled each 0.5 s. */
const POOL_LIFETIME_MS = 30_000;

/** A call. */
export interface JsonCall {
  readonly method: "GET" | "POST" | "DELETE";
  /** Path with its query. */
  readonly target: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** An answer in JSON; `body` is `undefined` where it is none. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls any address; a call without an answer may have been carried out. */
export class JsonClient implements Disposable {
  readonly #clock: Clock;
  readonly #pools = new Map<Address, { pool: Pool; usedMs: number }>();

  /** @param clock - Clock of the time-outs. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @returns The answer, or why there is none. */
  async call(
    address: Address,
    call: JsonCall,
  ): AsyncEither<string, JsonAnswer> {
    const abort = new AbortController();
    const timer = this.#clock.setTimer(call.timeoutMs, () => {
      abort.abort(new Error(`no answer within ${call.timeoutMs} ms`));
    });
    try {
      const { statusCode, body } = await this.#poolOf(address).request({
        method: call.method,
        path: call.target,
        headers: call.body === undefined
          ? {}
          : { "content-type": "application/json" },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: abort.signal,
      });
      const text = await body.text();
      return Right({ status: statusCode, body: parseJson(text) });
    } catch (thrown) {
      const reason: unknown = abort.signal.aborted
        ? abort.signal.reason
        : thrown;
      return Left(toErrorMessage(reason));
    } finally {
      timer.dispose();
    }
  }

  /** Closes the connections to an address. */
  forget(address: Address): void {
    const known = this.#pools.get(address);
    this.#pools.delete(address);
    // Calls in progress end with an error of their own.
    known?.pool.destroy().catch(() => undefined);
  }

  /** Closes all connections. */
  dispose(): void {
    for (const address of [...this.#pools.keys()]) this.forget(address);
  }

  #poolOf(address: Address): Pool {
    const usedMs = this.#clock.monotonicMs();
    const known = this.#pools.get(address);
    if (known) {
      known.usedMs = usedMs;
      return known.pool;
    }
    this.#forgetUnused();
    const pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS_PER_ADDRESS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_LIMIT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(address, { pool, usedMs });
    return pool;
  }

  #forgetUnused(): void {
    const oldestMs = this.#clock.monotonicMs() - POOL_LIFETIME_MS;
    for (const [address, { usedMs }] of this.#pools) {
      if (usedMs < oldestMs) this.forget(address);
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // Answers without a body are usual; the status tells what happened.
    return undefined;
  }
}
