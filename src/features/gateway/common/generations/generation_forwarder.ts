/**
 * Forwards a generation as complete events. The caller sees one stream, while
 * the run behind it may continue on another endpoint when its endpoint drains,
 * fails or stalls: either from a copy of its KV state or, where the route
 * allows it, by prefilling the prompt again.
 */

import type { HeaderList } from "../../../../services/http/common/header_list.ts";
import type {
  EndpointChoice,
  EndpointCriteria,
} from "../placement/endpoint_chooser.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { EventFrame } from "./event_frame_splitter.ts";
import type { Continuation } from "../protocol/gateway_codec.ts";
import type { RequestContext } from "../requests/request_context.ts";
import { CallerStream } from "./caller_stream.ts";
import { ContinuationRight } from "./continuation_right.ts";
import { GenerationBackup } from "./generation_backup.ts";
import { createCriteria, GenerationPlacement } from "./generation_placement.ts";
import {
  GenerationMigration,
  type MigrationCause,
} from "./generation_migration.ts";
import { MigrationTargets } from "./migration_target.ts";
import { GenerationFailure } from "./generation_failure.ts";
import { GenerationMemoryEstimate } from "./generation_memory_estimate.ts";
import { EndpointOutage } from "./endpoint_outage.ts";
import { type ContinuationCause, Handover, isOutage } from "./handover.ts";
import { StreamResumption } from "./stream_resumption.ts";
import { StreamStallMonitor } from "./stream_stall_monitor.ts";
import { UpstreamAttempt } from "./upstream_attempt.ts";

/**
 * Maximum number of attempts that engines refuse with proof that they have not
 * run the request.
 */
const MAX_REFUSED_ATTEMPTS = 4;

