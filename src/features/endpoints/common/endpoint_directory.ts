/** Contract: which endpoints a service has, and which of them are leaving. */

import type { Event } from "../../../base/common/event.ts";
import type {
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../base/common/ids.ts";
import type { Endpoint } from "../../../services/endpoints/common/engine_client.ts";

/** An endpoint with what is known of it. */
export interface DirectoryEndpoint extends Endpoint {
  readonly zone: ZoneName;
  /** A leaving endpoint gets no new work; what it runs goes on. */
  readonly isLeaving: boolean;
}

/** Endpoints of all services, as this daemon knows them. */
export interface EndpointDirectory {
  /** Fires with the service whose endpoints changed. */
  readonly onDidChangeEndpoints: Event<ServiceId>;
  /** @returns The endpoints of a service, leaving ones included. */
  endpointsOf(service: ServiceId): readonly DirectoryEndpoint[];
  /**
   * Takes note that an endpoint is leaving.
   *
   * @param service - Its service.
   * @param endpoint - The endpoint.
   * @param reason - Who said so, for the log.
   * @param incarnation - The process that leaves, when it is known; a successor
   * is used again.
   */
  markDraining(
    service: ServiceId,
    endpoint: EndpointId,
    reason: string,
    incarnation?: string,
  ): void;
  /**
   * Takes note that an endpoint is used again.
   *
   * @param service - Its service.
   * @param endpoint - The endpoint.
   * @param reason - Who said so, for the log.
   */
  markAvailable(service: ServiceId, endpoint: EndpointId, reason: string): void;
}
