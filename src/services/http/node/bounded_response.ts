/** Reads a response of limited size. */

/**
 * @param body - The body of a response.
 * @param maxBytes - Largest size that is read.
 * @returns The body as text.
 * @throws An error if the body is larger; its connection is then closed.
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string> {
  const parts: Uint8Array[] = [];
  let sizeBytes = 0;
  for await (const part of body) {
    sizeBytes += part.byteLength;
    // Leaving the loop closes the connection.
    if (sizeBytes > maxBytes) {
      throw new Error(`the response exceeds ${maxBytes} bytes`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}
