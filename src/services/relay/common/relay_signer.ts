/** Contract of the proof that a relay request comes from a host of the fleet. */

/** Proves and checks knowledge of the secret that all hosts share. */
export interface RelaySigner {
  /** @returns The proof of a text. */
  sign(text: string): string;
  /** @returns Whether a proof belongs to a text. */
  verify(text: string, proof: string): boolean;
}
