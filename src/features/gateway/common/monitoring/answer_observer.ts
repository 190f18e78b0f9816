/** Applies what the head of an endpoint's answer says of the endpoint. */

import type { EndpointHolds } from "../endpoints/endpoint_holds.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { EndpointSurvival } from "./endpoint_survival.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type {
  ReportedLoad,
  ResponseFields,
} from "../protocol/gateway_codec.ts";
import type { LeavingMarks } from "../endpoints/leaving_marks.ts";

const HTTP_MISDIRECTED = 421;

/** Receives the loads that endpoints report. */
export interface LoadObserver {
  /**
   * Records a load.
   *
   * @param endpoint - The endpoint that reported it.
   * @param load - Its load at the time of the answer.
   */
  recordLoad(endpoint: RegisteredEndpoint, load: ReportedLoad): void;
}

/** Dependencies of {@link AnswerObserver}. */
export interface AnswerObserverServices {
  readonly holds: Pick<EndpointHolds, "hold">;
  readonly leavingMarks: Pick<LeavingMarks, "mark">;
  readonly limits: Pick<EndpointLimits, "observe" | "observeBrittleness">;
  readonly paths: Pick<EndpointSurvival, "recordAnswer">;
  readonly loads: LoadObserver;
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly fields: ResponseFields;
  /**
   * Whether it names the request that was sent last. Another answer may have
   * been sent long before, for whatever reason it arrives now.
   */
  readonly isOwn: boolean;
  /** Monotonic time at which the request was sent, in milliseconds. */
  readonly sentMs: number;
}

/** Observes the answers of endpoints. */
export class AnswerObserver {
  readonly #services: AnswerObserverServices;

  /** @param services - What answers change. */
  constructor(services: AnswerObserverServices) {
    this.#services = services;
  }

  /**
   * Applies the head of an answer.
   *
   * @param endpoint - The endpoint that was asked.
   * @param head - What it answered.
   * @returns Whether the endpoint itself has answered the request. Another
   * process at its address answers that it is not the one named.
   */
  observe(
    endpoint: RegisteredEndpoint,
    { status, fields, isOwn, sentMs }: AnswerHead,
  ): boolean {
    const { holds, leavingMarks, limits, loads, paths } = this.#services;
    const { brittleness, isLeaving, limit, load, retryAfterMs } = fields;
    if (isOwn && retryAfterMs !== undefined) holds.hold(endpoint, retryAfterMs);
    if (status === HTTP_MISDIRECTED) return false;
    if (isLeaving) leavingMarks.mark(endpoint, "answer");
    if (!isOwn) return false;
    paths.recordAnswer(endpoint, sentMs);
    if (load) loads.recordLoad(endpoint, load);
    limits.observe(endpoint, limit, sentMs);
    limits.observeBrittleness(endpoint, brittleness, sentMs);
    return true;
  }
}
