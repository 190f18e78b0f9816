/** Typed events: an `Emitter` is owned by the source, an `Event` is handed out. */

import { type Disposable, toDisposable } from "./lifecycle.ts";

/** Subscribes a listener and returns the means to unsubscribe it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of an event. */
export class Emitter<T> implements Disposable {
  #listeners = new Set<(value: T) => void>();

  /** The event for subscribers. */
  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return toDisposable(() => this.#listeners.delete(listener));
  };

  /** Whether anyone listens. */
  get hasListeners(): boolean {
    return this.#listeners.size > 0;
  }

  /**
   * Calls every listener that is subscribed at this moment.
   *
   * @param value - What the listeners receive.
   */
  fire(value: T): void {
    for (const listener of [...this.#listeners]) listener(value);
  }

  /** Drops all listeners. */
  dispose(): void {
    this.#listeners.clear();
  }
}
