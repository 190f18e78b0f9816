/**
 * Refuses one request that crashes the endpoints that run it, as a whole or by
 * a part of its prompt.
 */

import type { QuarantinedRequest } from "../../../quarantine/common/suspect_table.ts";
import type {
  PromptProbe,
  PromptRefusal,
} from "../crashes/prompt_part_monitor.ts";
import type { RequestContext } from "./request_context.ts";

/** Time after which the probe of a part has usually ended. */
const PROBATION_RETRY_AFTER_MS = 1_000;

/** Why a request is refused, and for how long. */
interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
  readonly endpoints: string;
  /** Wall-clock times in milliseconds of the quarantine, if there is one. */
  readonly sinceMs?: number;
  readonly untilMs?: number;
  readonly parts?: string;
}

/** Quarantine as it concerns one request. */
export class RequestQuarantine {
  readonly #context: RequestContext;
  #probe: PromptProbe | undefined;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /** Whether the request must not be sent to an endpoint. */
  get isRefused(): boolean {
    const { crashMonitor } = this.#context.services;
    return crashMonitor.quarantineOf(this.#context) !== undefined ||
      this.#promptRefusal() !== undefined;
  }

  /**
   * Ends the request if it crashes endpoints. A request with a part on
   * probation is sent if it is the only one.
   *
   * @returns Whether the request was ended.
   */
  refuse(): boolean {
    const context = this.#context;
    const refusal = this.#refusal();
    if (!refusal) return false;
    const { endpoints, parts, reason, retryAfterMs, sinceMs, untilMs } =
      refusal;
    context.services.metrics.count("requests_refused_as_crashing");
    context.log("warn", "request-refused-as-crashing", {
      fingerprint: context.fingerprint,
      workspace: context.workspace,
      parts,
      endpoints,
      since: sinceMs === undefined ? undefined : toIsoTime(sinceMs),
      until: untilMs === undefined ? undefined : toIsoTime(untilMs),
    });
    context.refuse(reason, retryAfterMs);
    return true;
  }

  #refusal(): Refusal | undefined {
    const { services } = this.#context;
    const whole = services.crashMonitor.quarantineOf(this.#context);
    if (whole) return this.#describeWhole(whole);
    const prompt = this.#promptRefusal();
    if (!prompt) return undefined;
    if (prompt.kind === "probation" && this.#tryProbe(prompt.part)) {
      return undefined;
    }
    return this.#describePrompt(prompt);
  }

  #promptRefusal(): PromptRefusal | undefined {
    const { promptParts, request, services } = this.#context;
    const { prompts } = services.crashMonitor;
    return prompts.refusalOf(request.service.id, promptParts, this.#probe);
  }

  #tryProbe(part: string): boolean {
    const { disposables, request, services } = this.#context;
    if (this.#probe) return false;
    const { prompts } = services.crashMonitor;
    const probe = prompts.tryProbe(request.service.id, part);
    this.#probe = probe && disposables.add(probe);
    return probe !== undefined;
  }

  #describeWhole({ endpoints, sinceMs, untilMs }: QuarantinedRequest): Refusal {
    const named = endpoints.join(", ");
    return {
      reason:
        `this request was running on each of these endpoints when it crashed: ${named}`,
      retryAfterMs: this.#remainingMs(untilMs),
      endpoints: named,
      sinceMs,
      untilMs,
    };
  }

  #describePrompt(refusal: PromptRefusal): Refusal {
    switch (refusal.kind) {
      case "quarantined": {
        const { endpoints, parts, sinceMs, untilMs } = refusal.quarantine;
        const named = endpoints.join(", ");
        const listed = parts.join(", ");
        return {
          reason:
            `each of these endpoints crashed when it answered a prompt with ${listed}: ${named}`,
          retryAfterMs: this.#remainingMs(untilMs),
          endpoints: named,
          sinceMs,
          untilMs,
          parts: listed,
        };
      }
      case "probation":
        return {
          reason:
            `another request shows first whether prompts with ${refusal.part} still crash endpoints`,
          retryAfterMs: PROBATION_RETRY_AFTER_MS,
          endpoints: "",
          parts: refusal.part,
        };
    }
  }

  #remainingMs(untilMs: number): number {
    return Math.max(1, untilMs - this.#context.services.clock.nowMs());
  }
}

function toIsoTime(timeMs: number): string {
  return new Date(timeMs).toISOString();
}
