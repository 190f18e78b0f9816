/** Raw header lists: names and values by turns, in the order of the wire. */

/** Names at even positions, their values behind them. */
export type HeaderList = readonly string[];

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/**
 * @param headers - A header list.
 * @param name - Lower-case name.
 * @returns The first value, or `undefined`.
 */
export function headerOf(
  headers: HeaderList,
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const candidate = headers[index]!;
    if (candidate.length === name.length && candidate.toLowerCase() === name) {
      return headers[index + 1];
    }
  }
  return undefined;
}

/**
 * @param headers - Headers as received.
 * @param isDropped - Whether to leave out a further header, by lower-case name.
 * @returns The headers that a proxy passes on.
 */
export function endToEndHeaders(
  headers: HeaderList,
  isDropped: (name: string) => boolean = () => false,
): string[] {
  const connectionOptions = new Set<string>();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== "connection") continue;
    for (const token of headers[index + 1]!.split(",")) {
      connectionOptions.add(token.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (CONNECTION_HEADERS.has(name) || connectionOptions.has(name)) continue;
    if (isDropped(name)) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}

/**
 * @param headers - A header list.
 * @param removedName - Lower-case name.
 * @returns The list without that header.
 */
export function withoutHeader(
  headers: HeaderList,
  removedName: string,
): string[] {
  return headers.filter((_value, index) =>
    headers[index - (index % 2)]!.toLowerCase() !== removedName
  );
}

/**
 * @param method - Method of the request.
 * @param status - Status of its answer.
 * @returns Whether the answer has no body, whatever its headers say.
 */
export function hasNoBody(method: string, status: number): boolean {
  return method === "HEAD" || status === 204 || status === 304;
}

/**
 * @param method - Method of the request.
 * @param status - Status of its answer.
 * @param headers - Headers of the answer.
 * @returns Whether only the end of the connection ends the answer, so that
 * nobody can tell a short one from a whole one.
 */
export function isCloseDelimited(
  method: string,
  status: number,
  headers: HeaderList,
): boolean {
  if (hasNoBody(method, status)) return false;
  return headerOf(headers, "content-length") === undefined &&
    headerOf(headers, "transfer-encoding") === undefined;
}
