/** Types exchanged between the dispatcher of a group and its requesters. */

import type { EndpointId } from "../../../base/common/ids.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";
import type { GrantEndReason, GrantId, Refusal } from "./dispatcher.ts";
import type { LengthFeatures } from "./length_model.ts";
import type { WorkspaceLimit } from "./workspace_limits.ts";

/** Request for a grant as received by the dispatcher of a group. */
export interface GroupRequest extends LengthFeatures {
  /** Identifier of the grant, chosen by the requester. */
  readonly id: GrantId;
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks. */
  readonly blocks: readonly string[];
  readonly sizeBytes: number;
  /** Time until the deadline, in milliseconds. */
  readonly patienceMs: number;
  readonly excludedEndpoints: readonly EndpointId[];
  readonly priority: number;
  readonly starvationMs: number;
  readonly share: number;
  readonly limit: WorkspaceLimit;
}

/** Grant issued by the dispatcher of a group. */
export interface GroupGrant {
  readonly id: GrantId;
  readonly endpoint: Endpoint;
  readonly waitMs: number;
}

/**
 * Grant in use, as reported to a new dispatcher by the daemon that holds it.
 */
export interface GrantInUse {
  readonly request: GroupRequest;
  readonly endpoint: EndpointId;
  readonly generatedTokens: number;
}

/** Receives the decisions of a group's dispatcher. */
export interface GroupDispatchListener {
  /** Called when a request is granted. */
  onGranted(grant: GroupGrant): void;
  /** Called when a request is refused. */
  onRefused(id: GrantId, refusal: Refusal): void;
}

/** Release of a grant. */
export interface GrantRelease {
  readonly id: GrantId;
  readonly end: GrantEndReason;
  readonly generatedTokens: number;
}
