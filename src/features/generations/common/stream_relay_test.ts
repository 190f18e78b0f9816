import { ManualClock } from "../../../base/common/clock.ts";
import { type Address, asId } from "../../../base/common/ids.ts";
import { SeededRandom } from "../../../base/common/random.ts";
import type {
  EngineFrame,
  EngineStreamListener,
} from "../../../services/endpoints/common/engine_client.ts";
import { NOOP_METRICS } from "../../../services/metrics/common/metrics.ts";
import { RetryBudget } from "../../retries/common/retry_budget.ts";
import type { Token } from "./frame_sequencer.ts";
import type { RelayServices } from "./relay_services.ts";
import { StallTimeouts } from "./stall_timeouts.ts";
import { type RelayResult, StreamRelay } from "./stream_relay.ts";

/** Connection state as observed by the engine. */
interface FakeConnection {
  readonly listener: EngineStreamListener;
  readonly fromOffset: number;
  isOpen: boolean;
  isPaused: boolean;
}

function token(offset: number, generation = "g"): EngineFrame {
  return { kind: "token", generation, offset, text: `t${offset}` };
}

function createRelay(canRestart = false) {
  const clock = new ManualClock();
  const connections: FakeConnection[] = [];
  const received: Token[] = [];
  const results: RelayResult[] = [];
  const state = { isSlow: false, dropped: 0 };
  const connect = (listener: EngineStreamListener, fromOffset: number) => {
    const connection = { listener, fromOffset, isOpen: true, isPaused: false };
    connections.push(connection);
    return {
      pause: () => void (connection.isPaused = true),
      resume: () => void (connection.isPaused = false),
      dispose: () => void (connection.isOpen = false),
    };
  };
  const services = {
    clock,
    engines: {
      resume: (
        _endpoint: unknown,
        _id: unknown,
        fromOffset: number,
        listener: EngineStreamListener,
      ) => connect(listener, fromOffset),
    },
    metrics: {
      ...NOOP_METRICS,
      count: (name: string, by = 1) => {
        if (name === "frames_dropped") state.dropped += by;
      },
    },
    retries: new RetryBudget({ clock, random: new SeededRandom(1) }),
    stallTimeouts: new StallTimeouts(clock),
  } as unknown as RelayServices;
  const endpoint = { id: asId("e"), address: asId<Address>("127.0.0.1:1") };
  const relay = new StreamRelay(services, endpoint as never, asId("g"), 0, {
    onAccepted: () => undefined,
    onTokens: (tokens) => {
      received.push(...tokens);
      return !state.isSlow;
    },
    onEnded: (result) => results.push(result),
    canRestart: () => canRestart,
  });
  relay.open((listener) => connect(listener, 0));
  const send = (number: number, frames: EngineFrame[]) =>
    connections[number]!.listener.onFrames(frames);
  return { clock, connections, received, results, state, relay, send };
}

type Fixture = ReturnType<typeof createRelay>;

/** Sends one token every 20 ms over the first connection. */
function sendSteadily({ clock, send, connections }: Fixture, count: number) {
  connections[0]!.listener.onAccepted();
  for (let offset = 0; offset < count; offset++) {
    clock.advance(20);
    send(0, [token(offset)]);
  }
}

function offsetsOf({ received }: Fixture): number[] {
  return received.map(({ offset }) => offset);
}

