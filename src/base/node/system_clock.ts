/** Clock of the operating system. */

import type { Clock } from "../common/clock.ts";
import { type Disposable, toDisposable } from "../common/lifecycle.ts";

/** Clock with the system time and the timers of the event loop. */
export class SystemClock implements Clock {
  /** {@inheritDoc Clock.nowMs} */
  nowMs(): number {
    return Date.now();
  }

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return performance.now();
  }

  /** {@inheritDoc Clock.setTimer} */
  setTimer(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delayMs);
    return toDisposable(() => clearTimeout(timer));
  }
}
