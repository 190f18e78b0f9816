/** Compares two parsed documents and lists the differences by path. */

/** Value that differs between two documents. */
export interface DocumentDifference {
  /** Path of the value with parts separated by `/`. */
  readonly path: string;
  /** Old value; `undefined` if the value was added. */
  readonly before: unknown;
  /** New value; `undefined` if the value was removed. */
  readonly after: unknown;
}

/**
 * Compares two documents. Lists are compared item by item.
 *
 * @param before - Old parsed document.
 * @param after - New parsed document.
 * @returns All differences, in document order.
 */
export function diffDocuments(
  before: unknown,
  after: unknown,
): DocumentDifference[] {
  return diffValues([], before, after);
}

function diffValues(
  path: readonly string[],
  before: unknown,
  after: unknown,
): DocumentDifference[] {
  if (!isObject(before) || !isObject(after)) {
    if (JSON.stringify(before) === JSON.stringify(after)) return [];
    return [{ path: path.join("/"), before, after }];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap((key) =>
    diffValues([...path, key], before[key], after[key])
  );
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null;
}

/**
 * @param difference - Difference to format.
 * @returns A human-readable line that starts with `+`, `-` or `~`.
 */
export function formatDifference(
  { path, before, after }: DocumentDifference,
): string {
  if (before === undefined) return `+ ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${path}: ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}
