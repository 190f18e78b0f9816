/**
 * Finds out whether an endpoint's process has outlived an answer whose end is
 * marked only by the closing of its connection. A process that ends closes its
 * connections in the same way, so only an answer to a question that was asked
 * after the end shows that the process itself has ended the response.
 */

import {
  onUnexpectedError,
  toErrorMessage,
} from "../../../../base/common/errors.ts";
import { type Clock, sleep } from "../../../../base/common/clock.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import {
  ageMs,
  type Timestamp,
  timestampNow,
} from "../../../../base/common/timestamp.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { Liveness } from "../protocol/engine_control.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";

/** Time without any answer after which an end is given up as unverified. */
const MAX_SILENCE_MS = 1_500;
/** Questions that have to stay unanswered, also after a pause of this host. */
const MIN_UNANSWERED = 3;
/** Time between two questions to a process that has not answered. */
const RETRY_PERIOD_MS = 50;
/**
 * A process that is about to stop may end its responses shortly before it ends
 * itself; it is asked once more after this time.
 */
const SETTLE_MS = 50;
/** Announced time to the stop from which the process is not about to stop. */
const MIN_STOP_MS = 500;
/** Start time of a process whose entry states none. */
const NO_START_TIME = 0;
/**
 * Time after the end of a process from which another one may listen at its
 * address. A later answer shows that the process lives only if it names it.
 */
const ADDRESS_REUSE_MS = 2_000;
/** Age of an end from which the endpoint itself is asked for. */
const MIN_IDENTITY_AGE_MS = 1_000;
/** Longest wait for the right to ask an endpoint with a limit. */
const MAX_RIGHT_WAIT_MS = 500;

/**
 * What a question is to show: whether any process answers at the address of an
 * endpoint, or whether the endpoint itself does.
 */
export type QuestionKind = "liveness" | "identity";

/** Asks the process at the address of an endpoint. */
export type LivenessQuestion = (
  endpoint: RegisteredEndpoint,
  kind: QuestionKind,
) => Promise<Liveness>;

/** What became of the process that wrote an answer. */
export type Survival =
  /** It has answered since the end of its response. */
  | "outlived"
  /** Nothing listens at its address any more. */
  | "refused"
  /** Another process answers at its address. */
  | "replaced"
  /** It has not answered in time. */
  | "silent"
  /** The response is not needed any more. */
  | "cancelled";

/** What one question has shown. */
type Reply =
  | Liveness
  /** The question must not be asked now. */
  | { readonly kind: "not-asked" };

/** A response whose end is checked. */
export interface EndedResponse {
  /** The process that wrote it. */
  readonly endpoint: RegisteredEndpoint;
  /** Earliest time at which it may have ended; now if absent. */
  readonly endedSince?: Timestamp;
  /** Asks on the path on which it came, if that was not the direct one. */
  readonly askOnPath?: LivenessQuestion | undefined;
  /** @returns Whether the response is not needed any more. */
  isCancelled(): boolean;
}

/** Dependencies of {@link EndpointSurvival}. */
export interface EndpointSurvivalServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Asks on the path on which this host sends requests itself. */
  readonly askDirectly: LivenessQuestion;
  /** Asks through any peer. */
  readonly askThroughPeers: LivenessQuestion;
  /** @returns Whether the endpoint's host refuses connections. */
  isRefused(endpoint: RegisteredEndpoint): boolean;
  /** Questions count against the limits of endpoints. */
  readonly limits: () => Pick<EndpointLimits, "isLimited" | "take">;
}

/** Questions of one kind to one process. */
interface QuestionState {
  /** Question in progress; its answer is not one to a later end. */
  current: Promise<Reply> | undefined;
  /** Question for the ends that came meanwhile. */
  next: Promise<Reply> | undefined;
}

