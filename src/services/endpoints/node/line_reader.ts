/** Splits a byte stream into lines of text. */

const MAX_LINE_CHARACTERS = 8_388_608;

/**
 * @param chunks - The chunks of a UTF-8 text.
 * @returns The lines without line terminators; blank lines are omitted.
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
      throw new Error("a line exceeds the maximum length");
    }
    for (const line of lines) if (line.trim() !== "") yield line;
  }
  if (remainder.trim() !== "") yield remainder;
}
