/** A map with a limit on its size. */

/** Forgets the entry that was set the longest ago when it is full. */
export class BoundedMap<K, V> {
  readonly #maxSize: number;
  readonly #entries = new Map<K, V>();

  /** @param maxSize - Most entries. */
  constructor(maxSize: number) {
    this.#maxSize = maxSize;
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** @returns The value of a key, if it is kept. */
  get(key: K): V | undefined {
    return this.#entries.get(key);
  }

  /** Sets a value; the entry counts as the newest one from now on. */
  set(key: K, value: V): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    if (this.#entries.size <= this.#maxSize) return;
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest!);
  }
}
