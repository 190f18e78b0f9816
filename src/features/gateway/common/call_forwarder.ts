/**
 * Forwards a plain call. Its answer is collected first and passed on whole, so
 * that a torn answer can be replaced by another try and never looks complete.
 */

import {
  type Disposable,
  NOOP_DISPOSABLE,
} from "../../../base/common/lifecycle.ts";
import {
  hasNoBody,
  type HeaderList,
  isEndedByClose,
  withoutHeader,
} from "../../../services/http/common/header_list.ts";
import { isStreamed } from "../../../services/http/common/request_body.ts";
import type {
  Transfer,
  TransferFailure,
} from "../../../services/http/common/pass_through_client.ts";
import type { Choice } from "./endpoint_choice.ts";
import type { HealthSign } from "./endpoint_health.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { ReplyFields } from "./gateway_codec.ts";
import type { RequestContext } from "./gateway_request.ts";

/** Answers up to this size are collected; larger ones are streamed. */
const MAX_COLLECTED_BYTES = 262_144;
/** Tries after endpoints that proved not to have run the call. */
const MAX_REFUSED_TRIES = 3;
/** A repeatable call without an answer for so many objectives is tried elsewhere. */
const SILENT_OBJECTIVES = 3;
const MIN_SILENT_MS = 250;
/** Failure rate from which a failure is blamed on the endpoint, not the request. */
const GREY_FAILURE_RATE = 0.3;
/** Time in which a full or absent service may have recovered. */
const REFUSED_RETRY_AFTER_MS = 200;

/** What became of one try. */
type TryResult =
  | { readonly kind: "answered"; readonly answer: CollectedAnswer }
  /** Part of the answer has gone to the caller already. */
  | { readonly kind: "streamed"; readonly isWhole: boolean }
  | { readonly kind: "not-run"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string }
  | { readonly kind: "timed-out" }
  | { readonly kind: "caller-left" };

interface CollectedAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly chunks: readonly Uint8Array[];
}

/** Runs one call to its end. */
export class CallForwarder {
  readonly #context: RequestContext;
  /** Whether some try may have run the call. */
  #wasRun = false;

  /** @param context - The request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /** @returns When the caller has its answer or has gone. */
  async run(): Promise<void> {
    const context = this.#context;
    let refusedTries = 0;
    let lastReason = "no endpoint is available";
    while (!context.isOver) {
      const choice = this.#choose();
      if (!choice) {
        this.#refuse(lastReason);
        return;
      }
      const { endpoint } = choice;
      const sentBefore = context.sentCount;
      const result = await this.#tryOnce(endpoint);
      context.excluded.add(endpoint.id);
      switch (result.kind) {
        case "answered":
          if (this.#isWorthRepeating(endpoint, result.answer)) {
            lastReason = `status ${result.answer.status}`;
            continue;
          }
          this.#passOn(result.answer);
          return;
        case "streamed":
          context.finish(result.isWhole ? "served" : "interrupted", 200, "");
          return;
        case "caller-left":
          context.finish("caller-left", 0, "the caller has gone");
          return;
        case "not-run":
          lastReason = result.reason;
          // An endpoint that takes no connection says nothing about the others.
          if (context.sentCount > sentBefore) refusedTries++;
          if (
            refusedTries >= MAX_REFUSED_TRIES || !context.mayRepeat(false)
          ) {
            this.#refuse(result.reason);
            return;
          }
          break;
        case "timed-out":
          if (this.#wasRun || context.sentCount > sentBefore) {
            context.fail(504, "unknown", "no answer before the deadline");
          } else this.#refuse("no connection before the deadline");
          return;
        case "unknown":
          lastReason = result.reason;
          if (this.#isBodyTooLarge()) {
            context.fail(413, "unknown", result.reason);
            return;
          }
          if (!this.#isRepeatable() || !context.mayRepeat(true)) {
            context.fail(502, "unknown", result.reason);
            return;
          }
          break;
      }
    }
  }

