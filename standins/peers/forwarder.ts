/** A forwarder of connections that is slow, stalls or resets them. */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Transform, type TransformCallback } from "node:stream";
import type { Address } from "../../src/base/common/ids.ts";
import type { Disposable } from "../../src/base/common/lifecycle.ts";

const MS_PER_SECOND = 1_000;
/** As little as a network would hold. */
const BUFFER_BYTES = 16_384;

/** An open forwarder. */
export interface Forwarder extends Disposable {
  readonly address: Address;
  /** Stops forwarding on the open connections without closing them. */
  stall(): void;
  /** Closes the open connections. */
  reset(): void;
}

/**
 * Forwards connections to an address.
 *
 * @param target - The address to forward to.
 * @param options - `bytesPerS` limits the rate from the client to the target.
 * @returns The forwarder, once it is listening.
 */
export async function openForwarder(
  target: Address,
  options: { readonly bytesPerS?: number } = {},
): Promise<Forwarder> {
  const { bytesPerS } = options;
  const sockets: Socket[] = [];
  const server = createServer((client) => {
    const upstream = connect(Number(target.split(":")[1]), "127.0.0.1");
    const forward = bytesPerS ? client.pipe(new Throttle(bytesPerS)) : client;
    forward.pipe(upstream).pipe(client);
    for (const socket of [client, upstream]) {
      socket.on("error", () => undefined);
    }
    sockets.push(client, upstream);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const reset = (): void => {
    for (const socket of sockets) socket.destroy();
  };
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}` as Address,
    stall: () => {
      for (const socket of sockets) socket.unpipe().pause();
    },
    reset,
    dispose: () => {
      server.close();
      reset();
    },
  };
}

/** Passes bytes on at a limited rate. */
class Throttle extends Transform {
  readonly #bytesPerS: number;
  #freeMs = 0;

  constructor(bytesPerS: number) {
    super({ highWaterMark: BUFFER_BYTES });
    this.#bytesPerS = bytesPerS;
  }

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: TransformCallback,
  ): void {
    const nowMs = performance.now();
    const durationMs = chunk.byteLength / this.#bytesPerS * MS_PER_SECOND;
    this.#freeMs = Math.max(this.#freeMs, nowMs) + durationMs;
    setTimeout(() => done(null, chunk), this.#freeMs - nowMs);
  }
}
