/** Which endpoints one request may be sent to, at any time while it lasts. */

import type {
  PassThroughExchange,
  PassThroughFailure,
} from "../../../../services/http/common/pass_through_client.ts";
import type {
  BlockingRules,
  EligibilityCriteria,
  RuleIneligibility,
} from "../endpoints/endpoint_eligibility.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { RequestContext } from "./request_context.ts";

/** Retry delay where rules of the operator leave no endpoint. */
export const NO_ALLOWED_RETRY_AFTER_MS = 1_000;

/** Eligibility of the endpoints for one request. */
export class RequestEligibility {
  readonly #context: RequestContext;
  readonly criteria: EligibilityCriteria;
  /** Endpoints to which a rule has prevented a send. */
  readonly #prevented = new Set<RegisteredEndpoint>();

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
    this.criteria = {
      service: context.request.service.id,
      excluded: context.excludedEndpoints,
      get softwareVersion() {
        return context.softwareVersion;
      },
    };
  }

  /** @returns The rule of the operator that forbids an endpoint, if one does. */
  ruleAgainst(endpoint: RegisteredEndpoint): RuleIneligibility | undefined {
    return this.#context.services.eligibility.checkRules(
      endpoint,
      this.criteria.regions,
    );
  }

  /**
   * Checks the rules of the operator just before a send. One that took effect
   * after the endpoint was chosen prevents it.
   *
   * @param endpoint - The endpoint that was chosen.
   * @param onFailure - Called later if the send is prevented.
   * @returns An exchange that fails; `undefined` if the request may be sent.
   */
  preventSend(
    endpoint: RegisteredEndpoint,
    onFailure: (failure: PassThroughFailure) => void,
  ): PassThroughExchange | undefined {
    const rule = this.ruleAgainst(endpoint);
    if (!rule) return undefined;
    this.#prevented.add(endpoint);
    this.#context.log("info", "send-prevented", {
      endpoint: endpoint.id,
      reason: rule.kind,
    });
    const message = `a rule forbids ${endpoint.id}: ${rule.kind}`;
    // The caller of `send` receives the exchange first.
    const failure = this.#context.setTimer(
      0,
      () => onFailure({ kind: "not-sent", message }),
    );
    return { abort: () => failure.dispose(), resume: () => undefined };
  }

  /** @returns Whether a send to an endpoint was prevented. */
  hasPrevented(endpoint: RegisteredEndpoint): boolean {
    return this.#prevented.has(endpoint);
  }

  /** @returns Whether the rules of the operator allow an endpoint. */
  isAllowed(endpoint: RegisteredEndpoint): boolean {
    return this.ruleAgainst(endpoint) === undefined;
  }

  /**
   * Returns whether an endpoint that was chosen earlier may still be sent the
   * request.
   */
  mayStillUse(endpoint: RegisteredEndpoint): boolean {
    return endpoint.isUsable && this.isAllowed(endpoint);
  }

  /** @returns The endpoints that may serve the request now. */
  eligible(): RegisteredEndpoint[] {
    return this.#context.services.eligibility.eligible(this.criteria);
  }

  /** Rules of the operator that leave no endpoint, if these are the reason. */
  get blockingRules(): BlockingRules | undefined {
    return this.#context.services.eligibility.blockingRules(this.criteria);
  }

  /** Reason for a refusal where rules of the operator leave no endpoint. */
  get blockedReason(): string | undefined {
    const rules = this.blockingRules;
    if (!rules) return undefined;
    return rules.evacuatedZones.size > 0
      ? "the zones of all allowed endpoints are evacuated"
      : "no endpoint is in an allowed region";
  }

  /**
   * Fields of the log line of a refusal: the lists that applied, the evacuated
   * zones, and the endpoints counted by reason.
   */
  logFields(): Readonly<Record<string, string | undefined>> {
    const rules = this.blockingRules;
    if (!rules) return {};
    const { eligibility } = this.#context.services;
    const counts = [...eligibility.explain(this.criteria)].map((
      [reason, count],
    ) => `${reason}=${count}`);
    return {
      regionsBoundBy: rules.boundBy,
      evacuated: [...rules.evacuatedZones].join() || undefined,
      endpoints: counts.join(" "),
    };
  }
}
