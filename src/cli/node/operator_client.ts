/** Client of the daemons' operator ports. */

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

/** Why an operator port gave no result. */
export interface OperatorFailure {
  readonly kind: "unreachable" | "unauthorized" | "not-found" | "refused";
  readonly detail: string;
}

/** What one daemon answered. */
export interface OperatorResponse<T> {
  readonly address: Address;
  readonly result: Either<OperatorFailure, T>;
}

/**
 * Calls an operator port.
 *
 * @param context - Holds the operator key.
 * @param method - HTTP method.
 * @param address - The operator port.
 * @param path - Path of the call.
 * @returns The answer's JSON, or why there is none.
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
        detail: "the operator key is wrong; set RAGWORT_OPERATOR_KEY",
      };
    case HTTP_NOT_FOUND:
      return { kind: "not-found", detail };
    default:
      return { kind: "refused", detail };
  }
}

/** @returns What the daemon says of the failure, if it says it. */
function parseErrorText(text: string): string | undefined {
  const body = rightOf(
    attempt(() => JSON.parse(text) as unknown, toErrorMessage),
  );
  const { error } = (body ?? {}) as { error?: unknown };
  return typeof error === "string" ? error : undefined;
}

/**
 * Reads the same path of every daemon, side by side.
 *
 * @param context - Holds the daemons and the operator key.
 * @param path - Path of the call.
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
 * Asks the daemons for a change, one after the other, until one has made it;
 * the daemons tell each other.
 *
 * @param context - Holds the daemons and the operator key.
 * @param path - Path of the call.
 * @returns What the daemon answered, or the failures of all.
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
 * @param context - Where to print.
 * @param failed - Failures of all daemons.
 * @param missing - What to print when daemons answered that there is none.
 * @returns The exit code.
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
 * Prints which daemons gave no answer.
 *
 * @param context - Where to print.
 * @param answers - Answers of all daemons.
 * @returns Whether all of them answered; not when there are none.
 */
export function reportFailedDaemons<T>(
  context: CliContext,
  answers: readonly OperatorResponse<T>[],
): boolean {
  if (answers.length === 0) {
    context.printError(
      "no daemon is known; name their operator ports with " +
        "--daemons 10.0.0.1:9642,10.0.0.2:9642 or in RAGWORT_DAEMONS",
    );
    return false;
  }
  for (const { address, result } of answers) {
    result.ifLeft(({ detail }) =>
      context.printError(`${address} gave no answer: ${detail}`)
    );
  }
  return answers.every(({ result }) => result.isRight());
}