describe("StreamRelay", () => {
  it("opens a second connection at the offset and closes the stalled one", () => {
    const fixture = createRelay();
    sendSteadily(fixture, 30);
    const { clock, connections, send } = fixture;
    clock.advance(299);
    expect(connections).toHaveLength(1);
    clock.advance(2);
    expect(connections.map(({ fromOffset }) => fromOffset)).toEqual([0, 30]);
    expect(connections[0]!.isOpen).toBe(true);
    send(1, [token(30), token(31)]);
    expect(connections.map(({ isOpen }) => isOpen)).toEqual([false, true]);
    send(0, [token(32)]);
    expect(offsetsOf(fixture)).toEqual([...Array(32).keys()]);
  });

  it("keeps the first connection if it delivers the next token first", () => {
    const fixture = createRelay();
    sendSteadily(fixture, 30);
    const { clock, connections, send } = fixture;
    clock.advance(301);
    send(0, [token(30)]);
    expect(connections.map(({ isOpen }) => isOpen)).toEqual([true, false]);
    clock.advance(1_000);
    expect(connections).toHaveLength(2);
  });

  it("fills a token gap of an active connection through a second one", () => {
    const fixture = createRelay();
    sendSteadily(fixture, 30);
    const { clock, connections, send } = fixture;
    for (let offset = 31; offset < 60; offset++) {
      clock.advance(20);
      send(0, [token(offset)]);
    }
    expect(connections[1]!.fromOffset).toBe(30);
    send(1, [token(30)]);
    expect(offsetsOf(fixture)).toEqual([...Array(60).keys()]);
  });

  it("drops and counts unrelated, duplicate and inconsistent frames", () => {
    const fixture = createRelay();
    sendSteadily(fixture, 3);
    const end = { kind: "end", generation: "g", finish: "stop" } as const;
    fixture.send(0, [
      token(3, "other"),
      token(1),
      { ...end, offset: 1 },
      token(3),
      { ...end, generation: "other", offset: 4 },
      { ...end, offset: 5 },
      token(5),
    ]);
    expect(fixture.state.dropped).toBe(5);
    expect(fixture.results).toEqual([]);
    fixture.send(0, [token(4)]);
    expect(offsetsOf(fixture)).toEqual([0, 1, 2, 3, 4]);
    expect(fixture.results).toEqual([{ kind: "finished", finish: "stop" }]);
  });

  it("pauses reading for a slow caller without detecting a stall", () => {
    const fixture = createRelay();
    sendSteadily(fixture, 30);
    const { clock, connections, relay, send, state } = fixture;
    state.isSlow = true;
    send(0, [token(30)]);
    expect(connections[0]!.isPaused).toBe(true);
    clock.advance(60_000);
    expect(connections).toHaveLength(1);
    state.isSlow = false;
    relay.resumeReading();
    expect(connections[0]!.isPaused).toBe(false);
    clock.advance(301);
    expect(connections[1]!.fromOffset).toBe(31);
  });

  it("reports a dead endpoint although its stalled connection stays open", () => {
    const fixture = createRelay();
    sendSteadily(fixture, 30);
    const { clock, connections, results } = fixture;
    for (let next = 1; results.length === 0 && next < 1_000;) {
      clock.advance(10);
      if (connections.length <= next) continue;
      connections[next++]!.listener.onClosed({
        kind: "not-run",
        reason: "down",
        detail: "",
      });
    }
    expect(results).toMatchObject([{ kind: "lost", endpoint: "dead" }]);
    expect(clock.monotonicMs()).toBeLessThan(2_000);
  });

  it.each(
    [
      [false, "unreachable", 4_000],
      [true, "unreachable", 500],
      [false, "down", 200],
    ] as const,
  )(
    "reports a lost generation (can restart: %s, endpoint %s) after %d ms",
    (canRestart, reason, windowMs) => {
      const { clock, connections, results } = createRelay(canRestart);
      const close = { kind: "not-run", reason, detail: "" } as const;
      connections[0]!.listener.onAccepted();
      connections[0]!.listener.onClosed({ kind: "lost", detail: "" });
      let waitedMs = 0;
      for (let next = 1; results.length === 0; waitedMs += 10) {
        clock.advance(10);
        if (connections.length <= next) continue;
        connections[next++]!.listener.onClosed(close);
      }
      const endpoint = reason === "down" ? "dead" : "unreachable";
      expect(results[0]).toMatchObject({ kind: "lost", endpoint });
      expect(waitedMs).toBeGreaterThanOrEqual(windowMs - 10);
      expect(waitedMs).toBeLessThan(windowMs + 1_000);
    },
  );
});
