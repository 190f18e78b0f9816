/**
 * Manages the open engine connections of one generation. A stalled connection
 * stays open while a second one is attempted, so that the connection that
 * delivers the next token first can be kept.
 */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import type {
  EngineFrame,
  EngineStream,
  EngineStreamListener,
  StreamClose,
} from "../../../services/endpoints/common/engine_client.ts";

/** Opens an engine stream that reports its events to the given listener. */
export type EngineStreamFactory = (
  listener: EngineStreamListener,
) => EngineStream;

/** A connection to an engine that carries one generation. */
export interface Connection {
  /** Sequence number of the connection within its generation, from 1. */
  readonly ordinal: number;
  /** Monotonic time in milliseconds at which the connection was opened. */
  readonly openedMs: number;
  /** Whether the engine accepted the request or found the generation. */
  isAccepted: boolean;
}

/** Receives the events of all connections in a {@link ConnectionSet}. */
export interface ConnectionListener {
  onAccepted(connection: Connection): void;
  onFrames(connection: Connection, frames: readonly EngineFrame[]): void;
  /** Called after a closed connection has been removed from the set. */
  onClosed(connection: Connection, close: StreamClose): void;
}

const MAX_OPEN = 2;

interface OpenConnection extends Connection {
  stream: EngineStream | undefined;
}

/** Holds at most two open connections; opening a third closes the oldest. */
export class ConnectionSet implements Disposable {
  readonly #listener: ConnectionListener;
  #open: OpenConnection[] = [];
  #openedCount = 0;
  #isPaused = false;

  /** @param listener - Receives the events of all connections. */
  constructor(listener: ConnectionListener) {
    this.#listener = listener;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#open.length;
  }

  /** @returns Whether a connection opened after the given one is open. */
  hasNewerThan({ ordinal }: Connection): boolean {
    return this.#open.some((other) => other.ordinal > ordinal);
  }

  /**
   * Opens another connection, closing the oldest one if the set is full.
   *
   * @param openStream - Opens the engine stream of the connection.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  open(openStream: EngineStreamFactory, nowMs: number): void {
    if (this.#open.length >= MAX_OPEN) this.#open.shift()?.stream?.dispose();
    const connection: OpenConnection = {
      ordinal: ++this.#openedCount,
      openedMs: nowMs,
      isAccepted: false,
      stream: undefined,
    };
    this.#open.push(connection);
    const stream = openStream({
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

  /** Closes all connections except the given one. */
  closeAllExcept(kept: Connection): void {
    if (this.#open.length < 2) return;
    const dropped = this.#open.filter((connection) => connection !== kept);
    this.#open = this.#open.filter((connection) => connection === kept);
    for (const { stream } of dropped) stream?.dispose();
  }

  /** Pauses reading on all connections, including those opened later. */
  pause(): void {
    this.#isPaused = true;
    for (const { stream } of this.#open) stream?.pause();
  }

  /** Resumes reading on all connections. */
  resume(): void {
    this.#isPaused = false;
    for (const { stream } of [...this.#open]) stream?.resume();
  }

  /** Closes all connections; the listener receives no further events. */
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
