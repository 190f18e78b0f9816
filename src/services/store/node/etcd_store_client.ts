/** Store client that uses the JSON gateway of the etcd v3 API. */

import { Agent, request } from "undici";
import type { Address } from "../../../base/common/ids.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import {
  type Disposable,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import { type AsyncEither, Left, Right } from "../../../base/common/result.ts";
import { readLines } from "../../endpoints/node/line_reader.ts";
import { readBoundedText } from "../../http/node/bounded_response.ts";
import type {
  LeaseId,
  StoreClient,
  StoreDelete,
  StoreEntry,
  StoreFailure,
  StoreLease,
  StoreListing,
  StorePut,
  StoreWriteResult,
  WatchListener,
} from "../common/store_client.ts";
import {
  decodeEntry,
  decodeWatchMessage,
  encodeBase64,
  encodePrefixRange,
  type LeaseResponse,
  type RangeResponse,
  toDeleteBody,
  toPutBody,
  toWriteResult,
  type TxnResponse,
} from "./etcd_messages.ts";

/** Time limit for the response headers and for each part of the body. */
const CALL_TIMEOUT_MS = 3_000;
/** Time limit for the whole response; a listing on a slow link takes seconds. */
const MAX_RESPONSE_MS = 15_000;
/** A listing holds all documents of the fleet. */
const MAX_RESPONSE_BYTES = 67_108_864;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1_000;

/** Connection errors that occur before any byte of a request is sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Client of an etcd-compatible store with one or more members. After a failure,
 * later calls use the address of the next member.
 */
export class EtcdStoreClient implements StoreClient {
  readonly #addresses: readonly Address[];
  readonly #agent = new Agent({ connect: { timeout: CALL_TIMEOUT_MS } });
  #addressIndex = 0;

  /** @param addresses - Addresses of the store members; at least one. */
  constructor(addresses: readonly Address[]) {
    this.#addresses = addresses;
  }

