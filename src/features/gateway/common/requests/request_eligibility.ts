/** Which endpoints one request may be sent to, at any time while it lasts. */

import type { ZoneName } from "../../../../base/common/ids.ts";
import type {
  PassThroughExchange,
  PassThroughFailure,
} from "../../../../services/http/common/pass_through_client.ts";
import { SpentPeers } from "../../../../services/relay/common/spent_peers.ts";
import type { RegionRestriction } from "../configuration/region_restriction.ts";
import type {
  AppliedRules,
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
  /** Peers that are not asked again to pass the request on. */
  readonly spentPeers = new SpentPeers();
  #regions: RegionRestriction | undefined;
  /** Number of the policy's change from which the lists were read. */
  #regionsChange = -1;
  /** Endpoints to which a rule has prevented a send. */
  readonly #prevented = new Set<RegisteredEndpoint>();

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
    const regions = () => this.#currentRegions();
    this.criteria = {
      service: context.request.service.id,
      excluded: context.excludedEndpoints,
      get softwareVersion() {
        return context.softwareVersion;
      },
      get regions() {
        return regions();
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

  /**
   * @returns Whether a send to an endpoint was prevented, by a rule or as no peer
   * may be asked again.
   */
  hasPrevented(endpoint: RegisteredEndpoint): boolean {
    const { address } = endpoint.announcement;
    return this.#prevented.has(endpoint) ||
      this.spentPeers.at(address).size > 0;
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

  /**
   * @returns Whether a peer in a zone may be sent the body of the request, to
   * pass it on.
   */
  mayPassTo(zone: ZoneName): boolean {
    return this.#context.services.regions.mayPassTo(
      zone,
      this.criteria.regions,
    );
  }

  /** Rules of the operator that leave no endpoint, if these are the reason. */
  get blockingRules(): AppliedRules | undefined {
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
   * Fields of the log line of a refusal for which no endpoint is eligible and
   * rules of the operator forbid some or all: the lists that applied, the evacuated
   * zones, and the endpoints counted by reason.
   */
  logFields(): Readonly<Record<string, string | undefined>> {
    const { eligibility } = this.#context.services;
    const rules = eligibility.appliedRules(this.criteria);
    if (!rules || this.eligible().length > 0) return {};
    const counts = [...eligibility.explain(this.criteria)].map((
      [reason, count],
    ) => `${reason}=${count}`);
    return {
      regionsBoundBy: rules.boundBy,
      evacuated: [...rules.evacuatedZones].join() || undefined,
      endpoints: counts.join(" "),
    };
  }

  /** The lists of the configuration that is in force now. */
  #currentRegions(): RegionRestriction | undefined {
    const { request, services } = this.#context;
    const { changeCount } = services.regions;
    if (this.#regionsChange !== changeCount) {
      this.#regionsChange = changeCount;
      const { keyHolder, route } = request;
      this.#regions = services.regions.restrictionOf(route, keyHolder);
    }
    return this.#regions;
  }
}
