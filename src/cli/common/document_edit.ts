/** Edits a YAML document in place; comments and order stay. */

import { isCollection, isScalar, parse, parseDocument } from "yaml";
import { toErrorMessage } from "../../base/common/errors.ts";
import { attempt, type Either, Left, Right } from "../../base/common/result.ts";
import { diffDocuments } from "./document_diff.ts";

/**
 * @param text - The document.
 * @param path - Where the value goes; positions in lists count from 0.
 * @param valueText - The value as YAML.
 * @returns The changed document, or why it cannot be changed.
 */
export function setInDocument(
  text: string,
  path: readonly string[],
  valueText: string,
): Either<string, string> {
  return attempt(() => {
    const document = parseDocument(text);
    const value = parseDocument(valueText);
    const [mistake] = value.errors;
    if (mistake) throw mistake;
    const replaced = replaceScalar(text, document.getIn(path, true), valueText);
    document.setIn(path, value.contents);
    const isSame = replaced !== undefined &&
      diffDocuments(parse(replaced), document.toJS()).length === 0;
    return isSame ? replaced : document.toString({ lineWidth: 0 });
  }, (thrown) => toErrorMessage(thrown));
}

/** Replaces only the characters of a plain value; all others stay. */
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
 * @param text - The document.
 * @param path - Which part is wanted; empty for the whole.
 * @returns The part as YAML and as a value, or why there is none.
 */
export function getInDocument(
  text: string,
  path: readonly string[],
): Either<string, { readonly text: string; readonly value: unknown }> {
  const document = parseDocument(text);
  if (path.length === 0) return Right({ text, value: document.toJS() });
  const node: unknown = document.getIn(path, true);
  if (node === undefined) return Left(`nothing stands at ${path.join("/")}`);
  const value: unknown = document.getIn(path);
  const plain: unknown = isCollection(value) ? value.toJS(document) : value;
  const part = parseDocument("");
  part.contents = node as typeof part.contents;
  return Right({ text: part.toString({ lineWidth: 0 }), value: plain });
}
