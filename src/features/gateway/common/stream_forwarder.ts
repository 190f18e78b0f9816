/**
 * Forwards a generation as whole events. The caller sees one stream while the
 * run behind it may go on at another endpoint: when its endpoint leaves, dies or
 * goes silent, from a copy of its memory, or by reading the prompt anew where
 * the route allows that.
 */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { EndpointId } from "../../../base/common/ids.ts";
import {
  type HeaderList,
  withoutHeader,
} from "../../../services/http/common/header_list.ts";
import type { Choice, Need } from "./endpoint_choice.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { Continuation } from "./gateway_codec.ts";
import type { RequestContext } from "./gateway_request.ts";
import { GenerationAnswer } from "./generation_answer.ts";
import { GenerationBackup } from "./generation_backup.ts";
import { GenerationSize } from "./generation_size.ts";
import { Handover, type LossReason } from "./handover.ts";
import type { MoveEnd } from "./run_mover.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { StreamLeg } from "./stream_leg.ts";

/** Tries after engines that proved not to have run the request. */
const MAX_REFUSED_TRIES = 4;
/** Time in which a full engine finishes some of its work. */
const FULL_RETRY_AFTER_MS = 400;
/** Events between two updates of the memory in use. */
const RESIZE_EVENTS = 16;
/** Time for which an engine that gives no answer may come back, as after a cut. */
const DARK_PATIENCE_MS = 8_000;

/** Runs one generation to its end. */
export class StreamForwarder {
  readonly #context: RequestContext;
  readonly #need: Need;
  readonly #size: GenerationSize;
  readonly #silence: SilenceWatch;
  readonly #backup: GenerationBackup;
  #leg: StreamLeg | undefined;
  readonly #answer: GenerationAnswer;
  readonly #handover: Handover;
  #refusedTries = 0;
  #isMoving = false;
  #darkTimer: Disposable | undefined;
  /** Whether some endpoint may have run the request. */
  #wasRun = false;

