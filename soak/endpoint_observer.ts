/** Reports to the checks of a soak what its endpoints receive and answer. */

import type { IncomingHttpHeaders } from "node:http";
import type { ReplicaServer } from "../platform/standins/replica_server.ts";
import type { FaultProxy } from "../standins/network/fault_proxy.ts";
import {
  eventCountOf,
  oddAnswerOf,
  streamOf,
  unprovenAnswerOf,
  unsizedEffectOf,
} from "./answer_shapes.ts";
import type { CopiedAnswers } from "./copied_answers.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { type EndpointArrival, MAX_PART_CRASHES } from "./endpoint_rules.ts";
import type { InvariantChecker } from "./invariant_checker.ts";
import type { SoakService } from "./retry_rules.ts";

/** Part of prompts that crashes each endpoint that begins to answer it. */
export const CRASHING_PART = "7a1d";

/** A process of an endpoint that is observed. */
export interface ObservedEndpoint {
  readonly replica: ReplicaServer;
  readonly proxy: FaultProxy;
  /** Identifies the process. */
  readonly process: string;
  readonly service: SoakService;
  /** Software version that it announces. */
  readonly version: string;
  readonly zone: string;
}

/** Options of an {@link EndpointObserver}. */
export interface EndpointObserverOptions {
  /** Seed of the shapes of answers. */
  readonly seed: number;
  readonly hasUnprovenAnswers: boolean;
  /** Whether some answers have heads that no caller may get. */
  readonly hasOddAnswers: boolean;
  /** Lets endpoints send answers too many, if they do. */
  readonly copiedAnswers: CopiedAnswers | undefined;
  readonly invariants: InvariantChecker;
  readonly daemons: readonly DaemonProcess[];
  /**
   * @param daemon - A daemon.
   * @returns Wall-clock time at which it last could not read the store, in
   * milliseconds.
   */
  storeFailedMsOf(daemon: DaemonProcess): number;
  /** Called with the name of an endpoint that a request has crashed. */
  onCrash(name: string): void;
}

/** Decides the answers of endpoints and records their requests. */
export class EndpointObserver {
  readonly #options: EndpointObserverOptions;

  /** @param options - What is observed, and who is told. */
  constructor(options: EndpointObserverOptions) {
    this.#options = options;
  }

