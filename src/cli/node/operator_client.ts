/** HTTP client for the operator ports of the daemons. */

import { request } from "undici";
import { toErrorMessage } from "../../base/common/errors.ts";
import type { Address } from "../../base/common/ids.ts";
import {
  type AsyncEither,
  attempt,
  type Either,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../base/common/result.ts";
import { type CliContext, EXIT_CODES, type ExitCode } from "./cli_context.ts";

const REQUEST_TIMEOUT_MS = 3_000;
const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;

/** Reason why a request to an operator port failed. */
export interface OperatorFailure {
  readonly kind: "unreachable" | "unauthorized" | "not-found" | "refused";
  readonly detail: string;
}

/** Result of a request to one daemon. */
export interface OperatorResponse<T> {
  readonly address: Address;
  readonly result: Either<OperatorFailure, T>;
}

/**
 * Sends a request to an operator port.
 *
 * @param context - Context with the operator key.
 * @param method - HTTP method.
 * @param address - Address of the operator port.
 * @param path - Path and query string of the request.
 * @returns The parsed JSON body of the response, or the reason of the failure.
 */
export async function callOperatorPort<T>(
  context: CliContext,
  method: "GET" | "POST",
  address: Address,
  path: string,
): AsyncEither<OperatorFailure, T> {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: { authorization: `Bearer ${context.operatorKey}` },
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    if (response.statusCode === HTTP_OK) {
      return Right(await response.body.json() as T);
    }
    const text = await response.body.text();
    return Left(toFailure(response.statusCode, text));
  } catch (thrown) {
    return Left({ kind: "unreachable", detail: toErrorMessage(thrown) });
  }
}

function toFailure(status: number, text: string): OperatorFailure {
  const detail = parseErrorText(text) ?? `status ${status}`;
  switch (status) {
    case HTTP_UNAUTHORIZED:
      return {
        kind: "unauthorized",
        detail: "the operator key is invalid; set RAGWORT_OPERATOR_KEY",
      };
    case HTTP_NOT_FOUND:
      return { kind: "not-found", detail };
    default:
      return { kind: "refused", detail };
  }
}

/** @returns The error text in the response body, if there is one. */
function parseErrorText(text: string): string | undefined {
  const body = rightOf(
    attempt(() => JSON.parse(text) as unknown, toErrorMessage),
  );
  const { error } = (body ?? {}) as { error?: unknown };
  return typeof error === "string" ? error : undefined;
}

/**
 * Sends a GET request to all daemons concurrently.
 *
 * @param context - Context with the operator ports and the operator key.
 * @param path - Path and query string of the request.
 */
export async function queryAllDaemons<T>(
  context: CliContext,
  path: string,
): Promise<OperatorResponse<T>[]> {
  return await Promise.all(context.daemons.map(async (address) => ({
    address,
    result: await callOperatorPort<T>(context, "GET", address, path),
  })));
}

/**
 * Sends a POST request to one daemon after the other until one succeeds. That
 * daemon notifies its peers of the change.
 *
 * @param context - Context with the operator ports and the operator key.
 * @param path - Path of the request.
 * @returns The response of the daemon, or the failures of all daemons.
 */
export async function postToFirstDaemon<T>(
  context: CliContext,
  path: string,
): Promise<Either<readonly OperatorResponse<T>[], T>> {
  const failed: OperatorResponse<T>[] = [];
  for (const address of context.daemons) {
    const result = await callOperatorPort<T>(context, "POST", address, path);
    const value = rightOf(result);
    if (value !== undefined) return Right(value);
    failed.push({ address, result });
  }
  return Left(failed);
}

/**
 * Prints why a request failed on all daemons.
 *
 * @param context - Context to print to.
 * @param failed - Failures of all daemons.
 * @param missing - Message if a daemon responded that the object does not exist.
 * @returns The exit code of the command.
 */
export function reportFailures<T>(
  context: CliContext,
  failed: readonly OperatorResponse<T>[],
  missing: string,
): ExitCode {
  const isMissing = failed.some(({ result }) =>
    leftOf(result)?.kind === "not-found"
  );
  if (isMissing) {
    context.printError(missing);
    return EXIT_CODES.failed;
  }
  reportFailedDaemons(context, failed);
  return EXIT_CODES.unreachable;
}

/**
 * Prints which daemons failed to respond, or that no daemon is configured.
 *
 * @param context - Context to print to.
 * @param answers - Responses of all daemons.
 * @returns Whether all daemons succeeded; false if no daemon is configured.
 */
export function reportFailedDaemons<T>(
  context: CliContext,
  answers: readonly OperatorResponse<T>[],
): boolean {
  if (answers.length === 0) {
    context.printError(
      "no daemons are configured; set their operator ports with " +
        "--daemons 10.0.0.1:9642,10.0.0.2:9642 or in RAGWORT_DAEMONS",
    );
    return false;
  }
  for (const { address, result } of answers) {
    result.ifLeft(({ detail }) =>
      context.printError(`${address}: request failed: ${detail}`)
    );
  }
  return answers.every(({ result }) => result.isRight());
}
