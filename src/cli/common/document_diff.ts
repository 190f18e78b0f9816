/** Differences between two documents, by path. */

/** One value that differs. */
export interface DocumentDifference {
  /** Path of the value, parts separated by `/`. */
  readonly path: string;
  /** Value before; `undefined` when it was added. */
  readonly before: unknown;
  /** Value after; `undefined` when it was removed. */
  readonly after: unknown;
}

/**
 * @param before - A parsed document.
 * @param after - Another one.
 * @returns Every value that differs, in the order of the documents.
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
 * @param difference - A value that differs.
 * @returns One line for people.
 */
export function formatDifference(
  { path, before, after }: DocumentDifference,
): string {
  if (before === undefined) return `+ ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${path}: ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}
