/** JSON messages of the etcd v3 gateway, as far as they are used. */

import type {
  StoreChange,
  StoreDelete,
  StoreEntry,
  StorePut,
  StoreWriteResult,
} from "../common/store_client.ts";

/** A key with its value, base64 in both. */
export interface KeyValueMessage {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
}

/** Answer of `/v3/kv/range`. */
export interface RangeResponse {
  readonly header: { readonly revision: string };
  readonly kvs?: readonly KeyValueMessage[];
}

/** Answer of `/v3/kv/txn`. */
export interface TxnResponse {
  readonly header: { readonly revision: string };
  readonly succeeded?: boolean;
  readonly responses?: readonly {
    readonly response_range?: { readonly kvs?: readonly KeyValueMessage[] };
  }[];
}

/** Answer of the lease calls. */
export interface LeaseResponse {
  readonly ID: string;
  readonly TTL?: string;
}

/** A range of keys. */
export interface KeyRangeMessage {
  readonly key: string;
  readonly range_end: string;
}

/** A decoded message of a watch. */
export interface WatchMessage {
  readonly changes: readonly StoreChange[];
  readonly isCompacted: boolean;
}

/**
 * @param key - A key as text.
 * @returns The key as the gateway wants it.
 */
export function encodeBase64(key: string): string {
  return Buffer.from(key).toString("base64");
}

/**
 * @param prefix - Start of the keys; ASCII and not empty.
 * @returns The range of all keys that start with it.
 */
export function encodePrefixRange(prefix: string): KeyRangeMessage {
  const lastCode = prefix.charCodeAt(prefix.length - 1);
  const end = prefix.slice(0, -1) + String.fromCharCode(lastCode + 1);
  return { key: encodeBase64(prefix), range_end: encodeBase64(end) };
}

/**
 * @param message - A key with its value.
 * @returns The entry.
 */
export function decodeEntry(message: KeyValueMessage): StoreEntry {
  return {
    key: Buffer.from(message.key, "base64").toString(),
    value: Buffer.from(message.value ?? "", "base64").toString(),
    revision: Number(message.mod_revision),
  };
}

/** @returns The transaction that writes a key at its expected revision. */
export function toPutBody(write: StorePut): unknown {
  const key = encodeBase64(write.key);
  const put = {
    key,
    value: encodeBase64(write.value),
    ...(write.leaseId === undefined ? {} : { lease: write.leaseId }),
  };
  return toTxnBody(key, write.expectedRevision, { request_put: put });
}

/** @returns The transaction that deletes a key at its expected revision. */
export function toDeleteBody(write: StoreDelete): unknown {
  const key = encodeBase64(write.key);
  return toTxnBody(key, write.expectedRevision, {
    request_delete_range: { key },
  });
}

function toTxnBody(
  key: string,
  expectedRevision: number,
  operation: unknown,
): unknown {
  const mod_revision = String(expectedRevision);
  return {
    compare: [{ key, target: "MOD", result: "EQUAL", mod_revision }],
    success: [operation],
    failure: [{ request_range: { key } }],
  };
}

/**
 * @param response - Answer of a transaction.
 * @returns What the compare-and-swap led to.
 */
export function toWriteResult(response: TxnResponse): StoreWriteResult {
  if (response.succeeded) {
    return { kind: "written", revision: Number(response.header.revision) };
  }
  const current = response.responses?.[0]?.response_range?.kvs?.[0];
  return { kind: "conflict", current: current && decodeEntry(current) };
}

interface WatchResponse {
  readonly result?: {
    readonly compact_revision?: string;
    readonly canceled?: boolean;
    readonly events?: readonly {
      readonly type?: string;
      readonly kv: KeyValueMessage;
    }[];
  };
}

/**
 * @param line - One line of a watch's answer.
 * @returns The message.
 */
export function decodeWatchMessage(line: string): WatchMessage {
  const { result } = JSON.parse(line) as WatchResponse;
  return {
    isCompacted: result?.canceled === true ||
      Number(result?.compact_revision ?? 0) > 0,
    changes: (result?.events ?? []).map(({ type, kv }): StoreChange => {
      const entry = decodeEntry(kv);
      return type === "DELETE"
        ? { kind: "delete", key: entry.key, revision: entry.revision }
        : { kind: "put", entry };
    }),
  };
}
