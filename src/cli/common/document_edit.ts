/** Reads and changes values in YAML text, preserving comments and key order. */

import { isCollection, isScalar, parse, parseDocument } from "yaml";
import { toErrorMessage } from "../../base/common/errors.ts";
import { attempt, type Either, Left, Right } from "../../base/common/result.ts";
import { diffDocuments } from "./document_diff.ts";

/**
 * Sets a value in a document.
 *
 * @param text - Document as YAML text.
 * @param path - Path of the value to set. List indexes start at 0.
 * @param valueText - New value as YAML text.
 * @returns The changed document, or an error message if the value is not valid
 * YAML or the path does not lead through maps and lists.
 */
export function setInDocument(
  text: string,
  path: readonly string[],
  valueText: string,
): Either<string, string> {
  return attempt(() => {
    const document = parseDocument(text);
    const value = parseDocument(valueText);
    const [error] = value.errors;
    if (error) throw error;
    const replaced = replaceScalar(text, document.getIn(path, true), valueText);
    document.setIn(path, value.contents);
    const isSame = replaced !== undefined &&
      diffDocuments(parse(replaced), document.toJS()).length === 0;
    return isSame ? replaced : document.toString({ lineWidth: 0 });
  }, (thrown) => toErrorMessage(thrown));
}

/**
 * Replaces only the characters of a scalar value, so that the formatting of the
 * rest of the document does not change.
 */
function replaceScalar(
  text: string,
  node: unknown,
  valueText: string,
): string | undefined {
  if (!isScalar(node) || !node.range) return undefined;
  const [start, end] = node.range;
  const replaced = text.slice(0, start) + valueText + text.slice(end);
  return parseDocument(replaced).errors.length > 0 ? undefined : replaced;
}

/**
 * Returns a part of a document.
 *
 * @param text - Document as YAML text.
 * @param path - Path of the part; empty for the whole document.
 * @returns The part as YAML text and as a value, or an error message if the path
 * does not exist.
 */
export function getInDocument(
  text: string,
  path: readonly string[],
): Either<string, { readonly text: string; readonly value: unknown }> {
  const document = parseDocument(text);
  if (path.length === 0) return Right({ text, value: document.toJS() });
  const node: unknown = document.getIn(path, true);
  if (node === undefined) return Left(`path ${path.join("/")} does not exist`);
  const value: unknown = document.getIn(path);
  const plain: unknown = isCollection(value) ? value.toJS(document) : value;
  const part = parseDocument("");
  part.contents = node as typeof part.contents;
  return Right({ text: part.toString({ lineWidth: 0 }), value: plain });
}