  /** {@inheritDoc StoreClient.get} */
  async get(key: string): AsyncEither<StoreFailure, StoreEntry | undefined> {
    const response = await this.#call<RangeResponse>("range", "/v3/kv/range", {
      key: encodeBase64(key),
    });
    return response.map(({ kvs }) => kvs?.[0] && decodeEntry(kvs[0]));
  }

  /** {@inheritDoc StoreClient.list} */
  async list(prefix: string): AsyncEither<StoreFailure, StoreListing> {
    const response = await this.#call<RangeResponse>(
      "range",
      "/v3/kv/range",
      encodePrefixRange(prefix),
    );
    return response.map(({ kvs, header }) => ({
      entries: (kvs ?? []).map(decodeEntry),
      revision: Number(header.revision),
    }));
  }

  /** {@inheritDoc StoreClient.put} */
  async put(write: StorePut): AsyncEither<StoreFailure, StoreWriteResult> {
    const response = await this.#call<TxnResponse>(
      "put",
      "/v3/kv/txn",
      toPutBody(write),
    );
    return response.map(toWriteResult);
  }

  /** {@inheritDoc StoreClient.delete} */
  async delete(
    write: StoreDelete,
  ): AsyncEither<StoreFailure, StoreWriteResult> {
    const response = await this.#call<TxnResponse>(
      "delete",
      "/v3/kv/txn",
      toDeleteBody(write),
    );
    return response.map(toWriteResult);
  }

  /** {@inheritDoc StoreClient.watch} */
  watch(
    prefix: string,
    afterRevision: number,
    listener: WatchListener,
  ): Disposable {
    const abort = new AbortController();
    void this.#runWatch(prefix, afterRevision, listener, abort.signal);
    return toDisposable(() => abort.abort());
  }

  /** {@inheritDoc StoreClient.grantLease} */
  async grantLease(ttlMs: number): AsyncEither<StoreFailure, StoreLease> {
    const response = await this.#call<LeaseResponse>(
      "lease-grant",
      "/v3/lease/grant",
      {
        TTL: String(Math.ceil(ttlMs / MS_PER_SECOND)),
        ID: "0",
      },
    );
    return response.map(({ ID, TTL }) => ({
      id: ID as LeaseId,
      ttlMs: Number(TTL) * MS_PER_SECOND,
    }));
  }

  /** {@inheritDoc StoreClient.renewLease} */
  async renewLease(
    id: LeaseId,
  ): AsyncEither<StoreFailure, StoreLease | undefined> {
    const response = await this.#call<{ result: LeaseResponse }>(
      "lease-keep",
      "/v3/lease/keepalive",
      { ID: id },
    );
    return response.map(({ result }) => {
      const ttlMs = Number(result.TTL ?? 0) * MS_PER_SECOND;
      return ttlMs > 0 ? { id, ttlMs } : undefined;
    });
  }

  /** {@inheritDoc StoreClient.revokeLease} */
  async revokeLease(id: LeaseId): AsyncEither<StoreFailure, void> {
    const response = await this.#call<unknown>(
      "lease-revoke",
      "/v3/lease/revoke",
      {
        ID: id,
      },
    );
    return response.map(() => undefined);
  }

  /** Closes all connections to the store. */
  dispose(): void {
    void this.#agent.destroy();
  }

  async #call<T>(
    step: string,
    path: string,
    body: unknown,
  ): AsyncEither<StoreFailure, T> {
    const address = this.#addresses[this.#addressIndex]!;
    try {
      const response = await request(`http://${address}${path}`, {
        method: "POST",
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
        dispatcher: this.#agent,
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS,
        signal: AbortSignal.timeout(MAX_RESPONSE_MS),
      });
      const text = await readBoundedText(response.body, MAX_RESPONSE_BYTES);
      if (response.statusCode === HTTP_OK) return Right(JSON.parse(text) as T);
      this.#selectNextAddress();
      const kind = response.statusCode === HTTP_TOO_MANY_REQUESTS
        ? "rate-limited"
        : "not-done";
      return Left(
        createFailure(step, address, kind, `status ${response.statusCode}`),
      );
    } catch (error) {
      this.#selectNextAddress();
      const code = (error as { code?: string }).code ?? "";
      const kind = CONNECT_ERROR_CODES.has(code) ? "not-done" : "unknown";
      return Left(
        createFailure(step, address, kind, toErrorMessage(error) || code),
      );
    }
  }

  #selectNextAddress(): void {
    this.#addressIndex = (this.#addressIndex + 1) % this.#addresses.length;
  }

  async #runWatch(
    prefix: string,
    afterRevision: number,
    listener: WatchListener,
    signal: AbortSignal,
  ): Promise<void> {
    const address = this.#addresses[this.#addressIndex]!;
    try {
      const response = await request(`http://${address}/v3/watch`, {
        method: "POST",
        body: JSON.stringify({
          create_request: {
            ...encodePrefixRange(prefix),
            start_revision: String(afterRevision + 1),
            progress_notify: true,
          },
        }),
        headers: { "content-type": "application/json" },
        dispatcher: this.#agent,
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: 0,
        signal,
      });
      if (response.statusCode !== HTTP_OK) {
        response.body.destroy();
        listener.onEnded("refused");
        return;
      }
      for await (const line of readLines(response.body)) {
        const message = decodeWatchMessage(line);
        if (message.isCompacted) {
          listener.onEnded("compacted");
          return;
        }
        if (message.changes.length > 0) listener.onChanges(message.changes);
      }
      if (!signal.aborted) listener.onEnded("lost");
    } catch {
      if (signal.aborted) return;
      this.#selectNextAddress();
      listener.onEnded("lost");
    }
  }
}

function createFailure(
  step: string,
  peer: string,
  kind: StoreFailure["kind"],
  detail: string,
): StoreFailure {
  return { kind, step: `store.${step}`, peer, detail };
}
