/** Engine client for simulated engines in the same process. */

import { type Clock, sleep } from "../../src/base/common/clock.ts";
import type { Address, GenerationId } from "../../src/base/common/ids.ts";
import { type AsyncEither, Left, Right } from "../../src/base/common/result.ts";
import type {
  CacheEventPage,
  CancelResult,
  Endpoint,
  EngineClient,
  EngineFailure,
  EngineFrame,
  EngineRequest,
  EngineState,
  EngineStream,
  EngineStreamListener,
  FencedOrder,
  LoadReport,
} from "../../src/services/endpoints/common/engine_client.ts";
import type { SimulatedEngine } from "./simulated_engine.ts";

const LINK_DELAY_MS = 1;
const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Simulated engines by address. */
export type EnginesByAddress = ReadonlyMap<Address, SimulatedEngine>;

/**
 * Engine client of one host, whose connections to individual engines can be
 * cut.
 */
export class InProcessEngineClient implements EngineClient {
  /** Addresses that cannot be reached from this host. */
  readonly cutAddresses = new Set<Address>();
  /** Additional delay of calls other than streams, in milliseconds. */
  callDelayMs = 0;
  readonly #clock: Clock;
  readonly #engines: EnginesByAddress;

  /**
   * @param clock - Clock for network delays.
   * @param engines - Engines that can be reached.
   */
  constructor(clock: Clock, engines: EnginesByAddress) {
    this.#clock = clock;
    this.#engines = engines;
  }

