/** Signs and verifies texts with HMAC-SHA-256. */

import { createHmac, timingSafeEqual } from "node:crypto";
import type { Signer } from "../common/generation_id.ts";

/** Secret signing key with its id. */
export interface SigningKey {
  readonly id: string;
  readonly secret: string;
}

const SIGNATURE_BYTES = 16;

/** Signs with the first key and verifies with any configured key. */
export class HmacSigner implements Signer {
  readonly currentKeyId: string;
  readonly #secrets: ReadonlyMap<string, string>;

  /** @param keys - At least one key; the first one signs new texts. */
  constructor(keys: readonly SigningKey[]) {
    this.currentKeyId = keys[0]?.id ?? "";
    this.#secrets = new Map(keys.map((key) => [key.id, key.secret]));
  }

  /** {@inheritDoc Signer.sign} */
  sign(keyId: string, text: string): string | undefined {
    const secret = this.#secrets.get(keyId);
    if (secret === undefined) return undefined;
    const digest = createHmac("sha256", secret).update(text).digest();
    return digest.subarray(0, SIGNATURE_BYTES).toString("base64url");
  }

  /** {@inheritDoc Signer.verify} */
  verify(keyId: string, text: string, signature: string): boolean {
    const expected = this.sign(keyId, text);
    if (expected === undefined) return false;
    const left = Buffer.from(expected);
    const right = Buffer.from(signature);
    return left.length === right.length && timingSafeEqual(left, right);
  }
}
