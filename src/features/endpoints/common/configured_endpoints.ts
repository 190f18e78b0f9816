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
import { toServiceId } from "../../configuration/common/configuration.ts";
import { type EndpointMark, isLaterMark } from "./endpoint_mark.ts";
import type { EndpointDirectory, KnownEndpoint } from "./endpoint_directory.ts";

/** A directory over the configuration, with the last word on who is leaving. */
export class ConfiguredEndpoints implements EndpointDirectory, Disposable {
  readonly #configuration: Configuration;
  readonly #didChange = new Emitter<ServiceId>();
  readonly #didMark = new Emitter<EndpointMark>();
  readonly #marks = new Map<string, EndpointMark>();
  readonly #nowMs: () => number;
  readonly #owned = new DisposableStore();

  /** {@inheritDoc EndpointDirectory.onDidChangeEndpoints} */
  readonly onDidChangeEndpoints = this.#didChange.event;

  /** Fires with each mark that is new here. */
  readonly onDidMark = this.#didMark.event;

  /**
   * @param configuration - Names the endpoints.
   * @param nowMs - Wall clock for the order of the marks.
   */
  constructor(configuration: Configuration, nowMs: () => number = () => 0) {
    this.#configuration = configuration;
    this.#nowMs = nowMs;
    this.#owned.add(
      configuration.onDidChangeConfiguration(({ team, document }) => {
        for (const name of Object.keys(document?.services ?? {})) {
          this.#didChange.fire(toServiceId(team, name));
        }
      }),
    );
  }

  /** {@inheritDoc EndpointDirectory.endpointsOf} */
  endpointsOf(service: ServiceId): readonly KnownEndpoint[] {
    const endpoints =
      this.#configuration.findService(service)?.config.endpoints ??
        [];
    return endpoints.map(({ id, address, zone }) => ({
      id: asId<EndpointId>(id),
      address,
      zone: asId<ZoneName>(zone),
      isLeaving: this.#marks.get(`${service}/${id}`)?.isLeaving ?? false,
    }));
  }

  /** All marks that are held. */
  marks(): readonly EndpointMark[] {
    return [...this.#marks.values()];
  }

  /** @returns The last word on an endpoint, if there is one. */
  markOf(service: ServiceId, endpoint: EndpointId): EndpointMark | undefined {
    return this.#marks.get(`${service}/${endpoint}`);
  }

  /** {@inheritDoc EndpointDirectory.markLeaving} */
  markLeaving(
    service: ServiceId,
    endpoint: EndpointId,
    reason: string,
    incarnation?: string,
  ): void {
    const known = this.markOf(service, endpoint);
    const isKnown = known?.isLeaving &&
      (incarnation === undefined || known.incarnation === incarnation);
    if (isKnown) return;
    this.applyMark({
      service,
      endpoint,
      reason,
      isLeaving: true,
      stampMs: this.#nextStampMs(known),
      incarnation,
    });
  }

  /** {@inheritDoc EndpointDirectory.markReturned} */
  markReturned(
    service: ServiceId,
    endpoint: EndpointId,
    reason: string,
  ): void {
    const known = this.markOf(service, endpoint);
    if (!known?.isLeaving) return;
    const stampMs = this.#nextStampMs(known);
    this.applyMark({ service, endpoint, reason, isLeaving: false, stampMs });
  }

  /**
   * Takes a mark when it is later than the one that is held.
   *
   * @param mark - A mark of this daemon or of another one.
   */
  applyMark(mark: EndpointMark): void {
    const key = `${mark.service}/${mark.endpoint}`;
    if (!isLaterMark(mark, this.#marks.get(key))) return;
    this.#marks.set(key, mark);
    this.#didMark.fire(mark);
    this.#didChange.fire(mark.service);
  }

  #nextStampMs(known: EndpointMark | undefined): number {
    return Math.max(this.#nowMs(), (known?.stampMs ?? 0) + 1);
  }

  /** Stops following the configuration. */
  dispose(): void {
    this.#owned.dispose();
    this.#didChange.dispose();
    this.#didMark.dispose();
  }
}
