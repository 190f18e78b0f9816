/** The open connections that carry one generation. */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import type {
  EngineFrame,
  EngineStream,
  EngineStreamListener,
  StreamClose,
} from "../../../services/endpoints/common/engine_client.ts";

/** How a connection is opened. */
export type EngineStreamFactory = (
  listener: EngineStreamListener,
) => EngineStream;

/** One connection. */
export interface Connection {
  /** Number of the connection within its generation, from 1. */
  readonly ordinal: number;
  readonly openedMs: number;
  /** Whether the engine took the request or found the generation. */
  isAccepted: boolean;
}

/** Receiver of all connections of a set. */
export interface ConnectionListener {
  onAccepted(connection: Connection): void;
  onFrames(connection: Connection, frames: readonly EngineFrame[]): void;
  /** The connection is no longer in the set. */
  onClosed(connection: Connection, close: StreamClose): void;
}

const MAX_OPEN = 2;

interface OpenConnection extends Connection {
  stream: EngineStream | undefined;
}

/** At most two connections; the older one is dropped for a third. */
export class ConnectionSet implements Disposable {
  readonly #listener: ConnectionListener;
  #open: OpenConnection[] = [];
  #openedCount = 0;
  #isPaused = false;

  /** @param listener - Receiver. */
  constructor(listener: ConnectionListener) {
    this.#listener = listener;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#open.length;
  }

  /** @returns Whether a connection is open that was opened later. */
  hasNewerThan({ ordinal: number }: Connection): boolean {
    return this.#open.some((other) => other.ordinal > number);
  }

  /**
   * Opens one more connection.
   *
   * @param opening - Opens it.
   * @param nowMs - Time on the monotonic clock.
   */
  open(opening: EngineStreamFactory, nowMs: number): void {
    if (this.#open.length >= MAX_OPEN) this.#open.shift()?.stream?.dispose();
    const connection: OpenConnection = {
      ordinal: ++this.#openedCount,
      openedMs: nowMs,
      isAccepted: false,
      stream: undefined,
    };
    this.#open.push(connection);
    const stream = opening({
      onAccepted: () => this.#onAccepted(connection),
      onFrames: (frames) => {
        if (this.#has(connection)) this.#listener.onFrames(connection, frames);
      },
      onClosed: (close) => this.#onClosed(connection, close),
    });
    connection.stream = stream;
    if (!this.#has(connection)) stream.dispose();
    else if (this.#isPaused) stream.pause();
  }

  /** Drops all connections but one. */
  closeAllExcept(kept: Connection): void {
    if (this.#open.length < 2) return;
    const dropped = this.#open.filter((connection) => connection !== kept);
    this.#open = this.#open.filter((connection) => connection === kept);
    for (const { stream } of dropped) stream?.dispose();
  }

  /** Stops reading from all connections. */
  pause(): void {
    this.#isPaused = true;
    for (const { stream } of this.#open) stream?.pause();
  }

  /** Reads on. */
  resume(): void {
    this.#isPaused = false;
    for (const { stream } of [...this.#open]) stream?.resume();
  }

  /** Drops all connections; nothing follows. */
  dispose(): void {
    const dropped = this.#open;
    this.#open = [];
    for (const { stream } of dropped) stream?.dispose();
  }

  #has(connection: OpenConnection): boolean {
    return this.#open.includes(connection);
  }

  #onAccepted(connection: OpenConnection): void {
    if (!this.#has(connection)) return;
    connection.isAccepted = true;
    this.#listener.onAccepted(connection);
  }

  #onClosed(connection: OpenConnection, close: StreamClose): void {
    if (!this.#has(connection)) return;
    this.#open = this.#open.filter((other) => other !== connection);
    this.#listener.onClosed(connection, close);
  }
}
