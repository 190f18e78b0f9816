/** Proofs of relay requests with HMAC-SHA-256. */

import { createHmac, timingSafeEqual } from "node:crypto";
import type { RelaySigner } from "../common/relay_signer.ts";

/** Signs with the secret that all hosts share. */
export class HmacRelaySigner implements RelaySigner {
  readonly #secret: string;

  /** @param secret - The shared secret. */
  constructor(secret: string) {
    this.#secret = secret;
  }

  /** {@inheritDoc RelaySigner.sign} */
  sign(text: string): string {
    return createHmac("sha256", this.#secret).update(text).digest("base64url");
  }

  /** {@inheritDoc RelaySigner.verify} */
  verify(text: string, proof: string): boolean {
    const expected = Buffer.from(this.sign(text));
    const received = Buffer.from(proof);
    return expected.length === received.length &&
      timingSafeEqual(expected, received);
  }
}