  /** Connects a process that has just started to the checks. */
  observe(endpoint: ObservedEndpoint): void {
    const { process, proxy, replica, service, version, zone } = endpoint;
    const {
      daemons,
      hasOddAnswers,
      hasUnprovenAnswers,
      invariants,
      onCrash,
      seed,
    } = this.#options;
    const { name } = replica;
    this.#options.copiedAnswers?.addTo(replica);
    replica.eventCountOf = (request) => eventCountOf(streamOf(request));
    replica.onBegin = ({ id }) => invariants.recordBegin(id, name);
    replica.onRun = ({ id, headers, body }) => {
      const atMs = Date.now();
      const daemon = this.#daemonOf(id);
      const source = daemon?.options.ip ?? "";
      invariants.recordRun({
        id,
        endpoint: name,
        atMs,
        isContinuation: headers["kv-from"] !== undefined,
        body,
        workspace: headers["x-tenant"]?.toString(),
        wasCut: () => proxy.disturbedMsOf(source) >= atMs,
      });
      if (service !== "llm") return;
      invariants.evacuationRules.recordRun({
        request: id,
        zone,
        atMs,
        wasDisturbed: (sinceMs) =>
          proxy.disturbedMsOf(source) >= atMs || !daemon?.isServing ||
          daemon.separatedMs >= atMs || wasDisturbed(sinceMs),
      });
      invariants.versionRules.recordRun({
        stream: String(headers["resumes"] ?? id),
        request: id,
        daemon: invariants.daemonOf(id),
        version,
        goesOn: headers["last-event-id"] !== undefined ||
          headers["kv-from"] !== undefined,
      });
    };
    replica.onArrival = ({ id, headers }) => {
      const given = headers["x-deadline-ms"];
      invariants.retryRules.recordArrival({
        id,
        service,
        atMs: Date.now(),
        isContinuation: headers["kv-from"] !== undefined,
        givenMs: given === undefined ? undefined : Number(given),
      });
      this.#recordArrival(endpoint, id);
    };
    const wasDisturbed = (sinceMs: number): boolean =>
      daemons.some(({ options, separatedMs }) =>
        separatedMs >= sinceMs || proxy.disturbedMsOf(options.ip) >= sinceMs
      );
    replica.effectOf = ({ body, headers, id }) => {
      if (isPoison(body) || isTainted(headers)) {
        return { kind: "crash", afterEvents: 0 };
      }
      const unproven = hasUnprovenAnswers
        ? unprovenAnswerOf(seed, name, id)
        : undefined;
      if (unproven) return unproven;
      const odd = hasOddAnswers ? oddAnswerOf(seed, name, id) : undefined;
      if (odd) return odd;
      const unsized = unsizedEffectOf(seed, name, id);
      if (!unsized) return { kind: "none" };
      const begun = { request: id, process, wasDisturbed };
      invariants.answerRules.recordBegin(begun);
      return unsized;
    };
    replica.onAnswerEnd = ({ id }, isWhole) =>
      invariants.answerRules.recordEnd(process, id, isWhole);
    replica.onContinued = (_, { kind }) =>
      invariants.answerRules.recordMove(kind);
    replica.onCrash = ({ body, headers, id }) => {
      invariants.answerRules.recordProcessEnd(process);
      const arrival = this.#arrivalOf(process, id);
      const { endpointRules } = invariants;
      if (arrival && isTainted(headers)) {
        const content = `part ${CRASHING_PART} at ${service}`;
        endpointRules.recordCrash(content, arrival, MAX_PART_CRASHES);
      } else if (arrival) endpointRules.recordCrash(body, arrival);
      onCrash(name);
    };
  }

  #recordArrival(
    { process, replica, zone }: ObservedEndpoint,
    id: string,
  ): void {
    const { endpointRules, evacuationRules, limitRules } =
      this.#options.invariants;
    const arrival = this.#arrivalOf(process, id);
    if (!arrival) return;
    limitRules.recordArrival(arrival);
    endpointRules.recordArrival(arrival);
    const storeFailedMs = this.#options.storeFailedMsOf(this.#daemonOf(id)!);
    evacuationRules.recordArrival({ ...arrival, zone, storeFailedMs });
    if (replica.isLeaving) endpointRules.recordNotice(arrival);
    if (replica.retryAfter !== undefined) {
      endpointRules.recordHold(arrival, Number(replica.retryAfter) * 1_000);
    }
  }

  #arrivalOf(endpoint: string, id: string): EndpointArrival | undefined {
    const daemon = this.#daemonOf(id);
    if (!daemon) return undefined;
    const atMs = Date.now();
    return {
      endpoint,
      daemon: daemon.options.name,
      atMs,
      calmMs: atMs - daemon.disturbedMs,
      contactMs: atMs - daemon.separatedMs,
      storeContactMs: atMs - this.#options.storeFailedMsOf(daemon),
    };
  }

  /** @returns The daemon to which a request was sent. */
  #daemonOf(id: string): DaemonProcess | undefined {
    const name = this.#options.invariants.daemonOf(id);
    return this.#options.daemons.find(({ options }) => options.name === name);
  }
}

function isTainted(headers: IncomingHttpHeaders): boolean {
  const parts = String(headers["x-prompt-prefix"] ?? "").split(",");
  return parts.slice(0, -1).some((part) =>
    part.startsWith(`${CRASHING_PART}:`)
  );
}

function isPoison(body: string): boolean {
  return body.startsWith("poison ");
}
