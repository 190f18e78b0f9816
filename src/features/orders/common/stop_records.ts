/** Stops of rollouts, kept in the store so that the next holder honours them. */

import {
  asId,
  type EndpointId,
  type ServiceId,
  type ZoneName,
} from "../../../base/common/ids.ts";
import {
  type Eventually,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type {
  StoreClient,
  StoreFailure,
} from "../../../services/store/common/store_client.ts";
import { type DesiredState, toDesiredKey } from "./rollout.ts";

/** A recorded stop. */
export interface StopRecord {
  readonly desiredKey: string;
  readonly endpoint: EndpointId;
  readonly reason: string;
}

/** Reads and writes the stops of one zone. */
export class StopRecords {
  readonly #store: StoreClient;
  readonly #zone: ZoneName;

  /**
   * @param store - The store.
   * @param zone - The zone.
   */
  constructor(store: StoreClient, zone: ZoneName) {
    this.#store = store;
    this.#zone = zone;
  }

  /** @returns The stop of a service's rollout to this desired state, if any. */
  async read(
    service: ServiceId,
    desired: DesiredState,
  ): Eventually<StoreFailure, StopRecord | undefined> {
    const entry = await this.#store.get(this.#keyOf(service));
    return entry.map((found) => {
      const record = found && parseRecord(found.value);
      return record?.desiredKey === toDesiredKey(desired) ? record : undefined;
    });
  }

  /** Records a stop, in place of an earlier one of the same service. */
  async write(
    service: ServiceId,
    record: StopRecord,
  ): Eventually<StoreFailure, void> {
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
