/** YAML documents checked against a schema, with every mistake reported. */

import { LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";
import type * as z from "zod";
import { type Either, Left, Right } from "../../../base/common/result.ts";

/** One mistake in a document. */
export interface ValidationError {
  /** Path of the field, such as `listen.callers`. */
  readonly path: string;
  /** Line in the document, from 1. */
  readonly line: number;
  /** What is wrong and what is allowed. */
  readonly message: string;
}

/**
 * Parses and checks a document.
 *
 * @param text - YAML text.
 * @param schema - What the document must look like.
 * @returns The checked value, or all mistakes.
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
    message: unknownKeys.length > 0 ? "this field is not known" : issue.message,
  }));
}

/** Line of the deepest part of a path that the document has. */
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
 * Lists mistakes as text, one a line.
 *
 * @param source - Name of the document.
 * @param errors - The mistakes.
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
