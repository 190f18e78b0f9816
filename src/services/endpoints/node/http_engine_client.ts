/** Client for model engines over HTTP with server-sent events. */

import { Agent, request } from "undici";
import type * as z from "zod";
import { readBoundedText } from "../../http/node/bounded_response.ts";
import { toErrorMessage } from "../../../base/common/errors.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { GenerationId } from "../../../base/common/ids.ts";
import { type AsyncEither, Left, Right } from "../../../base/common/result.ts";
import type {
  CacheEventPage,
  CancelResult,
  Endpoint,
  EngineClient,
  EngineFailure,
  EngineRequest,
  EngineState,
  EngineStream,
  EngineStreamListener,
  FencedOrder,
  LoadReport,
} from "../common/engine_client.ts";
import {
  cacheEventPageSchema,
  cancelResponseSchema,
  engineStateSchema,
  loadReportSchema,
} from "./engine_messages.ts";
import { HttpEngineStream } from "./http_engine_stream.ts";

/** Time limit for the whole response of a call, however it arrives. */
const CALL_TIMEOUT_MS = 2_000;
/** Largest response of a call; load reports take a few kilobytes. */
const MAX_RESPONSE_BYTES = 1_048_576;
const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_PRECONDITION_FAILED = 412;
const HTTP_BAD_REQUEST = 400;
const HTTP_SERVER_ERROR = 500;

/** A request whose response is not a stream. */
interface EngineCall<T> {
  readonly step: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly schema: z.ZodType<T>;
  readonly body?: unknown;
}

/** A load report with the endpoint that it describes. */
export interface EndpointLoadReport {
  readonly endpoint: Endpoint;
  readonly report: LoadReport;
}

/** Sends requests to model engines. Each stream has a connection of its own. */
export class HttpEngineClient implements EngineClient {
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
  });

  readonly #didReadLoad = new Emitter<EndpointLoadReport>();

  /** Fires after each load report that was read. */
  readonly onDidReadLoad = this.#didReadLoad.event;

  /** {@inheritDoc EngineClient.start} */
  start(
    endpoint: Endpoint,
    engineRequest: EngineRequest,
    listener: EngineStreamListener,
  ): EngineStream {
    return new HttpEngineStream(this.#agent, {
      address: endpoint.address,
      method: "POST",
      path: "/generations",
      body: JSON.stringify(engineRequest),
    }, listener);
  }

  /** {@inheritDoc EngineClient.resume} */
  resume(
    endpoint: Endpoint,
    id: GenerationId,
    fromOffset: number,
    listener: EngineStreamListener,
  ): EngineStream {
    return new HttpEngineStream(this.#agent, {
      address: endpoint.address,
      method: "GET",
      path: `/generations/${id}?from=${fromOffset}`,
    }, listener);
  }

  /** {@inheritDoc EngineClient.cancel} */
  async cancel(
    endpoint: Endpoint,
    id: GenerationId,
  ): AsyncEither<EngineFailure, CancelResult> {
    const response = await this.#call(endpoint, {
      step: "engine.cancel",
      method: "DELETE",
      path: `/generations/${id}`,
      schema: cancelResponseSchema,
    });
    return response.map(({ result }) => result);
  }

  /** {@inheritDoc EngineClient.readLoad} */
  async readLoad(endpoint: Endpoint): AsyncEither<EngineFailure, LoadReport> {
    const read = await this.#call(endpoint, {
      step: "engine.load",
      method: "GET",
      path: "/load",
      schema: loadReportSchema,
    });
    return read.ifRight((report) =>
      this.#didReadLoad.fire({ endpoint, report })
    );
  }

  /** {@inheritDoc EngineClient.readCacheEvents} */
  readCacheEvents(
    endpoint: Endpoint,
    afterSequence: number,
  ): AsyncEither<EngineFailure, CacheEventPage> {
    return this.#call(endpoint, {
      step: "engine.cache-events",
      method: "GET",
      path: `/cache-events?after=${afterSequence}`,
      schema: cacheEventPageSchema,
    });
  }

  /** {@inheritDoc EngineClient.order} */
  order(
    endpoint: Endpoint,
    order: FencedOrder,
  ): AsyncEither<EngineFailure, EngineState> {
    return this.#call(endpoint, {
      step: "engine.order",
      method: "POST",
      path: "/orders",
      schema: engineStateSchema,
      body: order,
    });
  }

  /** {@inheritDoc EngineClient.readState} */
  readState(endpoint: Endpoint): AsyncEither<EngineFailure, EngineState> {
    return this.#call(endpoint, {
      step: "engine.state",
      method: "GET",
      path: "/state",
      schema: engineStateSchema,
    });
  }

  /** Closes all connections. */
  dispose(): void {
    void this.#agent.destroy();
  }

  async #call<T>(
    { address }: Endpoint,
    call: EngineCall<T>,
  ): AsyncEither<EngineFailure, T> {
    const fail = (
      kind: EngineFailure["kind"],
      detail: string,
    ): EngineFailure => ({
      kind,
      step: call.step,
      peer: address,
      detail,
    });
    try {
      const response = await request(`http://${address}${call.path}`, {
        method: call.method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        headers: { "content-type": "application/json" },
        ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
      });
      const body: unknown = JSON.parse(
        await readBoundedText(response.body, MAX_RESPONSE_BYTES),
      );
      if (response.statusCode !== HTTP_OK) {
        const kind = toFailureKind(response.statusCode);
        return Left(fail(kind, `status ${response.statusCode}`));
      }
      const parsed = call.schema.safeParse(body);
      if (parsed.success) return Right(parsed.data);
      return Left(
        fail("unknown", `malformed response: ${parsed.error.message}`),
      );
    } catch (thrown) {
      const isConnectionRefused =
        (thrown as { code?: string }).code === "ECONNREFUSED";
      return Left(
        fail(
          isConnectionRefused ? "not-done" : "unknown",
          toErrorMessage(thrown),
        ),
      );
    }
  }
}

function toFailureKind(status: number): EngineFailure["kind"] {
  if (status === HTTP_PRECONDITION_FAILED) return "stale-fence";
  if (status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR) {
    return "not-done";
  }
  return "unknown";
}
