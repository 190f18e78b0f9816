/**
 * Typed events. The source of an event owns the `Emitter` and exposes only the
 * `Event`.
 */

import { onUnexpectedError } from "./errors.ts";
import { type Disposable, toDisposable } from "./lifecycle.ts";

/** Subscribes a listener. Disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of an event. Calls all subscribed listeners synchronously. */
export class Emitter<T> implements Disposable {
  #listeners = new Set<(value: T) => void>();

  /** Event to which listeners subscribe. */
  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return toDisposable(() => this.#listeners.delete(listener));
  };

  /** Whether at least one listener is subscribed. */
  get hasListeners(): boolean {
    return this.#listeners.size > 0;
  }

  /**
   * Calls every listener that is subscribed when the method is called. Listeners
   * are independent of one another: an error in one is reported, and the others
   * are called.
   *
   * @param value - Value to pass to the listeners.
   */
  fire(value: T): void {
    for (const listener of [...this.#listeners]) {
      try {
        listener(value);
      } catch (thrown) {
        onUnexpectedError(thrown);
      }
    }
  }

  /** Unsubscribes all listeners. */
  dispose(): void {
    this.#listeners.clear();
  }
}

/**
 * @param source - An event.
 * @param toValue - Converts the value of the event.
 * @returns An event that fires with the converted values.
 */
export function mapEvent<T, U>(
  source: Event<T>,
  toValue: (value: T) => U,
): Event<U> {
  return (listener) => source((value) => listener(toValue(value)));
}
