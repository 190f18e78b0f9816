/** Branded primitive types, which prevent mixing up ids of different kinds. */

declare const brandSymbol: unique symbol;

/** Primitive type `T` with brand `B`, created only by a type assertion. */
export type Brand<T, B extends string> = T & { readonly [brandSymbol]: B };