/** What is known of one process. */
interface ProcessState {
  readonly questions: Readonly<Record<QuestionKind, QuestionState>>;
  /** Latest start of a request that the process has answered. */
  answeredSentMs: number;
  /** End of the hold during which it was asked. */
  askedHoldUntilMs: number;
}

/** Asks endpoints whether they have outlived their answers. */
export class EndpointSurvival {
  readonly #services: EndpointSurvivalServices;
  readonly #states = new WeakMap<RegisteredEndpoint, ProcessState>();

  /** @param services - Dependencies of the check. */
  constructor(services: EndpointSurvivalServices) {
    this.#services = services;
  }

  /**
   * Records that a process has answered a request, whatever the answer.
   *
   * @param sentMs - Monotonic time in milliseconds at which the request was
   * sent.
   */
  recordAnswer(endpoint: RegisteredEndpoint, sentMs: number): void {
    const state = this.#stateOf(endpoint);
    state.answeredSentMs = Math.max(state.answeredSentMs, sentMs);
  }

  /**
   * Checks the process of an endpoint after the end of its response.
   *
   * @returns What became of the process.
   */
  async check(response: EndedResponse): Promise<Survival> {
    const { clock, logger, metrics } = this.#services;
    const endedMs = clock.monotonicMs();
    const survival = await this.#await(response, endedMs);
    metrics.count("response_ends_checked", survival);
    if (survival !== "outlived" && survival !== "cancelled") {
      logger.log("warn", "response-end-unverified", {
        endpoint: response.endpoint.id,
        survival,
        tookMs: Math.round(clock.monotonicMs() - endedMs),
      });
    }
    return survival;
  }

  async #await(response: EndedResponse, endedMs: number): Promise<Survival> {
    const { endpoint, endedSince } = response;
    const { clock } = this.#services;
    const endedAt = endedSince ?? timestampNow(clock);
    let unansweredCount = 0;
    let canIdentify = true;
    while (!response.isCancelled()) {
      // By the time of the answer, another process may have the address.
      const isOld = ageMs(clock, endedAt) >= MIN_IDENTITY_AGE_MS;
      const kind: QuestionKind = isOld && canIdentify ? "identity" : "liveness";
      const reply = await this.#ask(response, kind);
      const elapsedMs = clock.monotonicMs() - endedMs;
      if (this.#stateOf(endpoint).answeredSentMs > endedMs) return "outlived";
      switch (reply.kind) {
        case "answered":
          if (isOtherProcess(endpoint, reply)) return "replaced";
          if (
            ageMs(clock, endedAt) >= ADDRESS_REUSE_MS &&
            !isKnownProcess(endpoint, reply)
          ) {
            if (elapsedMs >= MAX_SILENCE_MS) return "silent";
            canIdentify = kind === "liveness";
            break;
          }
          if (!isAboutToStop(endpoint, reply) || elapsedMs >= SETTLE_MS) {
            return "outlived";
          }
          break;
        case "no-answer": {
          unansweredCount++;
          const verdict = await this.#judgeSilence(response);
          if (verdict) return verdict;
          const isOver = elapsedMs >= MAX_SILENCE_MS;
          if (isOver && unansweredCount >= MIN_UNANSWERED) return "silent";
          break;
        }
        case "not-asked":
      }
      await sleep(clock, RETRY_PERIOD_MS);
    }
    return "cancelled";
  }

