/**
 * Translation between the gateway's fields and the HTTP headers of callers and
 * endpoints. A platform adapter implements it.
 */

import type {
  EndpointId,
  RequestId,
  WorkspaceId,
} from "../../../../base/common/ids.ts";
import type { Address } from "../../../../base/common/ids.ts";
import type { NamedBrittleness } from "../../../brittle/common/brittle_table.ts";
import type { NamedLimit } from "../limits/limit_table.ts";
import type { HeaderList } from "../../../../services/http/common/header_list.ts";

/** Size of a generation's prompt and output. */
export interface PromptSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /**
   * The caller's estimate of the output: accurate at the median and often far
   * off.
   */
  readonly hintedOutputTokens: number | undefined;
}

/** Fields of a caller's request headers. */
export interface CallerFields {
  readonly requestId: RequestId | undefined;
  readonly host: string;
  /**
   * Time that the caller waits, in milliseconds from the receipt of the
   * request.
   */
  readonly timeoutMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly prompt: PromptSize | undefined;
  /**
   * Identifiers of the parts of the prompt that other requests may share, in
   * order.
   */
  readonly promptParts: readonly string[];
  /** Id of the event after which the stream is to be resumed. */
  readonly resumeAfterEventId: string | undefined;
  /** Id of the try that brought the first event of that stream, if stated. */
  readonly resumedRequestId: string | undefined;
}

/** State from which another endpoint continues a generation. */
export interface Continuation {
  /**
   * Reference to the copy of the KV state: address and name under which
   * endpoints find it.
   */
  readonly copyRef: string | undefined;
  /** Id of the last event that the caller received, if any. */
  readonly afterEventId: string | undefined;
}

/**
 * Fields that the gateway adds to the request of a generation; calls omit them.
 */
export interface GenerationFields {
  /** Priority for the engine; 0 is the most urgent. */
  readonly priority?: number;
  /** Address of the engine that keeps a backup of the generation's KV state. */
  readonly backupAddress?: Address | undefined;
  readonly continuation?: Continuation | undefined;
}

/** Fields that the gateway adds to a request for an endpoint. */
export interface OutgoingFields extends GenerationFields {
  readonly endpoint: EndpointId;
  readonly remainingMs: number;
  readonly workspace: WorkspaceId | undefined;
  readonly areKeysConfigured: boolean;
}

/** Load that an endpoint reports of itself. */
export interface ReportedLoad {
  /** Requests that occupy a slot. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Requests that can run at the same time; positive. */
  readonly slots: number;
  /**
   * Time that work currently takes there, in percent of its usual time; absent
   * if the endpoint does not report it.
   */
  readonly pacePercent?: number;
}

/** Fields of an endpoint's response headers. */
export interface ResponseFields {
  /** Whether the endpoint states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Id of the request that the response belongs to, if stated. */
  readonly requestId: string | undefined;
  /** Whether the response carries the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it is about to leave. */
  readonly isLeaving?: boolean;
  /** What the answer says of the endpoint's limit; nothing if absent. */
  readonly limit?: NamedLimit;
  /** What the answer says of rejections that its endpoint cannot bear. */
  readonly brittleness?: NamedBrittleness;
  /** Load of the endpoint, if it reports a valid one. */
  readonly load?: ReportedLoad | undefined;
  /**
   * Time for which the endpoint wants no further requests from this host, in
   * milliseconds, if it turned this one away and stated a valid time.
   */
  readonly retryAfterMs?: number | undefined;
}

/** Translates between headers and fields. */
export interface GatewayCodec {
  readCallerHeaders(headers: HeaderList): CallerFields;
  /** @returns Headers of the request for the endpoint. */
  endpointRequestHeaders(
    received: HeaderList,
    fields: OutgoingFields,
  ): string[];
  /**
   * @param headers - Headers of a request for an endpoint.
   * @param remainingMs - Time that is left of the one that they state.
   * @returns The headers with that time.
   */
  withRemainingTime(headers: HeaderList, remainingMs: number): string[];
  readResponseHeaders(status: number, headers: HeaderList): ResponseFields;
  /** @returns Headers of the response for the caller. */
  callerResponseHeaders(received: HeaderList): string[];
  /**
   * @param name - The lower-case name of a header.
   * @returns Whether the protocol needs the header between callers and endpoints,
   * so that it is forwarded although the `Connection` header lists it.
   */
  isProtocolHeader(name: string): boolean;
  /** @returns Headers of a response that the gateway itself generates. */
  gatewayResponseHeaders(requestId: RequestId | undefined): string[];
  /** @returns Reference by which a request's backup is found at an address. */
  backupReference(address: Address, requestId: RequestId): string;
}
