/** The configuration in force, and until when it can be vouched for. */

import { Emitter } from "../../../base/common/event.ts";
import type { Logger } from "../../../services/log/common/logger.ts";
import type { GatewayConfiguration } from "./gateway_configuration.ts";
import { RouteTable } from "./route_table.ts";

/** A configuration with what is derived from it. */
export interface ActiveConfiguration {
  readonly configuration: GatewayConfiguration;
  readonly routes: RouteTable;
  /** Revision of the store at which it was written. */
  readonly revision: number;
}

/** Keeps the newest configuration; an older one is never taken. */
export class ConfigurationState {
  readonly #logger: Logger;
  readonly #confirmationAgeMs: () => number;
  readonly #changed = new Emitter<ActiveConfiguration>();
  #current: ActiveConfiguration | undefined;

  /** Fires when a newer configuration is in force. */
  readonly onDidChange = this.#changed.event;

  /**
   * @param logger - Where versions are told.
   * @param confirmationAgeMs - Time since the store's state was confirmed.
   */
  constructor(logger: Logger, confirmationAgeMs: () => number) {
    this.#logger = logger;
    this.#confirmationAgeMs = confirmationAgeMs;
  }

  /** The configuration in force, if one is known. */
  get current(): ActiveConfiguration | undefined {
    return this.#current;
  }

  /** Time since it was known to be the newest, in milliseconds. */
  get confirmationAgeMs(): number {
    return this.#confirmationAgeMs();
  }

  /**
   * @param configuration - A configuration that was read.
   * @param revision - Its revision.
   */
  apply(configuration: GatewayConfiguration, revision: number): void {
    if (this.#current && revision <= this.#current.revision) return;
    const routes = new RouteTable(configuration.routes);
    this.#current = { configuration, routes, revision };
    this.#logger.log("info", "configuration-in-force", {
      version: configuration.version,
      revision,
      routes: configuration.routes.length,
      keys: configuration.keys?.size,
      confirmedAgeMs: Math.round(this.confirmationAgeMs),
    });
    this.#changed.fire(this.#current);
  }
}