  /** {@inheritDoc EngineClient.start} */
  start(
    endpoint: Endpoint,
    request: EngineRequest,
    listener: EngineStreamListener,
  ): EngineStream {
    const stream = new InProcessStream(this.#clock, listener);
    this.#connect(endpoint, stream, (engine) => {
      const result = engine.start(request, stream);
      if (result === "accepted") stream.bind(engine, request.id);
      else {
        stream.close({ kind: "not-run", reason: result, detail: result });
      }
    });
    return stream;
  }

  /** {@inheritDoc EngineClient.resume} */
  resume(
    endpoint: Endpoint,
    id: GenerationId,
    fromOffset: number,
    listener: EngineStreamListener,
  ): EngineStream {
    const stream = new InProcessStream(this.#clock, listener);
    this.#connect(endpoint, stream, (engine) => {
      if (engine.attach(id, fromOffset, stream)) stream.bind(engine, id);
      else stream.close({ kind: "unknown-generation", detail: "not found" });
    });
    return stream;
  }

  /** {@inheritDoc EngineClient.cancel} */
  cancel(
    endpoint: Endpoint,
    id: GenerationId,
  ): AsyncEither<EngineFailure, CancelResult> {
    return this.#call("cancel", endpoint, (engine) => engine.cancel(id));
  }

  /** {@inheritDoc EngineClient.readLoad} */
  readLoad(endpoint: Endpoint): AsyncEither<EngineFailure, LoadReport> {
    return this.#call("load", endpoint, (engine) => engine.readLoad());
  }

  /** {@inheritDoc EngineClient.readCacheEvents} */
  readCacheEvents(
    endpoint: Endpoint,
    afterSequence: number,
  ): AsyncEither<EngineFailure, CacheEventPage> {
    return this.#call(
      "cache-events",
      endpoint,
      (engine) => engine.readCacheEvents(afterSequence),
    );
  }

  /** {@inheritDoc EngineClient.order} */
  async order(
    endpoint: Endpoint,
    order: FencedOrder,
  ): AsyncEither<EngineFailure, EngineState> {
    const answer = await this.#call(
      "order",
      endpoint,
      (engine) => engine.order(order),
    );
    return answer.chain((state) =>
      state ? Right(state) : Left(toFailure("order", endpoint, "stale-fence"))
    );
  }

  /** {@inheritDoc EngineClient.readState} */
  readState(endpoint: Endpoint): AsyncEither<EngineFailure, EngineState> {
    return this.#call("state", endpoint, (engine) => engine.readState());
  }

  /** Has no effect. */
  dispose(): void {
    // Streams are disposed of by the objects that opened them.
  }

  /**
   * Connects to an engine. An unreachable engine is detected only when the
   * connection attempt times out.
   */
  #connect(
    endpoint: Endpoint,
    stream: InProcessStream,
    onConnected: (engine: SimulatedEngine) => void,
  ): void {
    this.#clock.setTimer(LINK_DELAY_MS, () => {
      const engine = this.#reach(endpoint);
      if (engine) onConnected(engine);
      else if (this.cutAddresses.has(endpoint.address)) {
        this.#clock.setTimer(CONNECT_TIMEOUT_MS, () => {
          stream.close({
            kind: "not-run",
            reason: "unreachable",
            detail: "the connection attempt timed out",
          });
        });
      } else {
        stream.close({
          kind: "not-run",
          reason: "down",
          detail: "connection refused",
        });
      }
    });
  }

  #reach({ address }: Endpoint): SimulatedEngine | undefined {
    const engine = this.#engines.get(address);
    return engine?.isDown || this.cutAddresses.has(address)
      ? undefined
      : engine;
  }

  async #call<T>(
    step: string,
    endpoint: Endpoint,
    run: (engine: SimulatedEngine) => T,
  ): AsyncEither<EngineFailure, T> {
    await sleep(this.#clock, LINK_DELAY_MS + this.callDelayMs);
    const engine = this.#reach(endpoint);
    if (engine) return Right(run(engine));
    if (!this.cutAddresses.has(endpoint.address)) {
      return Left(toFailure(step, endpoint, "not-done"));
    }
    await sleep(this.#clock, CALL_TIMEOUT_MS);
    return Left(toFailure(step, endpoint, "unknown"));
  }
}

/** Delivers frames with the delay of a network connection. */
class InProcessStream implements EngineStream {
  readonly #clock: Clock;
  readonly #listener: EngineStreamListener;
  #engine: SimulatedEngine | undefined;
  #id: GenerationId | undefined;
  #pausedDeliveries: (() => void)[] = [];
  #isPaused = false;
  #isDisposed = false;

  constructor(clock: Clock, listener: EngineStreamListener) {
    this.#clock = clock;
    this.#listener = listener;
  }

  /** Attaches the stream to a generation after the engine has accepted it. */
  bind(engine: SimulatedEngine, id: GenerationId): void {
    this.#engine = engine;
    this.#id = id;
    if (this.#isDisposed) engine.detach(id, this);
    else this.#listener.onAccepted();
  }

  onFrames(frames: readonly EngineFrame[]): void {
    this.#deliver(() => this.#listener.onFrames(frames));
  }

  onClosed(reason: "closed" | "broken"): void {
    this.close(
      reason === "closed"
        ? { kind: "closed" }
        : { kind: "lost", detail: "the connection was lost" },
    );
  }

  close(close: Parameters<EngineStreamListener["onClosed"]>[0]): void {
    this.#deliver(() => {
      this.#isDisposed = true;
      this.#listener.onClosed(close);
    });
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    const pausedDeliveries = this.#pausedDeliveries;
    this.#pausedDeliveries = [];
    for (const run of pausedDeliveries) this.#run(run);
  }

  dispose(): void {
    this.#isDisposed = true;
    if (this.#engine && this.#id) this.#engine.detach(this.#id, this);
  }

  #deliver(run: () => void): void {
    this.#clock.setTimer(LINK_DELAY_MS, () => this.#run(run));
  }

  #run(run: () => void): void {
    if (this.#isDisposed) return;
    if (this.#isPaused) this.#pausedDeliveries.push(run);
    else run();
  }
}

function toFailure(
  step: string,
  { address }: Endpoint,
  kind: EngineFailure["kind"],
): EngineFailure {
  return { kind, step: `engine.${step}`, peer: address, detail: kind };
}
