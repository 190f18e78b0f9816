/** Contract of JSON requests over HTTP. */

import type { Address } from "../../../base/common/ids.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type { HeaderList } from "./header_list.ts";

/** A request with an optional JSON body. */
export interface JsonRequest {
  readonly method: "GET" | "POST" | "DELETE";
  /** Path and query. */
  readonly target: string;
  /** Headers beside those of the body, as names and values in turn. */
  readonly headers?: HeaderList;
  readonly body?: unknown;
  readonly timeoutMs: number;
  /**
   * Whether later requests use new connections if this one is not answered in
   * time, as the others that are open may be silent too; false by default.
   */
  readonly renewsConnections?: boolean;
  /**
   * Whether the request has a connection of its own, on which the copy of an
   * answer to another one cannot come; false by default. Answers name no
   * request, so it is set where one that is mistaken does harm.
   */
  readonly hasOwnConnection?: boolean;
}

/** A response; `body` is `undefined` if the response has no valid JSON body. */
export interface JsonResponse {
  readonly status: number;
  /** Headers by their names in lowercase. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
}

/**
 * Sends JSON requests to any address. A request without a response may have
 * been executed.
 */
export interface JsonCaller {
  /** @returns The response, or a description of why there is none. */
  call(
    address: Address,
    request: JsonRequest,
  ): AsyncEither<string, JsonResponse>;
}

/** @returns The value, or `undefined` if the text is no JSON. */
export function parseJsonText(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // Responses without a body are common; the status code carries the
    // result.
    return undefined;
  }
}
