/** HTTP server that exposes the simulated store as an etcd v3 JSON gateway. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type Clock, sleep } from "../../src/base/common/clock.ts";
import type {
  LeaseId,
  StoreChange,
  StoreEntry,
} from "../../src/services/store/common/store_client.ts";
import type { KvStore } from "./kv_store.ts";

const MS_PER_SECOND = 1_000;

interface EtcdRequest {
  readonly key?: string;
  readonly range_end?: string;
  readonly compare?: readonly {
    readonly key: string;
    readonly mod_revision: string;
  }[];
  readonly success?: readonly {
    readonly request_put?: {
      readonly key: string;
      readonly value: string;
      readonly lease?: string;
    };
    readonly request_delete_range?: { readonly key: string };
  }[];
  readonly create_request?: {
    readonly key: string;
    readonly range_end: string;
    readonly start_revision: string;
  };
  readonly ID?: string;
  readonly TTL?: string;
}

/**
 * Creates a server that is not listening yet.
 *
 * @param clock - Clock for injected delays.
 * @param store - The simulated store that answers the requests.
 */
export function createStoreServer(clock: Clock, store: KvStore): Server {
  return createServer((request, response) => {
    void handleRequest(clock, store, request, response);
  });
}

async function handleRequest(
  clock: Clock,
  store: KvStore,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const text = await readBody(request);
  // Others, which look for a server that had the port before, send no body.
  const body = (text === "" ? {} : JSON.parse(text)) as EtcdRequest;
  if (store.faults.delayMs > 0) await sleep(clock, store.faults.delayMs);
  const path = request.url ?? "";
  const kind = path === "/v3/kv/range" || path === "/v3/watch"
    ? "read"
    : "write";
  if (store.faults.isDown) return sendJson(response, 503, { error: "down" });
  if (!store.admitCall(kind)) return sendJson(response, 429, { error: "rate" });
  if (path === "/v3/watch") return serveWatch(store, body, response);
  const result = serveCall(store, path, body);
  if (kind === "write" && store.consumeLostAnswer()) {
    request.socket.destroy();
    return;
  }
  if (result === undefined) {
    return sendJson(response, 404, { error: "unknown path" });
  }
  sendJson(response, 200, result);
}

function serveCall(store: KvStore, path: string, body: EtcdRequest): unknown {
  switch (path) {
    case "/v3/kv/range":
      return serveRange(store, body);
    case "/v3/kv/txn":
      return serveTxn(store, body);
    case "/v3/lease/grant": {
      const ttlMs = Number(body.TTL) * MS_PER_SECOND;
      return { ID: store.grantLease(ttlMs), TTL: body.TTL };
    }
    case "/v3/lease/keepalive": {
      const ttlMs = store.renewLease(body.ID as LeaseId);
      return { result: { ID: body.ID, TTL: String(ttlMs / MS_PER_SECOND) } };
    }
    case "/v3/lease/revoke":
      store.revokeLease(body.ID as LeaseId);
      return { header: createHeader(store) };
    default:
      return undefined;
  }
}

function serveRange(store: KvStore, body: EtcdRequest): unknown {
  const key = decodeBase64(body.key);
  const entry = store.get(key);
  const entries = body.range_end === undefined
    ? (entry ? [entry] : [])
    : store.list(key).entries;
  return { header: createHeader(store), kvs: entries.map(encodeEntry) };
}

function serveTxn(store: KvStore, body: EtcdRequest): unknown {
  const expectedRevision = Number(body.compare?.[0]?.mod_revision ?? 0);
  const operation = body.success?.[0];
  const put = operation?.request_put;
  const result = put
    ? store.put({
      key: decodeBase64(put.key),
      value: decodeBase64(put.value),
      expectedRevision,
      ...(put.lease === undefined ? {} : { leaseId: put.lease as LeaseId }),
    })
    : store.delete({
      key: decodeBase64(operation?.request_delete_range?.key),
      expectedRevision,
    });
  const header = createHeader(store);
  if (result.kind === "written") return { header, succeeded: true };
  const kvs = result.current ? [encodeEntry(result.current)] : [];
  return { header, responses: [{ response_range: { kvs } }] };
}

function serveWatch(
  store: KvStore,
  body: EtcdRequest,
  response: ServerResponse,
): void {
  const prefix = decodeBase64(body.create_request?.key);
  const afterRevision = Number(body.create_request?.start_revision ?? 1) - 1;
  response.writeHead(200, { "content-type": "application/json" });
  const send = (result: unknown): void => {
    response.write(`${JSON.stringify({ result })}\n`);
  };
  const missed = store.changesAfter(prefix, afterRevision);
  if (!missed) {
    send({ canceled: true, compact_revision: String(store.revision) });
    response.end();
    return;
  }
  send({ header: createHeader(store), created: true });
  if (missed.length > 0) send({ events: missed.map(encodeChange) });
  const subscription = store.subscribe(prefix, (change) => {
    if (!store.faults.isDown) send({ events: [encodeChange(change)] });
    else response.destroy();
  });
  response.on("close", () => subscription.dispose());
}

function encodeChange(change: StoreChange): unknown {
  if (change.kind === "put") {
    return { type: "PUT", kv: encodeEntry(change.entry) };
  }
  const { key, revision } = change;
  return { type: "DELETE", kv: encodeEntry({ key, value: "", revision }) };
}

function encodeEntry({ key, value, revision }: StoreEntry): unknown {
  return {
    key: Buffer.from(key).toString("base64"),
    value: Buffer.from(value).toString("base64"),
    mod_revision: String(revision),
  };
}

function createHeader(store: KvStore): unknown {
  return { revision: String(store.revision) };
}

function decodeBase64(text: string | undefined): string {
  return Buffer.from(text ?? "", "base64").toString();
}

async function readBody(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of request) text += String(chunk);
  return text;
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
