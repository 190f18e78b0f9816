/**
 * Finds out which requests were running on an endpoint when it crashed, and
 * refuses those that crash every endpoint that runs them. A lost connection
 * alone is no crash: an endpoint that still answers has not crashed, and one
 * that answers later never did.
 */

import { type Clock, sleep } from "../../../../base/common/clock.ts";
import type {
  Address,
  HostId,
  WorkspaceId,
} from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { CrashEvidence } from "../../../quarantine/common/endpoint_crash.ts";
import type {
  QuarantinedRequest,
  SuspectChange,
  SuspectTable,
} from "../../../quarantine/common/suspect_table.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "../endpoints/endpoint_registry.ts";
import type { EngineControl } from "../protocol/engine_control.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type {
  MonitoredPrompt,
  PromptPartMonitor,
} from "./prompt_part_monitor.ts";

/** Identifies a request by its caller's workspace and its content. */
export interface RequestContent {
  readonly workspace: WorkspaceId | undefined;
  /** Hash of the content; computed only when it is read. */
  readonly fingerprint: string;
  /** Parts of the prompt that other requests may share. */
  readonly promptParts: readonly string[];
}

/** Dependencies of a {@link CrashMonitor}. */
export interface CrashMonitorServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly host: HostId;
  readonly registry: EndpointRegistry;
  readonly control: EngineControl;
  /**
   * Returns whether an endpoint's host refuses connections, so that no process
   * listens there.
   */
  isRefused(endpoint: RegisteredEndpoint): boolean;
  readonly suspects: SuspectTable;
  readonly prompts: PromptPartMonitor;
}

/** Follows one run of a request on one endpoint. */
export interface MonitoredRun {
  /** The request is about to be written to the endpoint. */
  onSent(): void;
  /** The request was not written after all. */
  onUnsent(): void;
  /**
   * The endpoint has begun to answer this request.
   *
   * @param isSuccess - Whether it runs the request.
   */
  onAnswered(isSuccess: boolean): void;
  /** A part of the answer has arrived. */
  onData(): void;
  /** The endpoint has run the request to its end. */
  onCompleted(): void;
  /**
   * The connection ended, or the endpoint did not answer.
   *
   * @returns A promise that resolves when it is known whether the endpoint
   * still answers.
   */
  onLost(): Promise<void>;
  /** The run is over in any other way. */
  onEnded(): void;
}

/** Workspace of requests on routes without keys. */
const PUBLIC_WORKSPACE = "-" as WorkspaceId;
/**
 * Time after a lost connection within which the appearance of another process
 * at the address shows that the connection was lost by a crash.
 */
const RESTART_WINDOW_MS = 10_000;
/** Runs that are lost within this time share a probe. */
const PROBE_SHARE_MS = 50;
/**
 * Silence of an endpoint from which an unfinished run there is checked like a
 * lost one.
 */
const MIN_SILENCE_MS = 300;
/**
 * Time without an answer to any check after which an endpoint is taken for
 * crashed. A sound one may be silent for a second.
 */
const MAX_SILENCE_MS = 1_500;
/** Time between two checks of a silent endpoint. */
const SILENCE_CHECK_PERIOD_MS = 300;
const MAX_REMEMBERED_ADDRESSES = 2_000;
const MAX_SUSPECTED_PROCESSES = 2_000;
const MAX_OTHER_WORKSPACES = 100;

/** A run on an endpoint. */
interface Run {
  readonly content: RequestContent;
  readonly prompt: MonitoredPrompt;
  /** Monotonic time in milliseconds. */
  sentMs: number;
  /** Wall-clock time in milliseconds. */
  startedMs: number;
}

/** A run that was lost, with the state of its endpoint at that time. */
interface LostRun {
  readonly workspace: WorkspaceId;
  readonly fingerprint: string;
  /** Parts of the prompt that may have caused the loss. */
  readonly promptParts: readonly string[];
  /** Wall-clock time of the start in milliseconds. */
  readonly startedMs: number;
  /** Monotonic time of the loss in milliseconds. */
  readonly lostMs: number;
  /** Wall-clock time of the loss in milliseconds. */
  readonly atMs: number;
  readonly otherWorkspaces: readonly WorkspaceId[];
}

