/**
 * Finds out whether an endpoint's process has outlived an answer whose end is
 * marked only by the closing of its connection. A process that ends closes its
 * connections in the same way, so only an answer to a question that was asked
 * after the end shows that the process itself has ended the response.
 */

import { type Clock, sleep } from "../../../base/common/clock.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { Liveness } from "./engine_control.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** Time without any answer after which an end is given up as unverified. */
const MAX_SILENCE_MS = 1_500;
/** Time between two questions to a process that has not answered. */
const RETRY_PERIOD_MS = 50;
/**
 * A process that is about to stop may end its responses shortly before it ends
 * itself; it is asked once more after this time.
 */
const SETTLE_MS = 50;
/** Announced time to the stop from which the process is not about to stop. */
const MIN_STOP_MS = 500;
/** Longest wait for the right to ask an endpoint with a limit. */
const MAX_RIGHT_WAIT_MS = 500;

/** Asks whether the process at the address of an endpoint answers. */
export type LivenessQuestion = (
  endpoint: RegisteredEndpoint,
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
  | "silent";

/** Dependencies of {@link EndpointSurvival}. */
export interface EndpointSurvivalServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Asks on the path on which this host sends requests itself. */
  readonly askDirectly: LivenessQuestion;
  /** Asks through any peer, for an endpoint that wants nothing from this host. */
  readonly askThroughPeers: LivenessQuestion;
  /** @returns Whether the endpoint's host refuses connections. */
  isRefused(endpoint: RegisteredEndpoint): boolean;
  /** Questions count against the limits of endpoints. */
  readonly limits: () => Pick<EndpointLimits, "isLimited" | "take">;
}

/** Questions to one endpoint; each is shared by those who wait for it. */
interface Questions {
  current: Promise<Liveness>;
  next: Promise<Liveness> | undefined;
}

/** Asks endpoints whether they have outlived their answers. */
export class EndpointSurvival {
  readonly #services: EndpointSurvivalServices;
  readonly #questions = new WeakMap<RegisteredEndpoint, Questions>();

  /** @param services - Dependencies of the check. */
  constructor(services: EndpointSurvivalServices) {
    this.#services = services;
  }

  /**
   * Checks the process of an endpoint after the end of its response.
   *
   * @param endpoint - The process that wrote the response.
   * @param askOnPath - Asks on the path on which the response came, if that was
   * not the direct one.
   * @returns What became of the process.
   */
  async check(
    endpoint: RegisteredEndpoint,
    askOnPath?: LivenessQuestion,
  ): Promise<Survival> {
    const { clock, logger, metrics } = this.#services;
    const endedMs = clock.monotonicMs();
    const ask = askOnPath ?? ((asked) => this.#askShared(asked));
    const survival = await this.#await(endpoint, endedMs, ask);
    metrics.count("response_ends_checked", survival);
    if (survival !== "outlived") {
      logger.log("warn", "response-end-unverified", {
        endpoint: endpoint.id,
        survival,
        tookMs: Math.round(clock.monotonicMs() - endedMs),
      });
    }
    return survival;
  }

  async #await(
    endpoint: RegisteredEndpoint,
    endedMs: number,
    ask: LivenessQuestion,
  ): Promise<Survival> {
    const { clock, isRefused } = this.#services;
    for (;;) {
      const liveness = await ask(endpoint);
      const elapsedMs = clock.monotonicMs() - endedMs;
      switch (liveness.kind) {
        case "answered":
          if (isOtherProcess(endpoint, liveness.bornMs)) return "replaced";
          if (!isAboutToStop(endpoint, liveness) || elapsedMs >= SETTLE_MS) {
            return "outlived";
          }
          break;
        case "no-answer":
          if (isRefused(endpoint)) return "refused";
      }
      if (elapsedMs >= MAX_SILENCE_MS) return "silent";
      await sleep(clock, RETRY_PERIOD_MS);
    }
  }

  /** @returns The answer to a question that is asked from now on. */
  #askShared(endpoint: RegisteredEndpoint): Promise<Liveness> {
    const questions = this.#questions.get(endpoint);
    if (questions) {
      questions.next ??= questions.current.then(() => this.#start(endpoint));
      return questions.next;
    }
    return this.#start(endpoint);
  }

  #start(endpoint: RegisteredEndpoint): Promise<Liveness> {
    const questions: Questions = {
      current: this.#ask(endpoint),
      next: undefined,
    };
    this.#questions.set(endpoint, questions);
    void questions.current.then(() => {
      if (!questions.next) this.#questions.delete(endpoint);
    });
    return questions.current;
  }

  async #ask(endpoint: RegisteredEndpoint): Promise<Liveness> {
    const { askDirectly, askThroughPeers, clock, limits } = this.#services;
    if (limits().isLimited(endpoint)) {
      const offer = await limits().take(endpoint, MAX_RIGHT_WAIT_MS);
      if (offer.kind === "denied") {
        return { kind: "no-answer", detail: "its limit is used up" };
      }
    }
    const isHeld = endpoint.isHeld(clock.monotonicMs());
    return (isHeld ? askThroughPeers : askDirectly)(endpoint);
  }
}

function isOtherProcess(
  { announcement }: RegisteredEndpoint,
  bornMs: number | undefined,
): boolean {
  const knownMs = announcement.bornMs;
  // An entry without a start time has 0.
  return bornMs !== undefined && knownMs !== 0 && bornMs !== knownMs;
}

function isAboutToStop(
  { wasLeaving }: RegisteredEndpoint,
  liveness: Extract<Liveness, { kind: "answered" }>,
): boolean {
  const { isDraining = false, shutdownInMs } = liveness;
  if (!wasLeaving && !isDraining) return false;
  return shutdownInMs === undefined || shutdownInMs < MIN_STOP_MS;
}
