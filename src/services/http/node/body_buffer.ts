/**
 * Buffer of a request body while it arrives. Parts are copied, as each small one
 * would use much more memory than its bytes.
 */

const MIN_BLOCK_BYTES = 4_096;
const MAX_BLOCK_BYTES = 262_144;

/** Collects the parts of a body in a few blocks of memory. */
export class BodyBuffer {
  readonly #expectedBytes: number;
  readonly #blocks: Buffer[] = [];
  /** Bytes that are used of the last block. */
  #lastUsedBytes = 0;
  #capacityBytes = 0;
  #sizeBytes = 0;

  /** @param expectedBytes - Size of the body, or 0 if it is not known. */
  constructor(expectedBytes: number) {
    this.#expectedBytes = expectedBytes;
  }

  /** Size of what was added, in bytes. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Whether the body has to be copied once more to be joined. */
  get isSplit(): boolean {
    return this.#blocks.length > 1;
  }

  /**
   * @param partBytes - Size of the next part.
   * @returns The memory that the blocks use with that part, in bytes.
   */
  capacityWith(partBytes: number): number {
    return partBytes <= this.#freeBytes
      ? this.#capacityBytes
      : this.#capacityBytes + this.#nextBlockBytes(partBytes);
  }

  /** Adds the next part, which must not be changed afterwards. */
  append(part: Buffer): void {
    const isWhole = this.#blocks.length === 0 &&
      part.length === this.#expectedBytes;
    if (isWhole) this.#addBlock(part);
    else {
      if (part.length > this.#freeBytes) {
        const blockBytes = this.#nextBlockBytes(part.length);
        this.#addBlock(Buffer.allocUnsafeSlow(blockBytes));
      }
      part.copy(this.#blocks.at(-1)!, this.#lastUsedBytes);
    }
    this.#lastUsedBytes += part.length;
    this.#sizeBytes += part.length;
  }

  /** @returns The body. Nothing may be added afterwards. */
  join(): Buffer {
    const last = this.#blocks.pop();
    if (!last) return Buffer.alloc(0);
    const used = last.subarray(0, this.#lastUsedBytes);
    return this.#blocks.length === 0
      ? used
      : Buffer.concat([...this.#blocks, used], this.#sizeBytes);
  }

  get #freeBytes(): number {
    const lastBytes = this.#blocks.at(-1)?.length ?? 0;
    return lastBytes - this.#lastUsedBytes;
  }

  #nextBlockBytes(partBytes: number): number {
    if (this.#blocks.length === 0 && this.#expectedBytes > 0) {
      return Math.max(partBytes, this.#expectedBytes);
    }
    const grownBytes = Math.max(MIN_BLOCK_BYTES, this.#sizeBytes);
    return Math.max(partBytes, Math.min(MAX_BLOCK_BYTES, grownBytes));
  }

  #addBlock(block: Buffer): void {
    // What is left of the block before it stays unused.
    const previous = this.#blocks.pop();
    if (previous) this.#blocks.push(previous.subarray(0, this.#lastUsedBytes));
    this.#blocks.push(block);
    this.#capacityBytes += block.length;
    this.#lastUsedBytes = 0;
  }
}