/** What is known of one process of an endpoint. */
interface ProcessState {
  readonly running: Set<Run>;
  lost: LostRun[];
  /** Monotonic time of the latest part of an answer, in milliseconds. */
  heardMs: number;
  /** Wall-clock time of the latest part of an answer, in milliseconds. */
  heardAtMs: number;
  probe:
    | { readonly startMs: number; readonly isAlive: Promise<boolean> }
    | undefined;
}

/** Attributes crashes of endpoints to the requests that they were running. */
export class CrashMonitor implements Disposable {
  readonly #services: CrashMonitorServices;
  readonly #processes = new WeakMap<RegisteredEndpoint, ProcessState>();
  readonly #latestAt = new Map<Address, RegisteredEndpoint>();
  /**
   * Processes with suspected crashes, and the monotonic time from which an
   * answer refutes them.
   */
  readonly #suspectedSinceMs = new Map<string, number>();
  readonly #disposables = new DisposableStore();

  /** @param services - Dependencies of the monitor. */
  constructor(services: CrashMonitorServices) {
    this.#services = services;
    const { registry, suspects } = services;
    this.#disposables.add(
      suspects.onDidChange((change) => this.#onChange(change)),
    );
    this.#disposables.add(
      registry.onDidAdd((endpoint) => this.#onAdded(endpoint)),
    );
  }

  /** Monitor of the parts of prompts. */
  get prompts(): PromptPartMonitor {
    return this.#services.prompts;
  }

  /** @returns The quarantine of a request, or `undefined` if it may run. */
  quarantineOf(content: RequestContent): QuarantinedRequest | undefined {
    const { suspects } = this.#services;
    if (suspects.isEmpty) return undefined;
    return suspects.quarantineOf(workspaceOf(content), content.fingerprint);
  }

  /** @returns Whether a request was running when an endpoint crashed. */
  isSuspect(content: RequestContent): boolean {
    const { suspects } = this.#services;
    if (suspects.isEmpty) return false;
    return suspects.isSuspect(workspaceOf(content), content.fingerprint);
  }

  /** @returns The requests that this daemon refuses. */
  list(): readonly QuarantinedRequest[] {
    return this.#services.suspects.listQuarantined();
  }

  /** Follows a run that is about to be sent to an endpoint. */
  watchRun(
    content: RequestContent,
    endpoint: RegisteredEndpoint,
  ): MonitoredRun {
    const state = this.#stateOf(endpoint);
    const { clock } = this.#services;
    const prompt = this.#services.prompts.watch(content.promptParts, endpoint);
    const run: Run = { content, prompt, sentMs: 0, startedMs: 0 };
    return {
      onSent: () => {
        run.sentMs = clock.monotonicMs();
        run.startedMs = clock.nowMs();
        state.running.add(run);
      },
      onUnsent: () => state.running.delete(run),
      onAnswered: (isSuccess) => {
        this.#recordHeard(state);
        this.#recordAnswer(endpoint, run.sentMs);
        if (isSuccess) prompt.onAnswered();
      },
      onData: () => {
        this.#recordHeard(state);
        prompt.onData();
      },
      onCompleted: () => {
        state.running.delete(run);
        prompt.onCompleted();
        this.#clear(content);
      },
      onLost: () => {
        if (!state.running.delete(run)) return Promise.resolve();
        prompt.onLost();
        return this.#onLost(endpoint, state, run, clock.nowMs());
      },
      onEnded: () => {
        if (!state.running.delete(run)) return;
        const heardMs = Math.max(run.sentMs, state.heardMs);
        if (clock.monotonicMs() - heardMs < MIN_SILENCE_MS) return;
        // The time of the crash is unknown; it followed the latest answer.
        const atMs = Math.max(run.startedMs, state.heardAtMs);
        void this.#onLost(endpoint, state, run, atMs);
      },
    };
  }

