/** Shorthands over the `Either` of purify-ts: expected failures are values. */

import { type Either, Left, Right } from "purify-ts/Either";

export { type Either, Left, Right };

/** An answer that may be a failure, later. */
export type AsyncEither<L, R> = Promise<Either<L, R>>;

/**
 * @param either - A result.
 * @returns Its value, or `undefined` when it is a failure.
 */
export function rightOf<L, R>(either: Either<L, R>): R | undefined {
  return either.caseOf<R | undefined>({
    Left: () => undefined,
    Right: (value) => value,
  });
}

/**
 * @param either - A result.
 * @returns Its failure, or `undefined` when it is a value.
 */
export function leftOf<L, R>(either: Either<L, R>): L | undefined {
  return either.caseOf<L | undefined>({
    Left: (failure) => failure,
    Right: () => undefined,
  });
}

/**
 * Runs a computation that may throw and turns the throw into a `Left`.
 *
 * @param compute - The computation.
 * @param onThrow - Makes the failure from what was thrown.
 * @returns The result or the failure.
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