  #choose(): Choice | undefined {
    const { services, request, excluded } = this.#context;
    const { service } = request;
    const need = { service: service.id, memoryTokens: 0, excluded };
    return services.chooser.choose(need, service);
  }

  #isBodyTooLarge(): boolean {
    const { body } = this.#context.request;
    return isStreamed(body) && body.isTooLarge;
  }

  #isRepeatable(): boolean {
    return this.#context.request.route.kind.kind === "idempotent";
  }

  /** A failure that stays with the request is not worth a second try. */
  #isWorthRepeating(
    { health }: RegisteredEndpoint,
    { status }: CollectedAnswer,
  ): boolean {
    if (status < 500 || !this.#isRepeatable()) return false;
    return health.failureRate >= GREY_FAILURE_RATE &&
      this.#context.mayRepeat(true);
  }

  #refuse(reason: string): void {
    const context = this.#context;
    if (this.#wasRun) context.fail(502, "unknown", reason);
    else context.fail(503, "not-run", reason, REFUSED_RETRY_AFTER_MS);
  }

  #passOn({ status, headers, chunks }: CollectedAnswer): void {
    const { services, request } = this.#context;
    const { exchange } = request;
    const passed = services.codec.replyHeaders(headers);
    if (isEndedByClose(exchange.method, status, headers)) {
      // Whether it is whole is unknown, so our framing must not say that it is.
      exchange.start(status, passed, true);
      for (const chunk of chunks) exchange.write(chunk);
      exchange.end();
    } else if (hasNoBody(exchange.method, status)) {
      exchange.start(status, passed);
      exchange.end();
    } else {
      const head = withoutHeader(passed, "content-length");
      exchange.reply(status, head, Buffer.concat(chunks));
    }
    const end = status < 500 ? "served" : "failed-by-endpoint";
    this.#context.finish(end, status, "");
    if (status < 500) services.budget.recordSuccess(request.service.id);
  }

  #tryOnce(endpoint: RegisteredEndpoint): Promise<TryResult> {
    return new Promise((resolve) => {
      const attempt = new CallTry(this.#context, endpoint, (result) => {
        if (result.kind === "unknown" || result.kind === "answered") {
          this.#wasRun = true;
        }
        resolve(result);
      });
      attempt.start(this.#isRepeatable() && this.#canTryElsewhere(endpoint));
    });
  }

  #canTryElsewhere(endpoint: RegisteredEndpoint): boolean {
    const { services, request, sentCount, excluded } = this.#context;
    const others = services.registry.usable(request.service.id).filter((
      other,
    ) => other !== endpoint && !excluded.has(other.id));
    return others.length > 0 && sentCount + 1 < request.route.maxAttempts;
  }
}

/** One try of a call at one endpoint. */
class CallTry {
  readonly #context: RequestContext;
  readonly #endpoint: RegisteredEndpoint;
  readonly #resolve: (result: TryResult) => void;
  readonly #chunks: Uint8Array[] = [];
  #claim: Disposable = NOOP_DISPOSABLE;
  #transfer: Transfer | undefined;
  #head:
    | { readonly status: number; readonly headers: HeaderList }
    | undefined;
  #fields: ReplyFields | undefined;
  #collectedBytes = 0;
  #isStreaming = false;
  #isOver = false;

  constructor(
    context: RequestContext,
    endpoint: RegisteredEndpoint,
    resolve: (result: TryResult) => void,
  ) {
    this.#context = context;
    this.#endpoint = endpoint;
    this.#resolve = resolve;
  }

  start(isSilenceLimited: boolean): void {
    const context = this.#context;
    const { services, request } = context;
    const { exchange, route } = request;
    const { announcement } = this.#endpoint;
    this.#claim = context.owned.add(services.board.claimCall(announcement.id));
    exchange.onDidEnd(() => this.#stop({ kind: "caller-left" }));
    context.setTimer(context.leftMs, () => this.#stop({ kind: "timed-out" }));
    const limitMs = Math.max(
      MIN_SILENT_MS,
      SILENT_OBJECTIVES * route.objectiveMs,
    );
    // While a body arrives, silence is the caller's.
    if (!context.isBodyStreamed) {
      context.setTimer(limitMs, () => this.#onSilent(isSilenceLimited));
    }
    this.#transfer = context.send(this.#endpoint, {}, {
      onHead: (status, received) => this.#onHead(status, received),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onFailure: (failure) => this.#onFailure(failure),
    });
  }

  #settle(result: TryResult): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#claim.dispose();
    this.#resolve(result);
  }

