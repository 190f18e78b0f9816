/** Contract with a plain (app) service: one call, one answer. */

import type { Disposable } from "../../../base/common/lifecycle.ts";
import type { AsyncEither } from "../../../base/common/result.ts";
import type { Endpoint } from "./engine_client.ts";

/** One header line; order and spelling are kept. */
export interface HeaderLine {
  readonly name: string;
  readonly value: string;
}

/** A call as the app service receives it. */
export interface AppRequest {
  readonly method: string;
  /** Path with the query, as the caller sent it. */
  readonly path: string;
  readonly headers: readonly HeaderLine[];
  readonly body: Uint8Array;
  /** Limit for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether the service may receive it twice. */
  readonly isIdempotent: boolean;
}

/** Answer of an app service. */
export interface AppResponse {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  readonly body: Uint8Array;
}

/** Why there is no answer. */
export interface AppFailure {
  /**
   * `not-sent`: not a byte of the call left this host, so it was not run.
   * `unknown`: it may have been run.
   */
  readonly kind: "not-sent" | "unknown";
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

/** Client of app services. */
export interface AppClient extends Disposable {
  /**
   * Sends a call once. A call that is not idempotent goes only on a connection
   * that has just proved to be alive and is never sent again.
   */
  send(
    endpoint: Endpoint,
    request: AppRequest,
  ): AsyncEither<AppFailure, AppResponse>;
}
