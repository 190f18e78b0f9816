/** Formats the recorded decisions about a request as text. */

import { assertNever } from "../../base/common/errors.ts";
import type { TimedDecision } from "../../features/explain/common/decision_log.ts";

/** Decisions of a daemon about a request. */
export interface Explanation {
  readonly host: string;
  readonly requestId: string;
  readonly decisions: readonly TimedDecision[];
}

/**
 * Formats an explanation.
 *
 * @param explanation - Decisions of a daemon about a request.
 * @returns A heading, one line per decision with the time since the first
 * decision, and a line about what the request is waiting for, if it is running.
 */
export function formatExplanation(
  { host, requestId, decisions }: Explanation,
): string[] {
  const startMs = decisions[0]?.atMs ?? 0;
  const startTime = new Date(startMs).toISOString();
  const lines = decisions.map((decision) => {
    const sinceMs = Math.round(decision.atMs - startMs);
    return `${`+${sinceMs} ms`.padStart(12)}  ${describeDecision(decision)}`;
  });
  const heading = `request ${requestId} at ${host}, from ${startTime}`;
  return [heading, ...lines, ...describePending(decisions.at(-1))];
}

/** Describes what an unfinished request is currently waiting for. */
function describePending(last: TimedDecision | undefined): string[] {
  switch (last?.kind) {
    case "asked":
      return ["waiting for an endpoint"];
    case "granted":
      return ["waiting for the response of the endpoint"];
    case "started":
    case "resumed":
      return ["streaming to the caller"];
    case "refused":
    case "released":
    case "caller-gone":
    case "ended":
    case undefined:
      return [];
    default:
      return assertNever(last);
  }
}

function describeDecision(decision: TimedDecision): string {
  switch (decision.kind) {
    case "asked":
      return describeRequest(decision);
    case "granted":
      return `granted ${decision.endpoint} (${decision.address}) ` +
        `at priority ${decision.priority} after ${
          Math.round(decision.waitMs)
        } ms in the queue`;
    case "refused":
      return `refused: ${decision.reason}: ${decision.detail}`;
    case "released":
      return `released ${decision.endpoint}: ${decision.end}, ` +
        `${decision.generatedTokens} tokens generated`;
    case "started":
      return `the endpoint started generation ${decision.generation}`;
    case "resumed":
      return `the caller resumed ${decision.generation} ` +
        `at token ${decision.fromOffset}`;
    case "caller-gone":
      return "the caller disconnected";
    case "ended":
      return `ended with outcome ${decision.outcome}: ${decision.detail}, ` +
        `${decision.deliveredTokens} tokens delivered`;
    default:
      return assertNever(decision);
  }
}

function describeRequest(decision: TimedDecision & { kind: "asked" }): string {
  const { service, workspace, className, excludedEndpoints } = decision;
  const exclusions = excludedEndpoints.length === 0
    ? ""
    : `, excluding ${excludedEndpoints.join(", ")} after failed attempts`;
  return `${workspace} requested ${service} with class ${className} ` +
    `(${decision.sizeBytes} bytes, at most ${decision.maxTokens} tokens)` +
    exclusions;
}
