/** Store client whose writes can take effect after the client timed out. */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import { type AsyncEither, Left } from "../../src/base/common/result.ts";
import type {
  StoreFailure,
  StorePut,
  StoreWriteResult,
} from "../../src/services/store/common/store_client.ts";
import { InProcessStoreClient } from "../store/in_process_store_client.ts";
import type { KvStore } from "../store/kv_store.ts";

const CLIENT_TIMEOUT_MS = 300;
const WRITE_DELAY_MS = 2_000;

/** Number of upcoming writes to delay, shared by all hosts. */
export interface DelayedWriteFault {
  count: number;
}

/** Adds delayed writes to the faults of the in-process store client. */
export class DelayedWriteStoreClient extends InProcessStoreClient {
  readonly #processClock: Clock;
  readonly #networkClock: Clock;
  readonly #kvStore: KvStore;
  readonly #delayedWrites: DelayedWriteFault;

  /**
   * @param processClock - Clock of the host process.
   * @param networkClock - Clock of writes in flight, which continue while the
   * process is frozen.
   * @param store - Store to write to.
   * @param delayedWrites - Number of upcoming writes to delay.
   */
  constructor(
    processClock: Clock,
    networkClock: Clock,
    store: KvStore,
    delayedWrites: DelayedWriteFault,
  ) {
    super(processClock, store);
    this.#processClock = processClock;
    this.#networkClock = networkClock;
    this.#kvStore = store;
    this.#delayedWrites = delayedWrites;
  }

  /** {@inheritDoc StoreClient.put} */
  override async put(
    write: StorePut,
  ): AsyncEither<StoreFailure, StoreWriteResult> {
    if (this.#delayedWrites.count <= 0) return await super.put(write);
    this.#delayedWrites.count--;
    this.#networkClock.setTimer(
      WRITE_DELAY_MS,
      () => void this.#kvStore.put(write),
    );
    await sleep(this.#processClock, CLIENT_TIMEOUT_MS);
    return Left({
      kind: "unknown",
      step: "store.put",
      peer: "store",
      detail: "the store did not respond",
    });
  }
}
