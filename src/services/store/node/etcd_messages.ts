/** Encoding and decoding of the etcd v3 JSON gateway messages that are used. */

import type {
  StoreChange,
  StoreDelete,
  StoreEntry,
  StorePut,
  StoreWriteResult,
} from "../common/store_client.ts";

/** A key with its value, both encoded in base64. */
export interface KeyValueMessage {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
}

/** Response of `/v3/kv/range`. */
export interface RangeResponse {
  readonly header: { readonly revision: string };
  readonly kvs?: readonly KeyValueMessage[];
}

/** Response of `/v3/kv/txn`. */
export interface TxnResponse {
  readonly header: { readonly revision: string };
  readonly succeeded?: boolean;
  readonly responses?: readonly {
    readonly response_range?: { readonly kvs?: readonly KeyValueMessage[] };
  }[];
}

/** Response of the lease calls. */
export interface LeaseResponse {
  readonly ID: string;
  readonly TTL?: string;
}

/** A range of base64-encoded keys; the end is exclusive. */
export interface KeyRangeMessage {
  readonly key: string;
  readonly range_end: string;
}

/** A decoded message from a watch. */
export interface WatchMessage {
  readonly changes: readonly StoreChange[];
  readonly isCompacted: boolean;
}

/**
 * Encodes a key or a value for the gateway.
 *
 * @param key - The text to encode.
 * @returns The UTF-8 bytes of the text in base64.
 */
export function encodeBase64(key: string): string {
  return Buffer.from(key).toString("base64");
}

/**
 * Encodes a prefix as a key range.
 *
 * @param prefix - The prefix; must be ASCII and not empty.
 * @returns The range of all keys that start with the prefix.
 */
export function encodePrefixRange(prefix: string): KeyRangeMessage {
  const lastCode = prefix.charCodeAt(prefix.length - 1);
  const end = prefix.slice(0, -1) + String.fromCharCode(lastCode + 1);
  return { key: encodeBase64(prefix), range_end: encodeBase64(end) };
}

/**
 * Decodes a key with its value.
 *
 * @param message - The encoded key and value.
 * @returns The store entry.
 */
export function decodeEntry(message: KeyValueMessage): StoreEntry {
  return {
    key: Buffer.from(message.key, "base64").toString(),
    value: Buffer.from(message.value ?? "", "base64").toString(),
    revision: Number(message.mod_revision),
  };
}

/** @returns A transaction that writes a key if it has the expected revision. */
export function toPutBody(write: StorePut): unknown {
  const key = encodeBase64(write.key);
  const put = {
    key,
    value: encodeBase64(write.value),
    ...(write.leaseId === undefined ? {} : { lease: write.leaseId }),
  };
  return toTxnBody(key, write.expectedRevision, { request_put: put });
}

/**
 * @returns A transaction that deletes a key if it has the expected revision.
 */
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
 * Decodes the response of a compare-and-swap transaction.
 *
 * @param response - The response.
 * @returns The result of the operation.
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
 * Decodes a watch message.
 *
 * @param line - One line of the response stream of a watch.
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
