/** Map with a maximum number of entries. */

/** Evicts the least recently set entry when it exceeds its maximum size. */
export class BoundedMap<K, V> {
  readonly #maxSize: number;
  readonly #entries = new Map<K, V>();

  /** @param maxSize - Maximum number of entries. */
  constructor(maxSize: number) {
    this.#maxSize = maxSize;
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** @returns Whether the key is present. */
  has(key: K): boolean {
    return this.#entries.has(key);
  }

  /** @returns The value of the key, or `undefined` if the key is absent. */
  get(key: K): V | undefined {
    return this.#entries.get(key);
  }

  /** All values, the least recently set one first. */
  get values(): readonly V[] {
    return [...this.#entries.values()];
  }

  /** Removes the entry of the key, if there is one. */
  delete(key: K): void {
    this.#entries.delete(key);
  }

  /** Sets a value and makes its entry the most recently set one. */
  set(key: K, value: V): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    if (this.#entries.size <= this.#maxSize) return;
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest!);
  }
}
