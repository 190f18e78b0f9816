/** Dependencies shared by the modules of the generation feature. */

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

/** Services and settings used by the generation feature. */
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
  /**
   * @returns A collision-resistant hash of the parts. It depends on the part
   * boundaries as well.
   */
  fingerprint(parts: readonly string[]): string;
  /** @returns A string that is unique to one generation. */
  createNonce(): string;
  /** Time in milliseconds that a generation keeps running without a caller. */
  readonly resumeWindowMs: number;
}