  /** Stops following endpoints and records. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #stateOf(endpoint: RegisteredEndpoint): ProcessState {
    let state = this.#processes.get(endpoint);
    if (!state) {
      state = {
        running: new Set(),
        lost: [],
        heardMs: 0,
        heardAtMs: 0,
        probe: undefined,
      };
      this.#processes.set(endpoint, state);
    }
    return state;
  }

  #recordHeard(state: ProcessState): void {
    const { clock } = this.#services;
    state.heardMs = clock.monotonicMs();
    state.heardAtMs = clock.nowMs();
  }

  #clear(content: RequestContent): void {
    const { suspects } = this.#services;
    if (suspects.isEmpty) return;
    suspects.clear(workspaceOf(content), content.fingerprint);
  }

  async #onLost(
    endpoint: RegisteredEndpoint,
    state: ProcessState,
    run: Run,
    atMs: number,
  ): Promise<void> {
    const { clock } = this.#services;
    const nowMs = clock.monotonicMs();
    state.lost = state.lost.filter(({ lostMs }) =>
      nowMs - lostMs < RESTART_WINDOW_MS
    );
    const lost: LostRun = {
      workspace: workspaceOf(run.content),
      fingerprint: run.content.fingerprint,
      promptParts: run.prompt.isSound ? [] : run.content.promptParts,
      startedMs: run.startedMs,
      lostMs: nowMs,
      atMs,
      otherWorkspaces: otherWorkspacesOf(run, state),
    };
    state.lost.push(lost);
    // An endpoint that was leaving ends without a crash.
    if (endpoint.wasLeaving) return;
    if (!endpoint.isPresent) {
      this.#recordCrash(endpoint, lost, "confirmed");
      return;
    }
    if (await this.#isAlive(endpoint, state)) return;
    if (this.#services.isRefused(endpoint)) {
      this.#recordSuspected(endpoint, lost);
    } else void this.#awaitSilence(endpoint, state, lost);
  }

  /** Records a crash unless the endpoint answers again. */
  async #awaitSilence(
    endpoint: RegisteredEndpoint,
    state: ProcessState,
    lost: LostRun,
  ): Promise<void> {
    const { clock, isRefused } = this.#services;
    while (clock.monotonicMs() - lost.lostMs < MAX_SILENCE_MS) {
      await sleep(clock, SILENCE_CHECK_PERIOD_MS);
      if (this.#disposables.isDisposed || state.heardMs > lost.lostMs) return;
      if (await this.#isAlive(endpoint, state)) return;
      if (isRefused(endpoint)) break;
    }
    this.#recordSuspected(endpoint, lost);
  }

  #recordSuspected(endpoint: RegisteredEndpoint, lost: LostRun): void {
    // Another process at the address has confirmed it meanwhile.
    if (!this.#stateOf(endpoint).lost.includes(lost)) return;
    if (!endpoint.wasLeaving) this.#recordCrash(endpoint, lost, "suspected");
  }

  /** Returns whether the process answers on a connection of its own. */
  #isAlive(
    endpoint: RegisteredEndpoint,
    state: ProcessState,
  ): Promise<boolean> {
    const { clock, control } = this.#services;
    const { address, bornMs } = endpoint.announcement;
    const nowMs = clock.monotonicMs();
    // It has answered lately, and wants no requests.
    if (endpoint.isHeld(nowMs)) return Promise.resolve(true);
    if (state.probe && nowMs - state.probe.startMs < PROBE_SHARE_MS) {
      return state.probe.isAlive;
    }
    const isAlive = control.checkLiveness(address).then((liveness) =>
      liveness.kind === "answered" &&
      (liveness.bornMs === undefined || liveness.bornMs === bornMs)
    );
    state.probe = { startMs: nowMs, isAlive };
    return isAlive;
  }

  #recordCrash(
    endpoint: RegisteredEndpoint,
    lost: LostRun,
    evidence: CrashEvidence,
  ): void {
    const { host, logger, metrics, prompts, suspects } = this.#services;
    const { atMs, fingerprint, otherWorkspaces, startedMs, workspace } = lost;
    metrics.count("crashes_recorded", evidence);
    logger.log("warn", "endpoint-crash-recorded", {
      endpoint: endpoint.id,
      service: endpoint.announcement.service,
      fingerprint,
      workspace,
      evidence,
      others: otherWorkspaces.length,
    });
    const crash = {
      endpoint: processKey(endpoint),
      atMs,
      startedMs,
      evidence,
    };
    suspects.recordCrash(workspace, fingerprint, {
      ...crash,
      otherWorkspaces,
      host,
    });
    prompts.recordCrash(endpoint, lost.promptParts, crash);
  }

  /**
   * An answer to a request that was sent after a suspected crash shows that the
   * process has not crashed.
   */
  #recordAnswer(endpoint: RegisteredEndpoint, sentMs: number): void {
    if (this.#suspectedSinceMs.size === 0) return;
    const key = processKey(endpoint);
    const sinceMs = this.#suspectedSinceMs.get(key);
    if (sinceMs === undefined || sentMs <= sinceMs) return;
    this.#suspectedSinceMs.delete(key);
    const { logger, metrics, prompts, suspects } = this.#services;
    metrics.count("crashes_refuted");
    logger.log("info", "endpoint-crash-refuted", { endpoint: endpoint.id });
    suspects.refute(key);
    prompts.refute(key);
  }

  #onChange({ record, transition }: SuspectChange): void {
    const { clock, logger, metrics, suspects } = this.#services;
    const nowMs = clock.monotonicMs();
    for (const { endpoint, evidence } of record.deaths) {
      if (evidence !== "suspected") this.#suspectedSinceMs.delete(endpoint);
      else if (!this.#suspectedSinceMs.has(endpoint)) {
        this.#suspectedSinceMs.set(endpoint, nowMs);
        evictOldest(this.#suspectedSinceMs, MAX_SUSPECTED_PROCESSES);
      }
    }
    const { fingerprint, workspace } = record;
    switch (transition) {
      case "none":
        return;
      case "quarantined": {
        const { endpoints, untilMs } = suspects.quarantineOf(
          workspace,
          fingerprint,
        )!;
        metrics.count("requests_quarantined");
        logger.log("warn", "request-quarantined", {
          fingerprint,
          workspace,
          endpoints: endpoints.join(" "),
          until: new Date(untilMs).toISOString(),
          observedBy: [...new Set(record.deaths.map(({ host }) => host))]
            .join(" "),
        });
        return;
      }
      case "released":
        logger.log("info", "request-released", { fingerprint, workspace });
    }
  }

  /** Another process at the address of one that was lost shows a crash. */
  #onAdded(endpoint: RegisteredEndpoint): void {
    const { address } = endpoint.announcement;
    const previous = this.#latestAt.get(address);
    this.#latestAt.delete(address);
    this.#latestAt.set(address, endpoint);
    evictOldest(this.#latestAt, MAX_REMEMBERED_ADDRESSES);
    const isNewer = previous !== undefined &&
      endpoint.announcement.bornMs >= previous.announcement.bornMs;
    if (isNewer && !previous.wasLeaving) this.#onReplaced(previous);
  }

  #onReplaced(endpoint: RegisteredEndpoint): void {
    const { clock, prompts, suspects } = this.#services;
    const nowMs = clock.monotonicMs();
    const sinceMs = clock.nowMs() - RESTART_WINDOW_MS;
    suspects.confirm(processKey(endpoint), sinceMs);
    prompts.confirm(processKey(endpoint), sinceMs);
    for (const lost of this.#stateOf(endpoint).lost) {
      if (nowMs - lost.lostMs >= RESTART_WINDOW_MS) continue;
      this.#recordCrash(endpoint, lost, "confirmed");
    }
    this.#stateOf(endpoint).lost = [];
  }
}

function workspaceOf({ workspace }: RequestContent): WorkspaceId {
  return workspace ?? PUBLIC_WORKSPACE;
}

/** Returns an identifier of one process of an endpoint. */
function processKey({ announcement }: RegisteredEndpoint): string {
  const { bornMs, id, service } = announcement;
  return `${service}/${id}/${bornMs}`;
}

/** Removes the entry that was added first if a map is too large. */
function evictOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  if (map.size > maxSize) map.delete(map.keys().next().value!);
}

/** Returns the other workspaces whose requests may have caused a crash. */
function otherWorkspacesOf(
  run: Run,
  { lost, running }: ProcessState,
): readonly WorkspaceId[] {
  const workspaces = new Set(lost.map(({ workspace }) => workspace));
  for (const { content } of running) workspaces.add(workspaceOf(content));
  workspaces.delete(workspaceOf(run.content));
  return [...workspaces].slice(0, MAX_OTHER_WORKSPACES);
}
