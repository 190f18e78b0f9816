/** Branded primitive types, so that ids of different kinds cannot be mixed. */

declare const brandSymbol: unique symbol;

/** A primitive type `T` that only a constructor function of brand `B` yields. */
export type Brand<T, B extends string> = T & { readonly [brandSymbol]: B };
