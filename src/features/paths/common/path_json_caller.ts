/**
 * Sends control requests to endpoints, through a peer where this host does not
 * reach them itself.
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { AsyncEither, Either } from "../../../base/common/result.ts";
import type {
  JsonCaller,
  JsonRequest,
  JsonResponse,
} from "../../../services/http/common/json_caller.ts";
import type { DirectPaths } from "./direct_paths.ts";
import type { PathClient } from "./path_client.ts";
import {
  RelayedJsonCaller,
  type RelayInstructor,
} from "./relayed_json_caller.ts";
import type { RelayChooser } from "./relay_chooser.ts";

/**
 * Time after which a read without an answer is sent through a peer as well; an
 * endpoint answers control requests within a few milliseconds.
 */
const HEDGE_DELAY_MS = 120;

/** Dependencies of {@link PathJsonCaller}. */
export interface PathJsonCallerServices {
  readonly clock: Clock;
  /** Client for requests that this host sends itself. */
  readonly directCaller: JsonCaller;
  readonly pathClient: Pick<PathClient, "sendThroughPeer">;
  readonly chooser: Pick<RelayChooser, "canReach">;
  readonly direct: DirectPaths;
  /** @returns The addresses of all endpoints of the service at an address. */
  groupOf(address: Address): readonly Address[];
  /** @returns What peers have to know, or `undefined` without an endpoint. */
  readonly relayInstructions: RelayInstructor;
  /** Checks a path on which a control request got no answer. */
  checkSilent(address: Address): void;
}

/** JSON client that chooses between the direct path and peers. */
export class PathJsonCaller implements JsonCaller {
  /** Sends requests through any peer, whatever the state of the direct path. */
  readonly throughPeer: JsonCaller;
  readonly #services: PathJsonCallerServices;

  /** @param services - Dependencies of the client. */
  constructor(services: PathJsonCallerServices) {
    this.#services = services;
    const { clock, pathClient, relayInstructions } = services;
    this.throughPeer = new RelayedJsonCaller(
      clock,
      relayInstructions,
      (request, listener) => pathClient.sendThroughPeer(request, listener),
    );
  }

  /** {@inheritDoc JsonCaller.call} */
  async call(
    address: Address,
    request: JsonRequest,
  ): AsyncEither<string, JsonResponse> {
    const { chooser, direct, groupOf } = this.#services;
    if (!chooser.canReach(address)) return this.#callDirectly(address, request);
    if (direct.doubtedSinceMs(address, groupOf(address)) !== undefined) {
      return this.#callByPeer(address, request, request.timeoutMs);
    }
    // Only reads may be sent twice.
    return request.method === "GET"
      ? this.#callHedged(address, request)
      : this.#callDirectly(address, request);
  }

  async #callDirectly(
    address: Address,
    request: JsonRequest,
  ): AsyncEither<string, JsonResponse> {
    const { checkSilent, direct, directCaller } = this.#services;
    const answer = await directCaller.call(address, request);
    answer.caseOf({
      Left: () => checkSilent(address),
      Right: () => direct.onReceived(address),
    });
    return answer;
  }

  /** @returns The first answer, or why the direct path gave none. */
  #callHedged(
    address: Address,
    request: JsonRequest,
  ): AsyncEither<string, JsonResponse> {
    const { clock } = this.#services;
    const deadlineMs = clock.monotonicMs() + request.timeoutMs;
    return new Promise((resolve, reject) => {
      let ownFailure: Either<string, JsonResponse> | undefined;
      let isHedged = false;
      let isAnswered = false;
      const hedge = (): void => {
        if (isHedged || isAnswered) return;
        isHedged = true;
        timer.dispose();
        const remainingMs = deadlineMs - clock.monotonicMs();
        void this.#callByPeer(address, request, remainingMs).then((answer) => {
          if (answer.isRight()) resolve(answer);
          else if (ownFailure) resolve(ownFailure);
          else hedgeFailed = true;
        }, reject);
      };
      let hedgeFailed = false;
      const timer = clock.setTimer(HEDGE_DELAY_MS, hedge);
      void this.#callDirectly(address, request).then((answer) => {
        isAnswered = answer.isRight();
        if (isAnswered || hedgeFailed) resolve(answer);
        else {
          ownFailure = answer;
          hedge();
        }
      }).catch(reject);
    });
  }

  #callByPeer(
    address: Address,
    request: JsonRequest,
    timeoutMs: number,
  ): AsyncEither<string, JsonResponse> {
    return this.throughPeer.call(address, { ...request, timeoutMs });
  }
}