  /**
   * Asks peers about a process that has not answered this host, which may be
   * cut from it while its connections live on.
   */
  async #judgeSilence(
    { askOnPath, endpoint }: EndedResponse,
  ): Promise<Survival | undefined> {
    if (askOnPath) return undefined;
    const { askThroughPeers, isRefused } = this.#services;
    // The state of the path may change while peers are asked.
    const wasRefused = isRefused(endpoint);
    const hasStartTime = endpoint.announcement.bornMs !== NO_START_TIME;
    const reply = await askThroughPeers(
      endpoint,
      hasStartTime ? "liveness" : "identity",
    );
    // On another path, only an answer that names its process shows anything.
    if (reply.kind === "answered") {
      if (isOtherProcess(endpoint, reply)) return "replaced";
      if (isKnownProcess(endpoint, reply)) return "outlived";
    }
    return wasRefused ? "refused" : undefined;
  }

  /** @returns The reply to a question that is asked from now on. */
  #ask(
    { askOnPath, endpoint }: EndedResponse,
    kind: QuestionKind,
  ): Promise<Reply> {
    if (askOnPath) return askOnPath(endpoint, kind);
    const state = this.#stateOf(endpoint).questions[kind];
    if (!state.current) return this.#start(endpoint, kind);
    state.next ??= state.current.then(() => this.#start(endpoint, kind));
    return state.next;
  }

  #start(endpoint: RegisteredEndpoint, kind: QuestionKind): Promise<Reply> {
    const state = this.#stateOf(endpoint).questions[kind];
    const question = this.#askDirectly(endpoint, kind).catch(
      (thrown: unknown): Reply => {
        onUnexpectedError(thrown);
        return { kind: "no-answer", detail: toErrorMessage(thrown) };
      },
    );
    state.current = question;
    state.next = undefined;
    void question.then(() => {
      if (state.current === question && !state.next) state.current = undefined;
    });
    return question;
  }

  async #askDirectly(
    endpoint: RegisteredEndpoint,
    kind: QuestionKind,
  ): Promise<Reply> {
    const state = this.#stateOf(endpoint);
    const { askDirectly, askThroughPeers, clock, limits } = this.#services;
    if (limits().isLimited(endpoint)) {
      const offer = await limits().take(endpoint, MAX_RIGHT_WAIT_MS);
      if (offer.kind === "denied") return { kind: "not-asked" };
    }
    if (!endpoint.isHeld(clock.monotonicMs())) {
      return askDirectly(endpoint, kind);
    }
    // A few requests may still reach an endpoint that wants none.
    if (state.askedHoldUntilMs < endpoint.heldUntilMs) {
      state.askedHoldUntilMs = endpoint.heldUntilMs;
      return askDirectly(endpoint, kind);
    }
    const reply = await askThroughPeers(endpoint, kind);
    return reply.kind === "answered" ? reply : { kind: "not-asked" };
  }

  #stateOf(endpoint: RegisteredEndpoint): ProcessState {
    let state = this.#states.get(endpoint);
    if (!state) {
      state = {
        questions: {
          liveness: { current: undefined, next: undefined },
          identity: { current: undefined, next: undefined },
        },
        answeredSentMs: -Infinity,
        askedHoldUntilMs: -Infinity,
      };
      this.#states.set(endpoint, state);
    }
    return state;
  }
}

/** @returns Whether a reply names another process than the endpoint's. */
function isOtherProcess(
  { announcement }: RegisteredEndpoint,
  { bornMs, isExpected }: Extract<Liveness, { kind: "answered" }>,
): boolean {
  if (isExpected === false) return true;
  const knownMs = announcement.bornMs;
  return bornMs !== undefined && knownMs !== NO_START_TIME &&
    bornMs !== knownMs;
}

/** @returns Whether a reply names the process of the endpoint. */
function isKnownProcess(
  { announcement }: RegisteredEndpoint,
  { bornMs, isExpected }: Extract<Liveness, { kind: "answered" }>,
): boolean {
  if (isExpected) return true;
  return bornMs === announcement.bornMs && bornMs !== NO_START_TIME;
}

function isAboutToStop(
  { wasLeaving }: RegisteredEndpoint,
  liveness: Extract<Liveness, { kind: "answered" }>,
): boolean {
  const { isDraining = false, shutdownInMs } = liveness;
  if (!wasLeaving && !isDraining) return false;
  return shutdownInMs === undefined || shutdownInMs < MIN_STOP_MS;
}
