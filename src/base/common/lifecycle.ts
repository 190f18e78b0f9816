/** Ownership of resources to release, such as timers, sockets and listeners. */

/** Resource that can be released. Releasing it again has no effect. */
export interface Disposable {
  /** Releases the resource. */
  dispose(): void;
}

/** Disposable without any effect. */
export const NOOP_DISPOSABLE: Disposable = { dispose: () => undefined };

/**
 * Creates a disposable that runs a function at most once.
 *
 * @param release - Function to run at the first `dispose` call.
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

/** Owns several disposables and releases them in reverse order of addition. */
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
   * @param item - Disposable to release with this store; released immediately
   * if the store is already disposed.
   * @returns The same disposable.
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
