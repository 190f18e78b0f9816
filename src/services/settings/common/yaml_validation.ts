/**
 * Parses YAML documents and validates them against a schema. All validation
 * errors of a document are reported, not only the first one.
 */

import { LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";
import type * as z from "zod";
import { type Either, Left, Right } from "../../../base/common/result.ts";

/** Validation error in a document. */
export interface ValidationError {
  /** Path of the invalid field, such as `listen.callers`; empty for syntax. */
  readonly path: string;
  /** Line number in the document, starting at 1. */
  readonly line: number;
  /** Description of the error and of the allowed values. */
  readonly message: string;
}

/**
 * Parses a document and validates it.
 *
 * @param text - YAML text.
 * @param schema - Schema of the document.
 * @returns The validated value, or all validation errors.
 */
export function parseAndValidateYaml<T>(
  text: string,
  schema: z.ZodType<T>,
): Either<readonly ValidationError[], T> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    return Left(document.errors.map((error) => ({
      path: "",
      line: lines.linePos(error.pos[0]).line,
      message: error.message.split("\n")[0] ?? error.message,
    })));
  }
  const value: unknown = document.toJS();
  const parsed = schema.safeParse(value ?? {});
  if (parsed.success) return Right(parsed.data);
  return Left(
    parsed.error.issues.flatMap((issue) =>
      toValidationErrors(issue, document, lines)
    ),
  );
}

function toValidationErrors(
  issue: z.core.$ZodIssue,
  document: Document,
  lines: LineCounter,
): ValidationError[] {
  const unknownKeys = issue.code === "unrecognized_keys" ? issue.keys : [];
  const paths = unknownKeys.length > 0
    ? unknownKeys.map((key) => [...issue.path, key])
    : [issue.path];
  return paths.map((path) => ({
    path: path.map(String).join("."),
    line: getLine(path, document, lines),
    message: unknownKeys.length > 0 ? "unknown field" : issue.message,
  }));
}

/** Returns the line of the deepest node on a path that exists in the document. */
function getLine(
  path: readonly PropertyKey[],
  document: Document,
  lines: LineCounter,
): number {
  for (let length = path.length; length > 0; length--) {
    const node: unknown = document.getIn(path.slice(0, length), true);
    const start = getStartOffset(node);
    if (start !== undefined) return lines.linePos(start).line;
  }
  return 1;
}

function getStartOffset(node: unknown): number | undefined {
  if (typeof node !== "object" || node === null) return undefined;
  const range = (node as { range?: readonly number[] | null }).range;
  return range?.[0];
}

/**
 * Formats validation errors as text with one line per error.
 *
 * @param source - Name of the document.
 * @param errors - Errors to format.
 */
export function formatValidationErrors(
  source: string,
  errors: readonly ValidationError[],
): string {
  return errors
    .map(({ path, line, message }) =>
      `${source}:${line}: ${path === "" ? "document" : path}: ${message}`
    )
    .join("\n");
}
