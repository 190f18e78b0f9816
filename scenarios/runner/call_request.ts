/**
 * Converts a `call` step of a scenario into the request that the HTTP server of
 * a daemon would create for it.
 */

import { asId, type RequestId } from "../../src/base/common/ids.ts";
import type { DaemonCore } from "../../src/daemon/common/daemon_core.ts";
import type { CallRequest } from "../../src/features/calls/common/call_service.ts";
import {
  toServiceId,
  toWorkspaceId,
} from "../../src/features/configuration/common/configuration.ts";
import type { IdempotencyKey } from "../../src/features/ledger/common/claim_ledger.ts";
import { SIMULATION_TEAM } from "../../standins/world/simulated_deployment.ts";
import type { CallStep } from "./scenario_schema.ts";

const TEAM = asId<Parameters<typeof toServiceId>[0]>(SIMULATION_TEAM);

/**
 * Creates the request of a call step. Throws if the configuration of the daemon
 * has no route or class for the call.
 *
 * @param core - Core of the daemon that receives the call.
 * @param requestId - Unique ID of the request.
 * @param step - Call step of the scenario.
 * @returns The request to pass to the call service.
 */
export function createCallRequest(
  core: DaemonCore,
  requestId: RequestId,
  step: CallStep,
): CallRequest {
  const path = `/${step.service}/calls`;
  const route = core.configuration.findCallRoute(TEAM, path);
  const callClass = core.configuration.resolveClass(
    TEAM,
    [step.class],
    undefined,
  );
  if (!route || !callClass) throw new Error(`no route or class for ${step.as}`);
  return {
    requestId,
    workspace: toWorkspaceId(TEAM, step.workspace),
    route,
    class: callClass,
    method: step.method,
    path,
    headers: [],
    body: Buffer.from(step.body),
    idempotencyKey: step.key === undefined
      ? undefined
      : asId<IdempotencyKey>(step.key),
    signal: new AbortController().signal,
  };
}
