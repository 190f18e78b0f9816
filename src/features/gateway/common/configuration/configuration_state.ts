/**
 * Holds the active configuration of the gateway and the time since it was last
 * confirmed to be the newest.
 */

import { Emitter } from "../../../../base/common/event.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { GatewayConfiguration } from "./gateway_configuration.ts";
import { RouteTable } from "./route_table.ts";

/** A configuration with its route table and store revision. */
export interface ActiveConfiguration {
  readonly configuration: GatewayConfiguration;
  readonly routes: RouteTable;
  /** Store revision at which the configuration was written. */
  readonly revision: number;
}

/** Keeps the newest configuration and ignores older revisions. */
export class ConfigurationState {
  readonly #logger: Logger;
  readonly #confirmationAgeMs: () => number;
  readonly #changed = new Emitter<ActiveConfiguration>();
  #current: ActiveConfiguration | undefined;

  /** Fires when a newer configuration becomes active. */
  readonly onDidChange = this.#changed.event;

  /**
   * @param logger - Logs each version that becomes active.
   * @param confirmationAgeMs - Returns the time since the local copy of the
   * store was last confirmed to be current, in milliseconds.
   */
  constructor(logger: Logger, confirmationAgeMs: () => number) {
    this.#logger = logger;
    this.#confirmationAgeMs = confirmationAgeMs;
  }

  /** The active configuration, if one was received. */
  get current(): ActiveConfiguration | undefined {
    return this.#current;
  }

  /**
   * Time since the configuration was last confirmed to be the newest, in
   * milliseconds.
   */
  get confirmationAgeMs(): number {
    return this.#confirmationAgeMs();
  }

  /**
   * Activates a configuration unless it is older than the active one.
   *
   * @param configuration - The configuration.
   * @param revision - The store revision at which it was written.
   */
  apply(configuration: GatewayConfiguration, revision: number): void {
    if (this.#current && revision <= this.#current.revision) return;
    const { version } = configuration;
    if (this.#current && version < this.#current.configuration.version) {
      // A store that was restored from a copy holds an earlier version until
      // the later one is written again.
      this.#logger.log("warn", "configuration-older", { version, revision });
      return;
    }
    this.#activate(configuration, revision);
  }

  /**
   * Activates a configuration that the store no longer holds, unless it is
   * older than the active one.
   *
   * @param configuration - The configuration, from a peer that had it in force.
   */
  adopt(configuration: GatewayConfiguration): void {
    const { version } = configuration;
    const current = this.#current;
    if (current && version <= current.configuration.version) return;
    // Whatever the store holds next is newer.
    this.#activate(configuration, current?.revision ?? -Infinity);
  }

  #activate(configuration: GatewayConfiguration, revision: number): void {
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
