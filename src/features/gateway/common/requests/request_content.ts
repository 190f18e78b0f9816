/** Content of a request, by which its repetitions are recognized. */

import { isStreamed } from "../../../../services/http/common/request_body.ts";
import type { AdmittedRequest } from "./admitted_request.ts";

/**
 * Size in bytes up to which a body is part of a request's fingerprint. Larger
 * bodies are streamed and never complete on this host.
 */
const MAX_FINGERPRINTED_BODY_BYTES = 262_144;

/**
 * Returns the parts of a request that are the same in each of its repetitions:
 * all but its id, its deadline and the hints to engines.
 */
export function contentOf(
  { body, exchange, fields }: AdmittedRequest,
): readonly (string | Uint8Array)[] {
  const { method, target } = exchange;
  const parts = [method, fields.host, target];
  if (body === undefined) return parts;
  if (!isStreamed(body)) {
    return [...parts, body];
  }
  const head = body.head.subarray(0, MAX_FINGERPRINTED_BODY_BYTES);
  return [...parts, head, String(body.sizeBytes)];
}
