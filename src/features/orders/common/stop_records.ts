/**
 * Records of stopped rollouts in the store. A new lease holder reads them so
 * that it does not resume a rollout that failed under an earlier holder.
 */

import {
  asId,
  type EndpointId,
  type ServiceId,
  type ZoneName,
} from "../../../base/common/ids.ts";
import {
  type AsyncEither,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type {
  StoreClient,
  StoreFailure,
} from "../../../services/store/common/store_client.ts";
import { type DesiredState, toDesiredKey } from "./rollout.ts";

/** Record of a stopped rollout. */
export interface StopRecord {
  readonly desiredKey: string;
  readonly endpoint: EndpointId;
  readonly reason: string;
}

/** Reads and writes the stop records of one zone. */
export class StopRecords {
  readonly #store: StoreClient;
  readonly #zone: ZoneName;

  /**
   * @param store - The store.
   * @param zone - The zone whose rollouts are recorded.
   */
  constructor(store: StoreClient, zone: ZoneName) {
    this.#store = store;
    this.#zone = zone;
  }

  /**
   * Reads the stop of a rollout.
   *
   * @param service - The service.
   * @param desired - Desired state of the rollout.
   * @returns The record, or `undefined` if this rollout has not been stopped.
   */
  async read(
    service: ServiceId,
    desired: DesiredState,
  ): AsyncEither<StoreFailure, StopRecord | undefined> {
    const entry = await this.#store.get(this.#keyOf(service));
    return entry.map((found) => {
      const record = found && parseRecord(found.value);
      return record?.desiredKey === toDesiredKey(desired) ? record : undefined;
    });
  }

  /** Writes a stop record, replacing an earlier record of the same service. */
  async write(
    service: ServiceId,
    record: StopRecord,
  ): AsyncEither<StoreFailure, void> {
    const key = this.#keyOf(service);
    const current = await this.#store.get(key);
    if (current.isLeft()) return current.map(() => undefined);
    const written = await this.#store.put({
      key,
      value: JSON.stringify(record),
      expectedRevision: rightOf(current)?.revision ?? 0,
    });
    return written.chain(() => Right(undefined));
  }

  #keyOf(service: ServiceId): string {
    return `orders/stopped/${this.#zone}/${service}`;
  }
}

function parseRecord(value: string): StopRecord | undefined {
  try {
    const { desiredKey, endpoint, reason } = JSON.parse(value) as Record<
      string,
      string
    >;
    if (!desiredKey || !endpoint) return undefined;
    return {
      desiredKey,
      endpoint: asId<EndpointId>(endpoint),
      reason: reason ?? "",
    };
  } catch {
    return undefined;
  }
}
