/**
 * Helpers for the `Either` type of purify-ts, which represents expected failures
 * as values.
 */

import { type Either, Left, Right } from "purify-ts/Either";

export { type Either, Left, Right };

/** Promise of a result that is either a failure or a value. */
export type AsyncEither<L, R> = Promise<Either<L, R>>;

/**
 * @param either - Result to unwrap.
 * @returns The value, or `undefined` if the result is a failure.
 */
export function rightOf<L, R>(either: Either<L, R>): R | undefined {
  return either.caseOf<R | undefined>({
    Left: () => undefined,
    Right: (value) => value,
  });
}

/**
 * @param either - Result to unwrap.
 * @returns The failure, or `undefined` if the result is a value.
 */
export function leftOf<L, R>(either: Either<L, R>): L | undefined {
  return either.caseOf<L | undefined>({
    Left: (failure) => failure,
    Right: () => undefined,
  });
}

/**
 * Runs a function and converts a thrown error to a `Left`.
 *
 * @param compute - Function that may throw.
 * @param onThrow - Converts the thrown value to a failure.
 * @returns The return value of the function, or the failure.
 */
export function attempt<L, R>(
  compute: () => R,
  onThrow: (thrown: unknown) => L,
): Either<L, R> {
  try {
    return Right(compute());
  } catch (thrown) {
    return Left(onThrow(thrown));
  }
}
