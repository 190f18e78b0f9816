/**
 * Output for log lines that may be taken away: a pipe without a reader, a full
 * device, a terminal that was closed.
 */

import type { Writable } from "node:stream";
import type { WriteStream } from "node:tty";
import type { Clock } from "../../../base/common/clock.ts";

/** Lines are dropped while the stream buffers more than this. */
const MAX_BUFFERED_BYTES = 262_144;
/** Time after a failed write in which nothing is written. */
const RETRY_INTERVAL_MS = 1_000;

/** Why a line was not written. */
export type LineLoss = "limit" | "unread" | "failed";

/** What a terminal's stream has beside its types. */
interface TerminalStream {
  readonly _handle: { setBlocking?(isBlocking: boolean): unknown } | null;
}

/** Writes lines to a stream and survives every error of it. */
export class LineOutput {
  readonly #clock: Clock;
  readonly #stream: Writable;
  #retryMs = -Infinity;

  /**
   * @param clock - Clock of the time until a failed output is tried again.
   * @param stream - Stream to write to. Its errors are handled here.
   */
  constructor(clock: Clock, stream: Writable) {
    this.#clock = clock;
    this.#stream = stream;
    // Node.js writes to a terminal until it has taken all, which may be never.
    const { _handle: handle } = stream as Partial<TerminalStream>;
    if ((stream as Partial<WriteStream>).isTTY) handle?.setBlocking?.(false);
    // Each failed write is reported to its callback as well.
    stream.on("error", () => this.#onFailed());
  }

  /** Whether a line may be written now: no write has failed lately. */
  get isUsable(): boolean {
    return this.#clock.monotonicMs() >= this.#retryMs;
  }

  /**
   * Writes a line. Never throws.
   *
   * @param line - The line with its line break.
   * @param onLost - Called at most once, at once or later, if the line is not
   * written.
   */
  write(line: string, onLost: (loss: LineLoss) => void): void {
    if (!this.isUsable) return onLost("failed");
    if (this.#stream.writableLength > MAX_BUFFERED_BYTES) {
      return onLost("unread");
    }
    let isLost = false;
    const fail = (): void => {
      if (isLost) return;
      isLost = true;
      this.#onFailed();
      onLost("failed");
    };
    try {
      this.#stream.write(line, (error) => error && fail());
    } catch {
      fail();
    }
  }

  #onFailed(): void {
    this.#retryMs = this.#clock.monotonicMs() + RETRY_INTERVAL_MS;
  }
}
