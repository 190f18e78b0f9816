/** The endpoints that the configuration names. */

import { Emitter } from "../../../base/common/event.ts";
import {
  asId,
  type EndpointId,
  type ServiceId,
  type ZoneName,
} from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import type { Configuration } from "../../configuration/common/configuration.ts";
import { serviceIdOf } from "../../configuration/common/configuration.ts";
import type { EndpointDirectory, KnownEndpoint } from "./endpoint_directory.ts";

/** A directory over the configuration; what leaves stays marked. */
export class ConfiguredEndpoints implements EndpointDirectory, Disposable {
  readonly #configuration: Configuration;
  readonly #didChange = new Emitter<ServiceId>();
  readonly #leaving = new Set<string>();
  readonly #owned = new DisposableStore();

  /** {@inheritDoc EndpointDirectory.onDidChangeEndpoints} */
  readonly onDidChangeEndpoints = this.#didChange.event;

  /** @param configuration - Names the endpoints. */
  constructor(configuration: Configuration) {
    this.#configuration = configuration;
    this.#owned.add(
      configuration.onDidChangeConfiguration(({ team, document }) => {
        for (const name of Object.keys(document?.services ?? {})) {
          this.#didChange.fire(serviceIdOf(team, name));
        }
      }),
    );
  }

  /** {@inheritDoc EndpointDirectory.endpointsOf} */
  endpointsOf(service: ServiceId): readonly KnownEndpoint[] {
    const endpoints = this.#configuration.service(service)?.config.endpoints ??
      [];
    return endpoints.map(({ id, address, zone }) => ({
      id: asId<EndpointId>(id),
      address,
      zone: asId<ZoneName>(zone),
      isLeaving: this.#leaving.has(`${service}/${id}`),
    }));
  }

  /** {@inheritDoc EndpointDirectory.markLeaving} */
  markLeaving(service: ServiceId, endpoint: EndpointId): void {
    this.#leaving.add(`${service}/${endpoint}`);
    this.#didChange.fire(service);
  }

  /** {@inheritDoc EndpointDirectory.markReturned} */
  markReturned(service: ServiceId, endpoint: EndpointId): void {
    this.#leaving.delete(`${service}/${endpoint}`);
    this.#didChange.fire(service);
  }

  /** Stops following the configuration. */
  dispose(): void {
    this.#owned.dispose();
    this.#didChange.dispose();
  }
}
