/** Logs when a gateway daemon becomes ready or stops to be. */

import type { EndpointRegistry } from "../../features/gateway/common/endpoints/endpoint_registry.ts";
import type { ConfigurationState } from "../../features/gateway/common/configuration/configuration_state.ts";
import type { Logger } from "../../services/log/common/logger.ts";
import type { StoreMirror } from "../../services/mirror/common/store_mirror.ts";

/** Dependencies of a {@link ReadinessLog}. */
export interface ReadinessLogServices {
  readonly logger: Logger;
  readonly mirror: StoreMirror;
  readonly state: ConfigurationState;
  readonly registry: EndpointRegistry;
}

/** Logs changes of the readiness of one daemon. */
export class ReadinessLog {
  readonly #services: ReadinessLogServices;
  #wasReady = false;

  /** @param services - Sources of the fields of a line. */
  constructor(services: ReadinessLogServices) {
    this.#services = services;
  }

  /**
   * Logs the readiness if it has changed.
   *
   * @param isReady - Whether the daemon is ready.
   * @param isStopping - Whether it is stopping.
   */
  update(isReady: boolean, isStopping: boolean): void {
    if (isReady === this.#wasReady) return;
    this.#wasReady = isReady;
    const { logger, mirror, registry, state } = this.#services;
    logger.log("info", isReady ? "ready" : "not-ready", {
      sinceStartMs: Math.round(process.uptime() * 1_000),
      confirmedAgeMs: Math.round(mirror.confirmationAgeMs),
      version: state.current?.configuration.version,
      endpoints: registry.all.length,
      stopping: isStopping,
    });
  }
}
