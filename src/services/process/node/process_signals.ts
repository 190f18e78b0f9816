/** Signals of a process: a planned stop, and others that must not end it. */

const STOP_SIGNALS = ["SIGTERM", "SIGINT", "SIGQUIT"] as const;
/** Each ends a process that does not listen for it. */
const OTHER_SIGNALS = [
  "SIGHUP",
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGIO",
] as const;

/** Signal that asks for a planned stop. */
export type StopSignal = (typeof STOP_SIGNALS)[number];
/** Signal that does not end the process. */
export type OtherSignal = (typeof OTHER_SIGNALS)[number];

/** Receives the signals of a process. */
export interface SignalReceiver {
  /** Drains and stops. Called at most once. */
  stop(): void;
  /** @param signal - A signal that does not ask for a stop. */
  receive(signal: OtherSignal): void;
}

/** Source of signals. */
export interface SignalSource {
  on(signal: StopSignal | OtherSignal, listener: () => void): unknown;
}

/** Keeps the signals that arrive before they can be handled. */
export class ProcessSignals {
  #receiver: SignalReceiver | undefined;
  #isStopRequested = false;
  /** Each signal at most once. */
  readonly #pending = new Set<OtherSignal>();

  /** @param source - The process whose signals are received. */
  constructor(source: SignalSource) {
    for (const signal of STOP_SIGNALS) source.on(signal, () => this.#onStop());
    for (const signal of OTHER_SIGNALS) {
      source.on(signal, () => this.#onOther(signal));
    }
  }

  /** Whether a signal has asked for a stop. */
  get isStopRequested(): boolean {
    return this.#isStopRequested;
  }

  /**
   * Passes on the signals that have arrived and all later ones.
   *
   * @param receiver - Handles the signals.
   */
  connect(receiver: SignalReceiver): void {
    this.#receiver = receiver;
    for (const signal of this.#pending) receiver.receive(signal);
    this.#pending.clear();
    if (this.#isStopRequested) receiver.stop();
  }

  /** A second request must not cut what a drain still serves. */
  #onStop(): void {
    if (this.#isStopRequested) return;
    this.#isStopRequested = true;
    this.#receiver?.stop();
  }

  #onOther(signal: OtherSignal): void {
    if (this.#receiver) this.#receiver.receive(signal);
    else this.#pending.add(signal);
  }
}
