/** Ownership of things that must be released: timers, sockets, listeners. */

/** Something that can be released once; releasing twice does nothing. */
export interface Disposable {
  /** Releases what this object holds. */
  dispose(): void;
}

/** A disposable that does nothing. */
export const NOOP_DISPOSABLE: Disposable = { dispose: () => undefined };

/**
 * Wraps a function as a disposable that runs it at most once.
 *
 * @param release - The function to run on the first `dispose`.
 * @returns The disposable.
 */
export function toDisposable(release: () => void): Disposable {
  let isDisposed = false;
  return {
    dispose: () => {
      if (isDisposed) return;
      isDisposed = true;
      release();
    },
  };
}

/** Owns several disposables and releases them together, the last one first. */
export class DisposableStore implements Disposable {
  #items: Disposable[] = [];
  #isDisposed = false;

  /** Whether `dispose` has been called. */
  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /**
   * Takes ownership of a disposable.
   *
   * @param item - Released with this store, or at once when the store is gone.
   * @returns The same item.
   */
  add<T extends Disposable>(item: T): T {
    if (this.#isDisposed) item.dispose();
    else this.#items.push(item);
    return item;
  }

  /** Releases all owned disposables. */
  dispose(): void {
    if (this.#isDisposed) return;
    this.#isDisposed = true;
    const items = this.#items;
    this.#items = [];
    for (const item of items.reverse()) item.dispose();
  }
}
