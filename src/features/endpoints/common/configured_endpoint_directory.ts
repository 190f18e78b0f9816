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
import { type DrainMark, isNewerDrainMark } from "./drain_mark.ts";
import type {
  DirectoryEndpoint,
  EndpointDirectory,
} from "./endpoint_directory.ts";

/** A directory over the configuration, with the last word on who is leaving. */
export class ConfiguredEndpointDirectory
  implements EndpointDirectory, Disposable {
  readonly #configuration: Configuration;
  readonly #endpointsChanged = new Emitter<ServiceId>();
  readonly #drainMarkChanged = new Emitter<DrainMark>();
  readonly #drainMarks = new Map<string, DrainMark>();
  readonly #nowMs: () => number;
  readonly #disposables = new DisposableStore();

  /** {@inheritDoc EndpointDirectory.onDidChangeEndpoints} */
  readonly onDidChangeEndpoints = this.#endpointsChanged.event;

  /** Fires with each mark that is new here. */
  readonly onDidChangeDrainMark = this.#drainMarkChanged.event;

  /**
   * @param configuration - Names the endpoints.
   * @param nowMs - Wall clock for the order of the marks.
   */
  constructor(configuration: Configuration, nowMs: () => number = () => 0) {
    this.#configuration = configuration;
    this.#nowMs = nowMs;
    this.#disposables.add(
      configuration.onDidChangeConfiguration(({ team, document }) => {
        for (const name of Object.keys(document?.services ?? {})) {
          this.#endpointsChanged.fire(toServiceId(team, name));
        }
      }),
    );
  }

  /** {@inheritDoc EndpointDirectory.endpointsOf} */
  endpointsOf(service: ServiceId): readonly DirectoryEndpoint[] {
    const endpoints =
      this.#configuration.findService(service)?.config.endpoints ??
        [];
    return endpoints.map(({ id, address, zone }) => ({
      id: asId<EndpointId>(id),
      address,
      zone: asId<ZoneName>(zone),
      isLeaving: this.#drainMarks.get(`${service}/${id}`)?.isLeaving ?? false,
    }));
  }

  /** All marks that are held. */
  drainMarks(): readonly DrainMark[] {
    return [...this.#drainMarks.values()];
  }

  /** @returns The last word on an endpoint, if there is one. */
  drainMarkOf(service: ServiceId, endpoint: EndpointId): DrainMark | undefined {
    return this.#drainMarks.get(`${service}/${endpoint}`);
  }

  /** {@inheritDoc EndpointDirectory.markDraining} */
  markDraining(
    service: ServiceId,
    endpoint: EndpointId,
    reason: string,
    incarnation?: string,
  ): void {
    const current = this.drainMarkOf(service, endpoint);
    const isCurrent = current?.isLeaving &&
      (incarnation === undefined || current.incarnation === incarnation);
    if (isCurrent) return;
    this.applyDrainMark({
      service,
      endpoint,
      reason,
      isLeaving: true,
      stampMs: this.#nextStampMs(current),
      incarnation,
    });
  }

  /** {@inheritDoc EndpointDirectory.markAvailable} */
  markAvailable(
    service: ServiceId,
    endpoint: EndpointId,
    reason: string,
  ): void {
    const current = this.drainMarkOf(service, endpoint);
    if (!current?.isLeaving) return;
    const stampMs = this.#nextStampMs(current);
    this.applyDrainMark({
      service,
      endpoint,
      reason,
      isLeaving: false,
      stampMs,
    });
  }

  /**
   * Takes a mark when it is later than the one that is held.
   *
   * @param mark - A mark of this daemon or of another one.
   */
  applyDrainMark(mark: DrainMark): void {
    const key = `${mark.service}/${mark.endpoint}`;
    if (!isNewerDrainMark(mark, this.#drainMarks.get(key))) return;
    this.#drainMarks.set(key, mark);
    this.#drainMarkChanged.fire(mark);
    this.#endpointsChanged.fire(mark.service);
  }

  #nextStampMs(current: DrainMark | undefined): number {
    return Math.max(this.#nowMs(), (current?.stampMs ?? 0) + 1);
  }

  /** Stops following the configuration. */
  dispose(): void {
    this.#disposables.dispose();
    this.#endpointsChanged.dispose();
    this.#drainMarkChanged.dispose();
  }
}
