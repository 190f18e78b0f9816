/** Makes the request of a call step, as the HTTP front would. */

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
 * @param core - The daemon that the call is made at.
 * @param requestId - Id of the request.
 * @param step - The step.
 * @returns The request; throws when the daemon has no route or class for it.
 */
export function toCallRequest(
  core: DaemonCore,
  requestId: RequestId,
  step: CallStep,
): CallRequest {
  const path = `/${step.service}/calls`;
  const route = core.configuration.findCallRoute(TEAM, path);
  const known = core.configuration.resolveClass(TEAM, [step.class], undefined);
  if (!route || !known) throw new Error(`no route or class for ${step.as}`);
  return {
    requestId,
    workspace: toWorkspaceId(TEAM, step.workspace),
    route,
    class: known,
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
