/**
 * Functions on raw header lists, in which names and values alternate in the
 * order in which they were received.
 */

/** Header names at even positions, each followed by its value. */
export type HeaderList = readonly string[];

/**
 * Hop-by-hop headers, which apply to one connection only (RFC 9110, section
 * 7.6.1).
 */
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
 * @param name - The lower-case name of a header.
 * @returns The first value of the header, or `undefined` if it is absent.
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
 * @param headers - The headers as received.
 * @param isDropped - Whether to omit a further header, given its lower-case
 * name.
 * @param isNeeded - Whether the recipient needs a header, given its lower-case
 * name, so that it is forwarded although the `Connection` header lists it. A
 * sender must not list such a header (RFC 9110, section 7.6.1).
 * @returns The headers that a proxy forwards.
 */
export function endToEndHeaders(
  headers: HeaderList,
  isDropped: (name: string) => boolean = () => false,
  isNeeded: (name: string) => boolean = () => false,
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
    if (CONNECTION_HEADERS.has(name) || isDropped(name)) continue;
    if (connectionOptions.has(name) && !isNeeded(name)) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}

/**
 * @param headers - A header list.
 * @param removedName - The lower-case name of the header to remove.
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
 * @param method - The method of the request.
 * @param status - The status code of the response.
 * @returns Whether the response has no body, regardless of its headers.
 */
export function hasNoBody(method: string, status: number): boolean {
  return method === "HEAD" || status === 204 || status === 304;
}

/**
 * @param method - The method of the request.
 * @param status - The status code of the response.
 * @param headers - The headers of the response.
 * @returns Whether the end of the response is marked only by the closing of the
 * connection, so that a truncated response cannot be detected.
 */
export function isCloseDelimited(
  method: string,
  status: number,
  headers: HeaderList,
): boolean {
  if (hasNoBody(method, status)) return false;
  const encodings = headerOf(headers, "transfer-encoding");
  // Only chunks mark the end of a response; other codings do not.
  return encodings === undefined
    ? headerOf(headers, "content-length") === undefined
    : !/(^|,)\s*chunked\s*$/i.test(encodings);
}

/** Statuses that RFC 9110, section 15, defines for final responses. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const HTTP_RESET_CONTENT = 205;

/**
 * @param method - The method of the request.
 * @param status - The status code of a final response.
 * @param headers - The headers of the response.
 * @returns Why the response cannot be used, or `undefined` if it can.
 */
export function unusableReason(
  method: string,
  status: number,
  headers: HeaderList,
): string | undefined {
  if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
    return `the response has the invalid status ${status}`;
  }
  // Nothing undoes another coding, and it does not reach the recipient.
  const isCoded = headers.some((value, index) =>
    index % 2 === 1 &&
    headers[index - 1]!.toLowerCase() === "transfer-encoding" &&
    !/^\s*(chunked|identity)\s*$/i.test(value)
  );
  if (isCoded && !hasNoBody(method, status)) {
    return "the response has an unsupported transfer coding";
  }
  return undefined;
}

/**
 * @param method - The method of the request.
 * @param status - The status code of the response.
 * @returns Whether any body makes the response invalid (RFC 9110, section
 * 15.3.6).
 */
export function mustBeEmpty(method: string, status: number): boolean {
  return status === HTTP_RESET_CONTENT && !hasNoBody(method, status);
}
