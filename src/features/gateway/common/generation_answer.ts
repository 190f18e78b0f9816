/** The one stream that the caller of a generation sees, over all runs behind it. */

import {
  type HeaderList,
  isCloseDelimited,
} from "../../../services/http/common/header_list.ts";
import { DeliveredEvents, type EventVerdict } from "./delivered_events.ts";
import type { RequestContext } from "./gateway_request.ts";

/** Writes events to the caller, each once and in order. */
export class GenerationAnswer {
  readonly #context: RequestContext;
  readonly #events: DeliveredEvents;
  /** Head of the first run's answer, until the first event sends it. */
  #head: HeaderList | undefined;
  #hasStarted = false;
  #isEndedByClose = false;

  /** @param context - The request. */
  constructor(context: RequestContext) {
    this.#context = context;
    this.#events = new DeliveredEvents(context.request.fields.resumeAfter);
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
  offerHead(headers: HeaderList): void {
    this.#head ??= headers;
  }

  /**
   * @param id - Id of a run's next event.
   * @param isFirstOfRun - Whether it is the first event of that run.
   * @returns What the event is; only a next one may be written.
   */
  check(id: string | undefined, isFirstOfRun: boolean): EventVerdict {
    return this.#events.check(id, isFirstOfRun);
  }

  /** Sends the head. */
  start(): void {
    const { services, request } = this.#context;
    const received = this.#head ?? [];
    const { exchange } = request;
    this.#hasStarted = true;
    this.#isEndedByClose = isCloseDelimited(exchange.method, 200, received);
    const head = services.codec.replyHeaders(received);
    exchange.sendHead(200, head, this.#isEndedByClose);
  }

  /**
   * @param bytes - A whole event.
   * @param pauseMs - Time since the event before.
   * @returns Whether the caller takes more now.
   */
  write(bytes: Uint8Array, pauseMs: number): boolean {
    if (this.#hasStarted) {
      this.#context.services.metrics.eventPauseMs.record(pauseMs);
    } else {
      this.#context.markFirstByte();
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