/** Forwards one generation until it ends. */
export class GenerationForwarder {
  readonly #context: RequestContext;
  readonly #criteria: EndpointCriteria;
  readonly #memory: GenerationMemoryEstimate;
  readonly #stallMonitor: StreamStallMonitor;
  readonly #backup: GenerationBackup;
  #attempt: UpstreamAttempt | undefined;
  readonly #stream: CallerStream;
  readonly #resumption: StreamResumption;
  readonly #handover: Handover;
  #refusedAttempts = 0;
  readonly #placement: GenerationPlacement;
  readonly #migration: GenerationMigration;
  readonly #right: ContinuationRight;
  readonly #outage: EndpointOutage;
  readonly #failure: GenerationFailure;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
    const { request, services } = context;
    this.#memory = new GenerationMemoryEstimate(request, services);
    this.#criteria = createCriteria(context, this.#memory.reservedTokens);
    this.#right = new ContinuationRight(context);
    this.#outage = new EndpointOutage(context, () => {
      this.#release();
      this.#failure.fail("the endpoint stayed unreachable");
    });
    this.#resumption = new StreamResumption(context);
    this.#backup = new GenerationBackup(context, this.#criteria, this.#memory);
    this.#stallMonitor = new StreamStallMonitor(context, {
      attempt: () =>
        this.#outage.isActive || context.hasEnded
          ? undefined
          : this.#activeAttempt,
      onStalledConnection: () =>
        void (this.#handover.isPending || this.#continueFromBackup("silent")),
      onLostPath: () => this.#onLostPath(),
    });
    this.#placement = new GenerationPlacement(context, this.#criteria, {
      onPlaced: (choice) => this.#onPlaced(choice),
      onRejected: (...rejection) => this.#failure.fail(...rejection),
    });
    const targets = new MigrationTargets(context, this.#criteria, this.#memory);
    this.#migration = new GenerationMigration(context, targets, {
      isRequired: (attempt) => attempt === this.#attempt && !context.hasEnded,
      onCopied: (...copy) => this.#continueAt(...copy),
      onNotCopied: (cause) => this.#onNotCopied(cause),
    });
    this.#stream = new CallerStream(context);
    this.#failure = new GenerationFailure(context, this.#stream);
    this.#handover = new Handover(context, {
      onAccepted: (next) => this.#onAccepted(next),
      onRejected: (cause) => this.#onRejected(cause),
    });
  }

  /**
   * The current attempt unless it has ended; `undefined` while a placement is
   * pending.
   */
  get #activeAttempt(): UpstreamAttempt | undefined {
    return this.#attempt?.isEnded ? undefined : this.#attempt;
  }

  /** Starts the first run. */
  start(): void {
    const context = this.#context;
    const { guard, services, request } = context;
    context.disposables.add({ dispose: () => this.#release() });
    context.disposables.add(services.registry.onDidRetire(
      guard.listener((endpoint) => this.#onRetired(endpoint)),
    ));
    context.disposables.add(services.probe.onDidFail(
      guard.listener((endpoint) => this.#onUnreachable(endpoint)),
    ));
    context.disposables.add(this.#stallMonitor);
    context.disposables.add(services.stop.onDidProgress(guard.listener(() => {
      if (!this.#attempt) context.refuseIfStopping();
    })));
    context.setTimer(context.remainingMs, () => {
      this.#release();
      this.#failure.failAtDeadline();
    });
    request.exchange.onDidEnd(guard.listener((end) => {
      if (end === "left") context.finish("caller-left", 0, "caller went away");
    }));
    request.exchange.onDidDrain(guard.listener(() => this.#attempt?.resume()));
    this.#resumption.prepare(() => this.#startFromPrompt());
  }

  /**
   * Runs the request from its prompt. Routes that are not resumable allow this
   * only once.
   */
  #startFromPrompt(): void {
    if (this.#context.evidence.mayHaveRun && !this.#context.canResume) {
      this.#failure.fail("the generation may have run and must not run twice");
      return;
    }
    this.#placement.start();
  }

  #onPlaced({ endpoint, grant }: EndpointChoice): void {
    // Other runs may have crashed their endpoints while this one waited.
    if (this.#context.refuseBeforeSend()) return;
    if (!this.#context.accepts(endpoint)) {
      this.#failure.fail("no endpoint of the stream's version is available");
      return;
    }
    const afterEventId = this.#stream.lastEventId;
    const continuation = afterEventId && { copyRef: undefined, afterEventId };
    this.#startAttempt(endpoint, continuation || undefined, grant);
  }

  #startAttempt(
    endpoint: RegisteredEndpoint,
    continuation: Continuation | undefined,
    grant?: EndpointChoice["grant"],
  ): void {
    this.#placement.cancel();
    const attempt = this.#createAttempt(endpoint, continuation, grant);
    this.#attempt = attempt;
    this.#stallMonitor.markProgress(this.#context.services.clock.monotonicMs());
    attempt.send();
  }

  #createAttempt(
    endpoint: RegisteredEndpoint,
    continuation: Continuation | undefined,
    grant?: EndpointChoice["grant"],
  ): UpstreamAttempt {
    const { loadTable } = this.#context.services;
    // On a resumable route the prompts are short and can be prefilled again
    // instead.
    if (!this.#context.canResume) this.#backup.chooseFor(endpoint, grant);
    const prefill = continuation?.copyRef === undefined
      ? this.#memory.promptTokens
      : 0;
    const attempt: UpstreamAttempt = new UpstreamAttempt({
      context: this.#context,
      endpoint,
      backupAddress: this.#backup.endpoint?.announcement.address,
      continuation,
      claim: loadTable.claim(endpoint.id, this.#memory.reservedTokens, prefill),
      listener: {
        onHead: (headers) => this.#onHead(attempt, headers),
        onData: (chunk) => this.#onData(attempt, chunk),
        onEnd: () => this.#onEnd(attempt),
        onRefused: (reason) => this.#onRefused(attempt, reason),
        onErrorResponse: (status, headers, body) =>
          this.#onErrorResponse(attempt, status, headers, body),
        onLost: (wasSent, reason) => this.#onLost(attempt, wasSent, reason),
      },
    });
    return attempt;
  }

  #onHead(attempt: UpstreamAttempt, headers: HeaderList): void {
    this.#handover.accept(attempt);
    this.#stream.recordHead(headers);
  }

  #onData(attempt: UpstreamAttempt, chunk: Uint8Array): boolean {
    if (attempt !== this.#attempt) return true;
    let isWritable = true;
    for (const frame of attempt.eventSplitter.push(chunk)) {
      if (attempt !== this.#activeAttempt || this.#context.hasEnded) break;
      isWritable = this.#deliver(attempt, frame) && isWritable;
    }
    return isWritable;
  }

  #deliver(attempt: UpstreamAttempt, frame: EventFrame): boolean {
    const { bytes, id } = frame;
    const order = this.#stream.classifyEvent(frame, !attempt.hasNumberedEvents);
    if (id !== undefined) attempt.isBehind = order === "behind";
    if (order === "repeated" || order === "behind") return true;
    if (order === "gap") {
      this.#onLost(attempt, true, "events are missing from the continuation");
      return true;
    }
    if (!this.#context.accepts(attempt.endpoint)) {
      this.#onLost(attempt, true, "the stream began at another version");
      return true;
    }
    if (!this.#stream.hasStarted) {
      this.#resumption.recordStart(attempt.endpoint);
    }
    const nowMs = this.#context.services.clock.monotonicMs();
    const gapMs = nowMs - this.#stallMonitor.lastProgressMs;
    this.#stallMonitor.markProgress(nowMs);
    const isFirstOfAttempt = !attempt.hasEvents;
    attempt.recordEvent(nowMs, id !== undefined);
    this.#outage.end();
    if (this.#memory.recordEvent()) {
      attempt.resize(this.#memory.reservedTokens);
      this.#backup.resize();
    }
    const isWritable = this.#stream.write(bytes, gapMs, attempt);
    if (isFirstOfAttempt && !attempt.endpoint.isUsable) this.#migrate(attempt);
    return isWritable;
  }

  #onEnd(attempt: UpstreamAttempt): void {
    if (attempt !== this.#attempt) return;
    const isStopped = this.#migration.mayHaveStopped(attempt);
    const reason = this.#stream.incompleteReason(attempt, isStopped);
    if (reason !== undefined) {
      this.#onLost(attempt, true, reason);
      return;
    }
    const { services, request } = this.#context;
    attempt.recordOutcome("served");
    this.#stream.end();
    services.budget.recordSuccess(request.service.id);
    this.#memory.recordCompletion();
    this.#context.finish("served", 200, "");
  }

  #onRefused(attempt: UpstreamAttempt, reason: string): void {
    this.#handover.reject(attempt, "refused", reason);
    if (attempt !== this.#attempt) return;
    attempt.recordRefusal(reason);
    if (attempt.isContinuation && attempt.isFromCopy) {
      this.#rerunOrFail("the copy is not there");
      return;
    }
    this.#context.excludedEndpoints.add(attempt.endpoint.id);
    if (
      ++this.#refusedAttempts >= MAX_REFUSED_ATTEMPTS ||
      !this.#context.mayRetry(this.#context.evidence.mayHaveRun)
    ) {
      this.#failure.fail(reason);
      return;
    }
    this.#startFromPrompt();
  }

  #onErrorResponse(
    attempt: UpstreamAttempt,
    code: number,
    received: HeaderList,
    body: Uint8Array,
  ): void {
    this.#handover.reject(attempt, "failed", `status ${code}`);
    if (attempt !== this.#attempt) return;
    attempt.recordOutcome("failed");
    if (this.#stream.hasStarted) this.#rerunOrFail(`status ${code}`);
    else this.#failure.passOn(code, received, body);
  }

  #onLost(attempt: UpstreamAttempt, wasSent: boolean, reason: string): void {
    const outcome = wasSent ? "broken" : "unreachable";
    this.#handover.reject(attempt, outcome, reason);
    if (attempt !== this.#attempt) return;
    attempt.abort();
    attempt.recordOutcome(outcome);
    this.#context.log("warn", "stream-lost", {
      endpoint: attempt.endpoint.id,
      reason,
      lastEvent: this.#stream.lastEventId,
      wasSent,
      backup: this.#backup.endpoint?.id,
    });
    this.#context.excludedEndpoints.add(attempt.endpoint.id);
    if (this.#handover.acceptPending()) return;
    if (wasSent) {
      if (this.#continueFromBackup("broken")) return;
      // The run goes on from the copy for which it is stopped.
      if (this.#migration.isStopping(attempt)) return;
      this.#rerunOrFail(reason);
      return;
    }
    // A failed connection says nothing about the other endpoints.
    if (attempt.isFromCopy) this.#rerunOrFail(reason);
    else this.#startFromPrompt();
  }

  /** @returns Whether a backup exists from which the generation continues. */
  #continueFromBackup(cause: ContinuationCause): boolean {
    const attempt = this.#attempt;
    if (!attempt || this.#context.isQuarantined) return false;
    if (this.#right.isPending) return true;
    const nowMs = this.#context.services.clock.monotonicMs();
    const backup = this.#backup.usableAfter(attempt.streamingMs(nowMs));
    if (!backup) return false;
    this.#continueAt(backup, this.#backup.referenceAt(backup), cause);
    return true;
  }

  #continueAt(
    endpoint: RegisteredEndpoint,
    copyRef: string,
    cause: ContinuationCause,
  ): void {
    const source = this.#attempt;
    const isStale = () => this.#attempt !== source || this.#handover.isPending;
    this.#right.take(endpoint, isStale, (isGranted) => {
      if (isGranted && this.#stream.canContinue) {
        this.#sendContinuation(endpoint, copyRef, cause);
      } else this.#onRightDenied(cause);
    });
  }

  #onRightDenied(cause: ContinuationCause): void {
    if (!this.#activeAttempt) {
      this.#rerunOrFail("the endpoint of the copy cannot be used");
    } else if (isOutage(cause)) this.#outage.begin();
  }

  #sendContinuation(
    endpoint: RegisteredEndpoint,
    copyRef: string,
    cause: ContinuationCause,
  ): void {
    this.#context.services.metrics.count("streams_continued", cause);
    this.#context.log("info", "stream-continued", {
      endpoint: endpoint.id,
      cause,
      copy: copyRef,
      lastEvent: this.#stream.lastEventId,
    });
    const continuation: Continuation = {
      copyRef,
      afterEventId: this.#stream.lastEventId,
    };
    if (this.#activeAttempt) {
      this.#handover.begin(this.#createAttempt(endpoint, continuation), cause);
    } else this.#startAttempt(endpoint, continuation);
  }

  #onAccepted(next: UpstreamAttempt): void {
    this.#attempt?.abort();
    this.#attempt = next;
    this.#outage.end();
    this.#stallMonitor.markProgress(this.#context.services.clock.monotonicMs());
  }

  #onRejected(cause: ContinuationCause): void {
    // The backup belonged to the rejected attempt.
    this.#backup.release();
    const attempt = this.#activeAttempt;
    if (!attempt || this.#context.hasEnded) return;
    if (isOutage(cause)) this.#outage.begin();
    if (cause === "leaving" && ++this.#refusedAttempts < MAX_REFUSED_ATTEMPTS) {
      this.#migrate(attempt);
    }
  }

  #rerunOrFail(reason: string): void {
    this.#attempt?.abort();
    if (
      !this.#context.canResume || !this.#stream.canContinue ||
      !this.#context.mayRetry(this.#context.evidence.mayHaveRun)
    ) {
      this.#failure.fail(reason);
      return;
    }
    this.#startFromPrompt();
  }

  #onRetired(endpoint: RegisteredEndpoint): void {
    if (endpoint === this.#backup.endpoint) this.#backup.release();
    const attempt = this.#activeAttempt;
    if (attempt?.endpoint !== endpoint || !attempt.hasEvents) return;
    this.#migrate(attempt);
  }

  #migrate(attempt: UpstreamAttempt): void {
    if (this.#context.hasEnded || this.#handover.isPending) return;
    if (this.#migration.isRunning || this.#continueFromBackup("leaving")) {
      return;
    }
    this.#context.guard.follow(this.#migration.run(attempt, "leaving"));
  }

  #onNotCopied(cause: MigrationCause): void {
    if (this.#continueFromBackup(cause) || cause === "leaving") return;
    const reason = "the path to the endpoint is lost";
    if (this.#context.canResume || !this.#activeAttempt) {
      this.#rerunOrFail(reason);
    } else this.#outage.begin();
  }

  /**
   * Goes on elsewhere with a run whose connection carries no data any more
   * while its endpoint runs on.
   */
  #onLostPath(): void {
    const attempt = this.#activeAttempt;
    if (!attempt || this.#handover.isPending || this.#right.isPending) return;
    if (this.#migration.isRunning) return;
    if (this.#context.request.service.engine?.canMigrate) {
      this.#context.guard.follow(this.#migration.run(attempt, "cut"));
    } else this.#onNotCopied("cut");
  }

  #onUnreachable(endpoint: RegisteredEndpoint): void {
    if (endpoint === this.#backup.endpoint) this.#backup.release();
    this.#handover.onTargetUnreachable(endpoint);
    const attempt = this.#activeAttempt;
    if (attempt?.endpoint !== endpoint || this.#context.hasEnded) return;
    attempt.markOutOfReach();
    const reason = "the endpoint is unreachable";
    if (!attempt.wasSent) {
      this.#onLost(attempt, false, reason);
      return;
    }
    this.#context.excludedEndpoints.add(endpoint.id);
    if (this.#handover.onSourceUnreachable()) return;
    if (this.#continueFromBackup("dark")) return;
    if (this.#context.canResume) this.#rerunOrFail(reason);
    else this.#outage.begin();
  }

  #release(): void {
    this.#backup.release();
    this.#handover.dispose();
    this.#attempt?.abort();
  }
}
