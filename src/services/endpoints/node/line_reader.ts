/** Splits a byte stream into lines. */

const MAX_LINE_CHARACTERS = 8_388_608;

/**
 * @param chunks - Bytes in UTF-8.
 * @returns Its lines without their ends; empty ones are left out.
 */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let remainder = "";
  for await (const chunk of chunks) {
    remainder += decoder.decode(chunk, { stream: true });
    const lines = remainder.split("\n");
    remainder = lines.pop() ?? "";
    if (remainder.length > MAX_LINE_CHARACTERS) {
      throw new Error("a line is too long");
    }
    for (const line of lines) if (line.trim() !== "") yield line;
  }
  if (remainder.trim() !== "") yield remainder;
}
