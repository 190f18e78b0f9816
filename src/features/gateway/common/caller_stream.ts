/** The one stream that the caller of a generation sees, over all runs behind it. */

import {
  type HeaderList,
  isCloseDelimited,
} from "../../../services/http/common/header_list.ts";
import {
  DeliveredEventTracker,
  type EventOrder,
} from "./delivered_event_tracker.ts";
import type { RequestContext } from "./request_context.ts";

/** Writes events to the caller, each once and in order. */
export class CallerStream {
  readonly #context: RequestContext;
  readonly #events: DeliveredEventTracker;
  /** Head of the first run's answer, until the first event sends it. */
  #head: HeaderList | undefined;
  #hasStarted = false;
  #isEndedByClose = false;

  /** @param context - The request. */
  constructor(context: RequestContext) {
    this.#context = context;
    this.#events = new DeliveredEventTracker(
      context.request.fields.resumeAfterEventId,
    );
  }

  /** Whether the caller has the head. */
  get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /** Whether only the end of the caller's connection ends the stream. */
  get isEndedByClose(): boolean {
    return this.#isEndedByClose;
  }

  /** Id of the caller's last event, from which another run goes on. */
  get lastEventId(): string | undefined {
    return this.#events.lastId;
  }

  /** Keeps the head of the first run; until an event comes another run may begin. */
  recordHead(headers: HeaderList): void {
    this.#head ??= headers;
  }

  /**
   * @param id - Id of a run's next event.
   * @param isFirstOfRun - Whether it is the first event of that run.
   * @returns What the event is; only a next one may be written.
   */
  classifyEvent(id: string | undefined, isFirstOfRun: boolean): EventOrder {
    return this.#events.classify(id, isFirstOfRun);
  }

  /** Sends the head. */
  start(): void {
    const { services, request } = this.#context;
    const received = this.#head ?? [];
    const { exchange } = request;
    this.#hasStarted = true;
    this.#isEndedByClose = isCloseDelimited(exchange.method, 200, received);
    const head = services.codec.callerResponseHeaders(received);
    exchange.sendHead(200, head, this.#isEndedByClose);
  }

  /**
   * @param bytes - A whole event.
   * @param gapMs - Time since the event before.
   * @returns Whether the caller takes more now.
   */
  write(bytes: Uint8Array, gapMs: number): boolean {
    if (this.#hasStarted) {
      this.#context.services.metrics.eventGapMs.record(gapMs);
    } else {
      this.#context.recordFirstByte();
      this.start();
    }
    return this.#context.request.exchange.write(bytes);
  }

  /** Ends the stream as complete. */
  end(): void {
    if (!this.#hasStarted) this.start();
    this.#context.request.exchange.end();
  }
}