  #onSilent(isGivenUp: boolean): void {
    if (this.#isOver || this.#head) return;
    this.#note("silent");
    if (!isGivenUp) return;
    this.#stop({ kind: "unknown", reason: "the endpoint is silent" });
  }

  #stop(result: TryResult): void {
    if (this.#isOver) return;
    this.#transfer?.abort();
    if (this.#isStreaming && result.kind !== "caller-left") {
      this.#context.request.exchange.breakOff();
      this.#settle({ kind: "streamed", isWhole: false });
    } else this.#settle(result);
  }

  #onHead(status: number, headers: HeaderList): void {
    const { codec } = this.#context.services;
    this.#head = { status, headers };
    this.#fields = codec.readReply(status, headers);
    const { requestId } = this.#fields;
    if (requestId !== undefined && requestId !== this.#context.request.id) {
      this.#note("broken");
      this.#stop({ kind: "unknown", reason: "an answer to another request" });
      return;
    }
    this.#context.markFirstByte();
  }

  #onData(chunk: Uint8Array): boolean {
    if (this.#isOver) return true;
    const { exchange } = this.#context.request;
    if (this.#isStreaming) return this.#write(chunk);
    this.#chunks.push(chunk);
    this.#collectedBytes += chunk.byteLength;
    if (this.#collectedBytes <= MAX_COLLECTED_BYTES) return true;
    const head = this.#head!;
    if (!this.#isPassable(head.status)) return true;
    this.#isStreaming = true;
    const { codec } = this.#context.services;
    exchange.start(
      head.status,
      codec.replyHeaders(head.headers),
      isEndedByClose(exchange.method, head.status, head.headers),
    );
    exchange.onDidDrain(() => this.#transfer?.resume());
    const chunks = this.#chunks.splice(0);
    return chunks.map((collected) => this.#write(collected)).every(Boolean);
  }

  #write(chunk: Uint8Array): boolean {
    return this.#context.request.exchange.write(chunk);
  }

  #onEnd(): void {
    if (this.#isOver) return;
    const { status, headers } = this.#head!;
    if (this.#isStreaming) {
      this.#note("served");
      this.#context.request.exchange.end();
      this.#settle({ kind: "streamed", isWhole: true });
      return;
    }
    if (this.#fields!.isNotRun && status !== 400) {
      this.#note("refused");
      const reason = `refused by ${this.#endpoint.id}, status ${status}`;
      this.#settle({ kind: "not-run", reason });
      return;
    }
    if (!this.#isPassable(status)) {
      this.#note("broken");
      this.#settle({
        kind: "unknown",
        reason: `status ${status} proves nothing`,
      });
      return;
    }
    this.#note(status < 500 ? "served" : "failed");
    const answer = { status, headers, chunks: this.#chunks };
    this.#settle({ kind: "answered", answer });
  }

  /** A success has to be the endpoint's own; a promise of not-run has to be true. */
  #isPassable(status: number): boolean {
    if (status >= 200 && status < 300) return this.#fields!.isSigned;
    return status !== 429 && status !== 503 && status !== 408;
  }

  #onFailure({ kind, message }: TransferFailure): void {
    if (this.#isOver) return;
    this.#note(kind === "not-sent" ? "unreachable" : "broken");
    if (kind === "not-sent") {
      this.#settle({ kind: "not-run", reason: message });
    } else this.#stop({ kind: "unknown", reason: message });
  }

  #note(sign: HealthSign): void {
    const { health, id } = this.#endpoint;
    if (sign !== "served") {
      this.#context.log("info", "call-try-failed", {
        endpoint: id,
        sign,
        status: this.#head?.status,
        failureRate: Number(health.failureRate.toFixed(2)),
      });
    }
    this.#context.noteHealth(this.#endpoint, sign);
  }
}
