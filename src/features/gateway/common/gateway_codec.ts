/**
 * Contract of the translation between the gateway's terms and the headers that
 * callers and endpoints speak. An adapter implements it.
 */

import type {
  EndpointId,
  RequestId,
  WorkspaceId,
} from "../../../base/common/ids.ts";
import type { Address } from "../../../base/common/ids.ts";
import type { HeaderList } from "../../../services/http/common/header_list.ts";

/** Prompt of a generation, known by its size only. */
export interface PromptSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Estimate of the caller, right at the median and often far off. */
  readonly hintedOutputTokens: number | undefined;
}

/** What a caller's headers say. */
export interface CallerFields {
  readonly requestId: RequestId | undefined;
  readonly host: string;
  /** How long the caller waits, from the receipt of the request. */
  readonly timeoutMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly prompt: PromptSize | undefined;
  /** Event after which the caller wants a stream to go on. */
  readonly resumeAfterEventId: string | undefined;
}

/** Memory of a generation that another endpoint is to go on from. */
export interface Continuation {
  /** Address and name under which the endpoints know the copy. */
  readonly copyRef: string | undefined;
  /** Last event that the caller has, if any. */
  readonly afterEventId: string | undefined;
}

/** What the gateway adds to a generation; plain calls leave it out. */
export interface GenerationFields {
  /** Rank for the engine; 0 is the most urgent. */
  readonly priority?: number;
  /** Where the engine is to keep a copy of the generation's memory. */
  readonly backupAddress?: Address | undefined;
  readonly continuation?: Continuation | undefined;
}

/** What the gateway adds to a request. */
export interface OutgoingFields extends GenerationFields {
  readonly endpoint: EndpointId;
  readonly remainingMs: number;
  readonly workspace: WorkspaceId | undefined;
  readonly areKeysConfigured: boolean;
}

/** What an endpoint's answer says beside its content. */
export interface ResponseFields {
  /** Whether the endpoint states that the request was not run. */
  readonly isNotRun: boolean;
  /** Id of the request that the answer belongs to, if it says so. */
  readonly requestId: string | undefined;
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean;
}

/** Translates headers. */
export interface GatewayCodec {
  readCallerHeaders(headers: HeaderList): CallerFields;
  /** @returns Headers of the request for the endpoint. */
  endpointRequestHeaders(
    received: HeaderList,
    fields: OutgoingFields,
  ): string[];
  readResponseHeaders(status: number, headers: HeaderList): ResponseFields;
  /** @returns Headers of the answer for the caller. */
  callerResponseHeaders(received: HeaderList): string[];
  /** @returns Headers of an answer of the gateway's own. */
  gatewayResponseHeaders(requestId: RequestId | undefined): string[];
  /** @returns Name by which a backup of a request is found at an address. */
  backupReference(address: Address, requestId: RequestId): string;
}
