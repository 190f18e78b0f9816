/**
 * The response stream of a generation as the caller sees it, independent of how
 * many runs produce its events.
 */

import {
  type HeaderList,
  withoutHeader,
} from "../../../../services/http/common/header_list.ts";
import {
  DeliveredEventTracker,
  type EventOrder,
} from "./delivered_event_tracker.ts";
import type { EventFrame } from "./event_frame_splitter.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/** Writes events to the caller, each exactly once and in order. */
export class CallerStream {
  readonly #context: RequestContext;
  readonly #events: DeliveredEventTracker;
  /** Response head of the first run; it is sent with the first event. */
  #head: HeaderList | undefined;
  #hasStarted = false;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
    this.#events = new DeliveredEventTracker(
      context.request.fields.resumeAfterEventId,
    );
  }

  /** Whether the response head was sent to the caller. */
  get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /**
   * Id of the last event sent to the caller, after which another run continues.
   */
  get lastEventId(): string | undefined {
    return this.#events.lastId;
  }

  /** Whether another run can continue after the last event that was sent. */
  get canContinue(): boolean {
    return this.#events.canContinue;
  }

  /**
   * Keeps the response head of the first run. It is not sent before the first
   * event, so that another run can still start.
   */
  recordHead(headers: HeaderList): void {
    this.#head ??= headers;
  }

  /**
   * Classifies an event relative to those already sent.
   *
   * @param event - The next event of a run.
   * @param isFirstOfRun - Whether no event of that run with a number was
   * written.
   * @returns The position of the event; only `next` may be written.
   */
  classifyEvent(event: EventFrame, isFirstOfRun: boolean): EventOrder {
    return this.#events.classify(event, isFirstOfRun);
  }

  /** Sends the response head. */
  start(): void {
    const { services, request } = this.#context;
    const received = this.#head ?? [];
    const { exchange } = request;
    this.#hasStarted = true;
    const head = services.codec.callerResponseHeaders(received);
    // Other runs may bring further events.
    exchange.sendHead(200, withoutHeader(head, "content-length"));
  }

  /**
   * Writes an event, preceded by the response head if it was not sent yet.
   *
   * @param bytes - A complete event.
   * @param gapMs - Time since the previous event, in milliseconds.
   * @param run - The run that the event belongs to.
   * @returns Whether the caller can accept more data now.
   */
  write(bytes: Uint8Array, gapMs: number, run: UpstreamAttempt): boolean {
    if (this.#hasStarted) {
      this.#context.services.metrics.eventGapMs.record(gapMs);
      if (gapMs > this.#context.longestGapMs) this.#recordGap(gapMs, run);
    } else {
      this.#context.recordFirstByte();
      this.start();
    }
    return this.#context.request.exchange.write(bytes);
  }

  #recordGap(
    gapMs: number,
    { endpoint: { id }, hasOneEvent }: UpstreamAttempt,
  ): void {
    const { loadTable } = this.#context.services;
    const { memoryTokens, pendingPrefillTokens, runs } = loadTable.totalUsage(
      id,
    );
    this.#context.longestGap = {
      gapMs,
      endpoint: id,
      isHandover: hasOneEvent,
      pendingPrefillTokens,
      runs,
      memoryTokens,
    };
  }

  /**
   * @param run - A run that has ended without an error.
   * @param isStopped - Whether it may have ended because it was to be stopped.
   * @returns Why the stream is not complete, or `undefined` if it is.
   */
  incompleteReason(
    { eventSplitter, isBehind, isEndedByClose }: UpstreamAttempt,
    isStopped: boolean,
  ): string | undefined {
    if (eventSplitter.pendingBytes > 0) {
      return "the stream ended within an event";
    }
    if (isEndedByClose && isStopped) {
      return "the end of the stream is not verifiable";
    }
    return isBehind ? "the run ended before the last event sent" : undefined;
  }

  /** Ends the stream as complete. */
  end(): void {
    if (!this.#hasStarted) this.start();
    this.#context.request.exchange.end();
  }
}
