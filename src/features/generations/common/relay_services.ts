/** What the parts of the generation feature work with. */

import type { Clock } from "../../../base/common/clock.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { EngineClient } from "../../../services/endpoints/common/engine_client.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { Metrics } from "../../../services/metrics/common/metrics.ts";
import type { Configuration } from "../../configuration/common/configuration.ts";
import type { Dispatcher } from "../../dispatch/common/dispatcher.ts";
import type { IsolatedAdmission } from "../../quarantine/common/isolated_admission.ts";
import type { Quarantine } from "../../quarantine/common/quarantine.ts";
import type { RetryBudget } from "../../retries/common/retry_budget.ts";
import type { GenerationResumeRegistry } from "./generation_resume_registry.ts";
import type { Signer } from "./generation_id.ts";
import type { StallTimeouts } from "./stall_timeouts.ts";

/** Services and limits of the generation feature. */
export interface RelayServices {
  readonly clock: Clock;
  readonly host: HostId;
  readonly engines: EngineClient;
  readonly dispatcher: Dispatcher;
  readonly configuration: Configuration;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly signer: Signer;
  readonly retries: RetryBudget;
  readonly admission: IsolatedAdmission;
  readonly quarantine: Quarantine;
  readonly resumeRegistry: GenerationResumeRegistry;
  readonly stallTimeouts: StallTimeouts;
  /** @returns A collision-resistant hash of all parts and their borders. */
  fingerprint(parts: readonly string[]): string;
  /** @returns A text that no other generation has. */
  createNonce(): string;
  /** How long a generation goes on without its caller, in milliseconds. */
  readonly resumeWindowMs: number;
}
