/** Collision-resistant hash of the content of a request. */

import { createHash } from "node:crypto";

/**
 * Hashes the parts. Each part is prefixed with its length, so that different
 * splits of the same bytes have different hashes.
 *
 * @param parts - Texts and bytes that identify the content.
 * @returns The hash in hexadecimal.
 */
export function fingerprint(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    const bytes = typeof part === "string" ? Buffer.from(part) : part;
    hash.update(`${bytes.byteLength}:`).update(bytes);
  }
  return hash.digest("hex");
}
