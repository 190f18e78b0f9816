/** Store client that accesses a simulated store in the same process. */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../../src/base/common/lifecycle.ts";
import { type AsyncEither, Left, Right } from "../../src/base/common/result.ts";
import type {
  LeaseId,
  StoreChange,
  StoreClient,
  StoreDelete,
  StoreEntry,
  StoreFailure,
  StoreLease,
  StoreListing,
  StorePut,
  StoreWriteResult,
  WatchListener,
} from "../../src/services/store/common/store_client.ts";
import type { CallKind, KvStore } from "./kv_store.ts";

const NETWORK_DELAY_MS = 1;
const LOST_ANSWER_TIMEOUT_MS = 3_000;

/** Store client of one simulated host, with a simulated network connection. */
export class InProcessStoreClient implements StoreClient {
  /** Whether the connection to the store is cut. Calls then time out unsent. */
  isDisconnected = false;
  readonly #clock: Clock;
  readonly #store: KvStore;
  readonly #watches = new DisposableStore();

  /**
   * @param clock - Clock for network delays and timeouts.
   * @param store - The simulated store.
   */
  constructor(clock: Clock, store: KvStore) {
    this.#clock = clock;
    this.#store = store;
  }

  /** {@inheritDoc StoreClient.get} */
  get(key: string): AsyncEither<StoreFailure, StoreEntry | undefined> {
    return this.#call("get", "read", () => this.#store.get(key));
  }

  /** {@inheritDoc StoreClient.list} */
  list(prefix: string): AsyncEither<StoreFailure, StoreListing> {
    return this.#call("list", "read", () => this.#store.list(prefix));
  }

  /** {@inheritDoc StoreClient.put} */
  put(write: StorePut): AsyncEither<StoreFailure, StoreWriteResult> {
    return this.#call("put", "write", () => this.#store.put(write));
  }

  /** {@inheritDoc StoreClient.delete} */
  delete(write: StoreDelete): AsyncEither<StoreFailure, StoreWriteResult> {
    return this.#call("delete", "write", () => this.#store.delete(write));
  }

  /** {@inheritDoc StoreClient.watch} */
  watch(
    prefix: string,
    afterRevision: number,
    listener: WatchListener,
  ): Disposable {
    const scheduleEnd = (reason: "lost" | "compacted"): Disposable =>
      this.#clock.setTimer(NETWORK_DELAY_MS, () => listener.onEnded(reason));
    if (
      this.isDisconnected || this.#store.faults.isDown ||
      !this.#store.admitCall("read")
    ) {
      return scheduleEnd("lost");
    }
    const missed = this.#store.changesAfter(prefix, afterRevision);
    if (!missed) return scheduleEnd("compacted");
    const deliver = (changes: readonly StoreChange[]): void => {
      this.#clock.setTimer(NETWORK_DELAY_MS, () => {
        if (isOpen) listener.onChanges(changes);
      });
    };
    let isOpen = true;
    if (missed.length > 0) deliver(missed);
    const subscription = this.#store.subscribe(prefix, (change) => {
      if (!this.isDisconnected) deliver([change]);
    });
    return this.#watches.add(toDisposable(() => {
      isOpen = false;
      subscription.dispose();
    }));
  }

  /** {@inheritDoc StoreClient.grantLease} */
  grantLease(ttlMs: number): AsyncEither<StoreFailure, StoreLease> {
    return this.#call("lease-grant", "write", () => ({
      id: this.#store.grantLease(ttlMs),
      ttlMs,
    }));
  }

  /** {@inheritDoc StoreClient.renewLease} */
  renewLease(id: LeaseId): AsyncEither<StoreFailure, StoreLease | undefined> {
    return this.#call("lease-keep", "write", () => {
      const ttlMs = this.#store.renewLease(id);
      return ttlMs > 0 ? { id, ttlMs } : undefined;
    });
  }

  /** {@inheritDoc StoreClient.revokeLease} */
  revokeLease(id: LeaseId): AsyncEither<StoreFailure, void> {
    return this.#call(
      "lease-revoke",
      "write",
      () => this.#store.revokeLease(id),
    );
  }

  /** Closes all watches. */
  dispose(): void {
    this.#watches.dispose();
  }

  async #call<T>(
    step: string,
    kind: CallKind,
    run: () => T,
  ): AsyncEither<StoreFailure, T> {
    const { faults } = this.#store;
    const fail = (
      failure: StoreFailure["kind"],
      detail: string,
    ): StoreFailure => ({
      kind: failure,
      step: `store.${step}`,
      peer: "store",
      detail,
    });
    await sleep(this.#clock, NETWORK_DELAY_MS + faults.delayMs);
    if (this.isDisconnected) {
      await sleep(this.#clock, LOST_ANSWER_TIMEOUT_MS);
      return Left(fail("unknown", "the store did not answer in time"));
    }
    if (faults.isDown) return Left(fail("not-done", "the store is down"));
    if (!this.#store.admitCall(kind)) {
      return Left(
        fail(
          "rate-limited",
          "the store refused the call because of its rate limit",
        ),
      );
    }
    const value = run();
    if (kind === "write" && this.#store.consumeLostAnswer()) {
      await sleep(this.#clock, LOST_ANSWER_TIMEOUT_MS);
      return Left(fail("unknown", "the store did not answer in time"));
    }
    return Right(value);
  }
}
