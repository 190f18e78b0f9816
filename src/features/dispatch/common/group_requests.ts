/** Messages between a group's dispatcher and those who ask it. */

import type { EndpointId } from "../../../base/common/ids.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";
import type { GrantEndReason, GrantId, Refusal } from "./dispatcher.ts";
import type { LengthFeatures } from "./length_model.ts";
import type { WorkspaceLimit } from "./workspace_limits.ts";

/** A request as the dispatcher of a group sees it. */
export interface GroupRequest extends LengthFeatures {
  /** Id of the grant, chosen by the one who asks. */
  readonly id: GrantId;
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks. */
  readonly blocks: readonly string[];
  readonly sizeBytes: number;
  /** Time from now in which a grant is of use, in milliseconds. */
  readonly patienceMs: number;
  readonly excludedEndpoints: readonly EndpointId[];
  readonly priority: number;
  readonly starvationMs: number;
  readonly share: number;
  readonly limit: WorkspaceLimit;
}

/** A grant of the group. */
export interface GroupGrant {
  readonly id: GrantId;
  readonly endpoint: Endpoint;
  readonly waitMs: number;
}

/** A grant in use, as its holder tells it to a new dispatcher. */
export interface GrantInUse {
  readonly request: GroupRequest;
  readonly endpoint: EndpointId;
  readonly generatedTokens: number;
}

/** Receives the decisions of a group's dispatcher. */
export interface GroupDispatchListener {
  /** @param grant - The request may run. */
  onGranted(grant: GroupGrant): void;
  /** Says that a request will not run, and why. */
  onRefused(id: GrantId, refusal: Refusal): void;
}

/** How a grant ended. */
export interface GrantRelease {
  readonly id: GrantId;
  readonly end: GrantEndReason;
  readonly generatedTokens: number;
}