  /** @param context - The request. */
  constructor(context: RequestContext) {
    this.#context = context;
    const { request } = context;
    this.#size = new GenerationSize(request);
    this.#need = {
      service: request.service.id,
      memoryTokens: this.#size.neededTokens,
      excluded: context.excluded,
    };
    this.#backup = new GenerationBackup(context, this.#need, this.#size);
    this.#silence = new SilenceWatch(context, {
      leg: () => this.#darkTimer || context.isOver ? undefined : this.#liveLeg,
      onSilentConnection: () =>
        void (this.#handover.isPending || this.#goOnFromBackup("silent")),
    });
    this.#answer = new GenerationAnswer(context);
    this.#handover = new Handover(context, {
      onAccepted: (next) => this.#onAccepted(next),
      onRejected: (cause) => this.#onRejected(cause),
    });
  }

  /** The leg that can still bring something; none while a place is awaited. */
  get #liveLeg(): StreamLeg | undefined {
    return this.#leg?.isOver ? undefined : this.#leg;
  }

  /** Starts the first run. */
  start(): void {
    const context = this.#context;
    const { services, request } = context;
    context.owned.add({ dispose: () => this.#release() });
    context.owned.add(
      services.registry.onDidLeave((endpoint) => this.#onLeaving(endpoint)),
    );
    context.owned.add(
      services.probe.onDidGoDark((endpoint) => this.#onDark(endpoint)),
    );
    context.owned.add(this.#silence);
    context.setTimer(context.leftMs, () => this.#onDeadline());
    request.exchange.onDidEnd((end) => {
      if (end === "left") context.finish("caller-left", 0, "caller has gone");
    });
    request.exchange.onDidDrain(() => this.#leg?.resume());
    this.#startFresh();
  }

  /** Runs the request from its prompt, which must not happen twice on some routes. */
  #startFresh(): void {
    if (this.#wasRun && !this.#context.isResumable) {
      this.#giveUp("the run cannot be repeated");
      return;
    }
    this.#context.awaitPlace(
      this.#need,
      (choice) => this.#onPlaced(choice),
      (reason) => this.#giveUp(reason),
    );
  }

  #onPlaced({ endpoint, granted }: Choice): void {
    const afterEvent = this.#answer.lastEventId;
    const continuation = afterEvent && { copy: undefined, afterEvent };
    this.#startLeg(endpoint, continuation || undefined, granted);
  }

  #startLeg(
    endpoint: RegisteredEndpoint,
    continuation: Continuation | undefined,
    granted?: Choice["granted"],
  ): void {
    const leg = this.#createLeg(endpoint, continuation, granted);
    this.#leg = leg;
    this.#silence.note(this.#context.services.clock.monotonicMs());
    leg.send();
  }

  #createLeg(
    endpoint: RegisteredEndpoint,
    continuation: Continuation | undefined,
    granted?: Choice["granted"],
  ): StreamLeg {
    const { board } = this.#context.services;
    // A resumable route can read its short prompts anew instead.
    if (!this.#context.isResumable) this.#backup.chooseFor(endpoint, granted);
    const unreadTokens = continuation?.copy === undefined
      ? this.#size.promptTokens
      : 0;
    const leg: StreamLeg = new StreamLeg({
      context: this.#context,
      endpoint,
      backupAddress: this.#backup.endpoint?.announcement.address,
      continuation,
      claim: board.claim(endpoint.id, this.#size.neededTokens, unreadTokens),
      listener: {
        onHead: (headers) => this.#onHead(leg, headers),
        onData: (chunk) => this.#onData(leg, chunk),
        onEnd: (pendingBytes) => this.#onEnd(leg, pendingBytes),
        onRefused: (reason) => this.#onRefused(leg, reason),
        onFailedAnswer: (status, headers, body) =>
          this.#onFailedAnswer(leg, status, headers, body),
        onLost: (wasSent, reason) => this.#onLost(leg, wasSent, reason),
      },
    });
    return leg;
  }

  #onHead(leg: StreamLeg, headers: HeaderList): void {
    this.#handover.accept(leg);
    this.#wasRun = true;
    this.#answer.offerHead(headers);
  }

  #onData(leg: StreamLeg, chunk: Uint8Array): boolean {
    if (leg !== this.#leg) return true;
    let isWritable = true;
    for (const frame of leg.frames.push(chunk)) {
      if (leg !== this.#leg || this.#context.isOver) break;
      isWritable = this.#deliver(leg, frame.bytes, frame.id) && isWritable;
    }
    return isWritable;
  }

  #deliver(leg: StreamLeg, bytes: Uint8Array, id: string | undefined): boolean {
    const verdict = this.#answer.check(id, !leg.hasEvents);
    if (verdict === "repeated") return true;
    if (verdict === "gap") {
      this.#onLost(leg, true, "events are missing");
      return true;
    }
    const nowMs = this.#context.services.clock.monotonicMs();
    const pauseMs = nowMs - this.#silence.lastEventMs;
    this.#silence.note(nowMs);
    const isFirstOfLeg = !leg.hasEvents;
    leg.markEvent(nowMs);
    this.#darkTimer?.dispose();
    this.#darkTimer = undefined;
    this.#size.addEvent();
    if (this.#size.eventCount % RESIZE_EVENTS === 0) {
      leg.resize(this.#size.neededTokens);
      this.#backup.resize();
    }
    const isWritable = this.#answer.write(bytes, pauseMs);
    if (isFirstOfLeg && !leg.endpoint.isUsable) this.#moveAway(leg);
    return isWritable;
  }

  #onEnd(leg: StreamLeg, pendingBytes: number): void {
    if (leg !== this.#leg) return;
    if (pendingBytes > 0) {
      this.#onLost(leg, true, "the stream ended within an event");
      return;
    }
    if (leg.isEndedByClose && !this.#answer.isEndedByClose) {
      this.#onLost(leg, true, "the stream's end proves nothing");
      return;
    }
    const { services, request } = this.#context;
    leg.note("served");
    this.#answer.end();
    services.budget.recordSuccess(request.service.id);
    this.#context.finish("served", 200, "");
  }

  #onRefused(leg: StreamLeg, reason: string): void {
    this.#handover.reject(leg, "refused", reason);
    if (leg !== this.#leg) return;
    leg.note("refused");
    this.#context.log("info", "stream-refused", {
      endpoint: leg.endpoint.id,
      reason,
      isContinuation: leg.isContinuation,
    });
    if (leg.isContinuation && leg.isFromCopy) {
      this.#goOnWithoutCopy("the copy is not there");
      return;
    }
    this.#context.excluded.add(leg.endpoint.id);
    if (
      ++this.#refusedTries >= MAX_REFUSED_TRIES ||
      !this.#context.mayRepeat(this.#wasRun)
    ) {
      this.#giveUp(reason);
      return;
    }
    this.#startFresh();
  }

  #onFailedAnswer(
    leg: StreamLeg,
    status: number,
    headers: HeaderList,
    body: Uint8Array,
  ): void {
    this.#handover.reject(leg, "failed", `status ${status}`);
    if (leg !== this.#leg) return;
    leg.note("failed");
    const { services, request } = this.#context;
    if (this.#answer.hasStarted) {
      this.#goOnWithoutCopy(`status ${status}`);
      return;
    }
    const passed = services.codec.replyHeaders(headers);
    request.exchange.reply(
      status,
      withoutHeader(passed, "content-length"),
      body,
    );
    this.#context.finish("failed-by-endpoint", status, "");
  }

  #onLost(leg: StreamLeg, wasSent: boolean, reason: string): void {
    const sign = wasSent ? "broken" : "unreachable";
    this.#handover.reject(leg, sign, reason);
    if (leg !== this.#leg) return;
    leg.abort();
    leg.note(sign);
    if (wasSent) this.#wasRun = true;
    this.#context.log("warn", "stream-lost", {
      endpoint: leg.endpoint.id,
      reason,
      lastEvent: this.#answer.lastEventId,
      wasSent,
      backup: this.#backup.endpoint?.id,
    });
    this.#context.excluded.add(leg.endpoint.id);
    if (this.#handover.acceptPending()) return;
    if (wasSent) {
      if (!this.#goOnFromBackup("broken")) this.#goOnWithoutCopy(reason);
      return;
    }
    // An endpoint that takes no connection says nothing about the others.
    if (leg.isFromCopy) this.#goOnWithoutCopy(reason);
    else this.#startFresh();
  }

  /** @returns Whether there is a backup to go on from. */
  #goOnFromBackup(cause: LossReason): boolean {
    const leg = this.#leg;
    if (!leg) return false;
    const nowMs = this.#context.services.clock.monotonicMs();
    const backup = this.#backup.usableAfter(leg.runningMs(nowMs));
    if (!backup) return false;
    this.#continueAt(backup, this.#backup.nameAt(backup), cause);
    return true;
  }

  #continueAt(
    endpoint: RegisteredEndpoint,
    copy: string,
    cause: LossReason,
  ): void {
    this.#context.services.metrics.count("streams_continued", cause);
    this.#context.log("info", "stream-continued", {
      endpoint: endpoint.id,
      cause,
      copy,
      lastEvent: this.#answer.lastEventId,
    });
    const continuation: Continuation = {
      copy,
      afterEvent: this.#answer.lastEventId,
    };
    if (this.#liveLeg) {
      this.#handover.begin(this.#createLeg(endpoint, continuation), cause);
    } else this.#startLeg(endpoint, continuation);
  }

  #onAccepted(next: StreamLeg): void {
    this.#leg?.abort();
    this.#leg = next;
    this.#darkTimer?.dispose();
    this.#darkTimer = undefined;
    this.#silence.note(this.#context.services.clock.monotonicMs());
  }

  #onRejected(cause: LossReason): void {
    // It was kept for the leg that came to nothing.
    this.#backup.drop();
    const leg = this.#liveLeg;
    if (!leg || this.#context.isOver) return;
    if (cause === "dark") this.#awaitDarkEndpoint();
    if (cause === "leaving" && ++this.#refusedTries < MAX_REFUSED_TRIES) {
      this.#moveAway(leg);
    }
  }

  #goOnWithoutCopy(reason: string): void {
    this.#leg?.abort();
    if (!this.#context.isResumable || !this.#context.mayRepeat(this.#wasRun)) {
      this.#giveUp(reason);
      return;
    }
    this.#startFresh();
  }

  #giveUp(reason: string): void {
    if (this.#answer.hasStarted) this.#context.fail(502, "interrupted", reason);
    else if (this.#wasRun) this.#context.fail(502, "unknown", reason);
    else {
      const { recentWaitMs } = this.#context.services.queue;
      const retryAfterMs = Math.max(FULL_RETRY_AFTER_MS, recentWaitMs);
      this.#context.fail(503, "not-run", reason, retryAfterMs);
    }
  }

  #onDeadline(): void {
    const reason = "no whole answer before the deadline";
    this.#release();
    const end = this.#answer.hasStarted ? "interrupted" : "unknown";
    this.#context.fail(504, end, reason);
  }

  #onLeaving(endpoint: RegisteredEndpoint): void {
    if (endpoint === this.#backup.endpoint) this.#backup.drop();
    const leg = this.#liveLeg;
    if (leg?.endpoint !== endpoint || !leg.hasEvents) return;
    this.#moveAway(leg);
  }

  #moveAway(leg: StreamLeg): void {
    const { isOver } = this.#context;
    if (isOver || this.#isMoving || this.#handover.isPending) return;
    if (this.#goOnFromBackup("leaving")) return;
    const { services, request } = this.#context;
    if (!request.service.engine?.canMove) return;
    this.#isMoving = true;
    void services.mover.move({
      requestId: request.id,
      source: leg.endpoint,
      chooseTarget: (excluded) => this.#chooseTarget(excluded),
      isWanted: () => leg === this.#leg && !this.#context.isOver,
    }).then((end) => this.#onMoveEnded(leg, end));
  }

  #onMoveEnded(leg: StreamLeg, end: MoveEnd): void {
    this.#isMoving = false;
    const { metrics } = this.#context.services;
    const from = leg.endpoint.id;
    switch (end.kind) {
      case "copied":
        this.#context.log("info", "stream-moved", {
          from,
          to: end.endpoint.id,
          tookMs: end.tookMs,
        });
        metrics.count("streams_moved");
        this.#continueAt(end.endpoint, end.copy, "leaving");
        return;
      case "not-copied": {
        const { reason } = end;
        this.#context.log("warn", "stream-not-moved", { from, reason });
        // By now the backup may have settled.
        const isWanted = leg === this.#leg && !this.#context.isOver;
        if (isWanted) this.#goOnFromBackup("leaving");
      }
    }
  }

  #chooseTarget(
    excluded: ReadonlySet<EndpointId>,
  ): RegisteredEndpoint | undefined {
    const { services, request } = this.#context;
    const need: Need = { ...this.#need, excluded };
    return services.chooser.choose(need, request.service)?.endpoint;
  }

  #onDark(endpoint: RegisteredEndpoint): void {
    if (endpoint === this.#backup.endpoint) this.#backup.drop();
    this.#handover.onTargetDark(endpoint);
    const leg = this.#liveLeg;
    if (leg?.endpoint !== endpoint || this.#context.isOver) return;
    const reason = "the endpoint is dark";
    if (!leg.wasSent) {
      this.#onLost(leg, false, reason);
      return;
    }
    this.#wasRun = true;
    this.#context.excluded.add(endpoint.id);
    if (this.#handover.onSourceDark()) return;
    if (this.#goOnFromBackup("dark")) return;
    if (this.#context.isResumable) this.#goOnWithoutCopy(reason);
    else this.#awaitDarkEndpoint();
  }

  /** It may be cut off from us and still at work; nothing else can go on. */
  #awaitDarkEndpoint(): void {
    this.#darkTimer ??= this.#context.setTimer(DARK_PATIENCE_MS, () => {
      this.#release();
      this.#giveUp("the endpoint stayed dark");
    });
  }

  #release(): void {
    this.#backup.drop();
    this.#handover.dispose();
    this.#leg?.abort();
  }
}
