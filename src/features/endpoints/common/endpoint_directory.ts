/** Directory of the endpoints of all services and their drain state. */

import type { Event } from "../../../base/common/event.ts";
import type {
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";

/** An endpoint with its zone and drain state. */
export interface DirectoryEndpoint extends Endpoint {
  readonly zone: ZoneName;
  /**
   * Whether the endpoint is draining: it gets no new work and completes what it
   * runs.
   */
  readonly isLeaving: boolean;
}

/** Endpoints of all services, as configured on this daemon. */
export interface EndpointDirectory {
  /** Fires with the service whose endpoints or drain states have changed. */
  readonly onDidChangeEndpoints: Event<ServiceId>;
  /** @returns The endpoints of a service, including draining ones. */
  endpointsOf(service: ServiceId): readonly DirectoryEndpoint[];
  /**
   * Marks an endpoint as draining.
   *
   * @param service - Service of the endpoint.
   * @param endpoint - Id of the endpoint.
   * @param reason - Source of the mark, for the log.
   * @param incarnation - Incarnation of the process that is draining, if it is
   * known; a successor is used again.
   */
  markDraining(
    service: ServiceId,
    endpoint: EndpointId,
    reason: string,
    incarnation?: string,
  ): void;
  /**
   * Marks an endpoint as available again.
   *
   * @param service - Service of the endpoint.
   * @param endpoint - Id of the endpoint.
   * @param reason - Source of the mark, for the log.
   */
  markAvailable(service: ServiceId, endpoint: EndpointId, reason: string): void;
}
