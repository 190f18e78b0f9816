import { flushPromises, ManualClock } from "../../../../base/common/clock.ts";
import { setUnexpectedErrorHandler } from "../../../../base/common/errors.ts";
import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import {
  timestampBefore,
  timestampNow,
} from "../../../../base/common/timestamp.ts";
import { NOOP_LOGGER } from "../../../../services/log/common/logger.ts";
import { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import {
  EndpointSurvival,
  type LivenessQuestion,
  type QuestionKind,
  type Survival,
} from "./endpoint_survival.ts";
import type { Liveness } from "../protocol/engine_control.ts";
import { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { RightOffer } from "../limits/right_schedule.ts";

const BORN_MS = 1_000;
/** A sound process may send nothing for this time. */
const SILENCE_MS = 1_000;
/** An end is given up within this time. */
const MAX_CHECK_MS = 2_000;
const ANSWERED: Liveness = { kind: "answered", bornMs: BORN_MS };
const NO_ANSWER: Liveness = { kind: "no-answer", detail: "timed out" };

/** A question that was asked and is not answered yet. */
interface Question {
  readonly path: "direct" | "peers" | "same";
  readonly kind: QuestionKind;
  readonly atMs: number;
  answeredMs: number | undefined;
  readonly answer: (liveness: Liveness) => Promise<void>;
}

/** A check in progress. */
interface Check {
  survival: Survival | undefined;
  endedMs: number | undefined;
  isCancelled?: boolean;
}

describe("EndpointSurvival", () => {
  let clock: ManualClock;
  let endpoint: RegisteredEndpoint;
  let survival: EndpointSurvival;
  let questions: Question[];
  let isRefused: boolean;
  let arePeersAsked: boolean;
  let isLimited: boolean;
  let offers: RightOffer[];
  let metrics: GatewayMetrics;

  beforeEach(() => {
    clock = new ManualClock();
    endpoint = createEndpoint(BORN_MS);
    questions = [];
    isRefused = false;
    arePeersAsked = false;
    isLimited = false;
    offers = [];
    metrics = new GatewayMetrics();
    survival = new EndpointSurvival({
      clock,
      logger: NOOP_LOGGER,
      metrics,
      askDirectly: askOn("direct"),
      askThroughPeers: (asked, kind) =>
        arePeersAsked
          ? askOn("peers")(asked, kind)
          : Promise.resolve(NO_ANSWER),
      isRefused: () => isRefused,
      limits: () => ({
        isLimited: () => isLimited,
        take: () => Promise.resolve(offers.shift()!),
      }),
    });
  });

  it("asks again after an unexpected error, which does not spoil later checks", async () => {
    const thrown: unknown[] = [];
    const handler = setUnexpectedErrorHandler((error) => thrown.push(error));
    isLimited = true;
    const ended = [1, 2].map(() =>
      survival.check({ endpoint, isCancelled: () => false })
        .catch((error: unknown) => error)
    );
    await flushPromises();
    isLimited = false;
    await answerFor(MAX_CHECK_MS, 5, () => ANSWERED);
    expect(await Promise.all(ended)).toEqual(["outlived", "outlived"]);
    expect(thrown).toHaveLength(2);
    handler.dispose();
  });

  function createEndpoint(bornMs: number): RegisteredEndpoint {
    return new RegisteredEndpoint({
      id: "e-1" as EndpointId,
      service: "s" as ServiceId,
      address: "10.0.0.1:80" as Address,
      zone: "z" as ZoneName,
      slots: 4,
      bornMs,
      isDraining: false,
      warmUpRemainingMs: 0,
    }, clock.monotonicMs());
  }

  function askOn(path: Question["path"]): LivenessQuestion {
    return (_endpoint, kind) =>
      new Promise((resolve) => {
        const question: Question = {
          path,
          kind,
          atMs: clock.monotonicMs(),
          answeredMs: undefined,
          answer: async (liveness) => {
            question.answeredMs = clock.monotonicMs();
            resolve(liveness);
            await flushPromises();
          },
        };
        questions.push(question);
      });
  }

  /**
   * @param askOnPath - Asks on the path of the response, if it is not direct.
   * @param ageMs - Time for which the end may have been on its way.
   */
  async function check(
    askOnPath?: LivenessQuestion,
    ageMs = 0,
  ): Promise<Check> {
    const started: Check = { survival: undefined, endedMs: undefined };
    const isCancelled = () => started.isCancelled === true;
    const endedSince = timestampBefore(timestampNow(clock), ageMs);
    const response = { endpoint, endedSince, askOnPath, isCancelled };
    void survival.check(response).then((result) => {
      started.survival = result;
      started.endedMs = clock.monotonicMs();
    });
    await flushPromises();
    return started;
  }

  /** Answers each question that is asked within some time after a delay. */
  async function answerFor(
    durationMs: number,
    delayMs: number,
    liveness: (atMs: number) => Liveness,
  ): Promise<void> {
    const endMs = clock.monotonicMs() + durationMs;
    let answered = 0;
    while (clock.monotonicMs() < endMs) {
      await clock.advanceAsync(10);
      while (answered < questions.length) {
        const question = questions[answered]!;
        if (clock.monotonicMs() < question.atMs + delayMs) break;
        answered++;
        await question.answer(liveness(question.atMs));
      }
    }
  }

  it("is outlived at the first answer, without waiting", async () => {
    const checked = await check();
    await clock.advanceAsync(3);
    expect(checked.survival).toBeUndefined();
    await questions[0]!.answer(ANSWERED);
    expect(checked).toEqual({ survival: "outlived", endedMs: 3 });
    expect(questions.map(({ path }) => path)).toEqual(["direct"]);
    expect(metrics.counters.get("response_ends_checked:outlived")).toBe(1);
  });

  it("is given up at once where nothing listens any more", async () => {
    const checked = await check();
    isRefused = true;
    await questions[0]!.answer(NO_ANSWER);
    expect(checked).toEqual({ survival: "refused", endedMs: 0 });
  });

  it.each([["later", BORN_MS + 1], ["earlier", BORN_MS - 1]])(
    "is not taken for outlived when a process with a %s start time answers",
    async (_which, bornMs) => {
      const checked = await check();
      await questions[0]!.answer({ kind: "answered", bornMs });
      expect(checked.survival).toBe("replaced");
    },
  );

  // An absent value is unknown, and never "another one".
  it.each<[string, number, number | undefined]>([
    ["the answer states no start time", BORN_MS, undefined],
    ["the entry has no start time", 0, BORN_MS],
    ["neither has a start time", 0, undefined],
  ])("is not taken for replaced where %s", async (_where, known, answered) => {
    endpoint = createEndpoint(known);
    const checked = await check();
    await questions[0]!.answer({ kind: "answered", bornMs: answered });
    expect(checked.survival).toBe("outlived");
  });

  it("is not given up while a sound process is silent for a second", async () => {
    const checked = await check();
    const wakesMs = SILENCE_MS;
    await answerFor(
      MAX_CHECK_MS,
      400,
      (atMs) => atMs + 400 >= wakesMs ? ANSWERED : NO_ANSWER,
    );
    expect(checked.survival).toBe("outlived");
    expect(checked.endedMs).toBeGreaterThanOrEqual(wakesMs);
  });

  // Guards against the answer of another process at an address that is used again.
  it.each<[string, number | undefined, Survival]>([
    ["that states no start time", undefined, "silent"],
    ["that states the known start time", BORN_MS, "outlived"],
  ])(
    "takes a first answer after two seconds, %s, for what it shows",
    async (_which, bornMs, expected) => {
      const checked = await check();
      await answerFor(
        4_000,
        800,
        (atMs) =>
          atMs + 800 >= 2_000 ? { kind: "answered", bornMs } : NO_ANSWER,
      );
      expect(checked.survival).toBe(expected);
    },
  );

  describe("that may be older than the address of its process", () => {
    const OLD_MS = 2_500;
    const UNNAMED: Liveness = { kind: "answered", bornMs: undefined };

    beforeEach(() => {
      endpoint = createEndpoint(0);
    });

    // Guards against the end of a process that was read late, after another one
    // had begun to answer at its address.
    it.each<[string, boolean, Survival]>([
      ["another one", false, "replaced"],
      ["the endpoint", true, "outlived"],
    ])(
      "is checked by a question for the endpoint, which %s answers",
      async (_which, isExpected, expected) => {
        const checked = await check(undefined, OLD_MS);
        expect(questions.map(({ kind }) => kind)).toEqual(["identity"]);
        await questions[0]!.answer({ ...UNNAMED, isExpected });
        expect(checked).toEqual({ survival: expected, endedMs: 0 });
      },
    );

    it("is not taken for outlived when no answer names its process", async () => {
      const checked = await check(undefined, OLD_MS);
      await answerFor(MAX_CHECK_MS, 5, () => UNNAMED);
      expect(checked.survival).toBe("silent");
    });

    it("is outlived once an answer names its process", async () => {
      const checked = await check(undefined, OLD_MS);
      await answerFor(
        MAX_CHECK_MS,
        5,
        (atMs) => atMs > 300 ? { ...UNNAMED, isExpected: true } : UNNAMED,
      );
      expect(checked.survival).toBe("outlived");
    });

    it("is checked on the path of its response", async () => {
      const checked = await check(askOn("same"), OLD_MS);
      expect(questions.map(({ kind, path }) => [kind, path]))
        .toEqual([["identity", "same"]]);
      await questions[0]!.answer({ ...UNNAMED, isExpected: false });
      expect(checked.survival).toBe("replaced");
    });

    it("is checked by the start time where no answer names the endpoint", async () => {
      endpoint = createEndpoint(BORN_MS);
      const checked = await check(undefined, OLD_MS);
      await questions[0]!.answer(UNNAMED);
      await clock.advanceAsync(50);
      expect(questions.map(({ kind }) => kind)).toEqual([
        "identity",
        "liveness",
      ]);
      await questions[1]!.answer(ANSWERED);
      expect(checked.survival).toBe("outlived");
    });

    it("is told from one that has just come, which any answer verifies", async () => {
      const checked = await check(undefined, 100);
      expect(questions.map(({ kind }) => kind)).toEqual(["liveness"]);
      await questions[0]!.answer(UNNAMED);
      expect(checked.survival).toBe("outlived");
    });
  });

  it("is not taken for outlived when the process is silent to the end", async () => {
    const checked = await check();
    await answerFor(MAX_CHECK_MS + 500, 400, () => NO_ANSWER);
    expect(checked.survival).toBe("silent");
    expect(checked.endedMs).toBeGreaterThan(SILENCE_MS);
    expect(checked.endedMs).toBeLessThanOrEqual(MAX_CHECK_MS);
  });

  it("is not taken for outlived by a process that is silent and then refused or replaced", async () => {
    const refused = await check();
    await answerFor(900, 400, () => NO_ANSWER);
    isRefused = true;
    await answerFor(500, 400, () => NO_ANSWER);
    expect(refused.survival).toBe("refused");
    isRefused = false;
    const replaced = await check();
    const fromMs = clock.monotonicMs();
    await answerFor(
      1_000,
      200,
      (atMs) =>
        atMs > fromMs ? { kind: "answered", bornMs: BORN_MS + 1 } : NO_ANSWER,
    );
    expect(replaced.survival).toBe("replaced");
  });

  describe("ends that come together", () => {
    // The process may have answered just before it ended.
    it("are not verified by a question that was in flight when they came", async () => {
      const first = await check();
      await clock.advanceAsync(5);
      const second = await check();
      expect(questions).toHaveLength(1);
      await questions[0]!.answer(ANSWERED);
      expect([first.survival, second.survival]).toEqual([
        "outlived",
        undefined,
      ]);
      expect(questions.map(({ atMs }) => atMs)).toEqual([0, 5]);
      isRefused = true;
      await questions[1]!.answer(NO_ANSWER);
      expect(second.survival).toBe("refused");
    });

    it("share the next question", async () => {
      await check();
      const later = [await check(), await check(), await check()];
      await questions[0]!.answer(ANSWERED);
      expect(questions).toHaveLength(2);
      await questions[1]!.answer(ANSWERED);
      expect(later.map((one) => one.survival)).toEqual([
        "outlived",
        "outlived",
        "outlived",
      ]);
      expect(questions).toHaveLength(2);
    });

    it("each get an answer to a question asked after them, whenever they come", async () => {
      const checks: { readonly check: Check; readonly askedBefore: number }[] =
        [];
      let answered = 0;
      for (let step = 0; step < 60; step++) {
        const askedBefore = questions.length;
        checks.push({ check: await check(), askedBefore });
        await clock.advanceAsync(1);
        if (step % 7 === 6) await questions[answered++]!.answer(ANSWERED);
      }
      while (answered < questions.length) {
        await questions[answered++]!.answer(ANSWERED);
      }
      for (const { check, askedBefore } of checks) {
        expect(check.survival).toBe("outlived");
        const { answeredMs } = questions[askedBefore]!;
        expect(check.endedMs).toBeGreaterThanOrEqual(answeredMs!);
      }
      expect(questions.length).toBeLessThan(checks.length / 4);
    });

    it("of two processes at one address do not share a question", async () => {
      const first = await check();
      endpoint = createEndpoint(BORN_MS + 1);
      const second = await check();
      expect(questions).toHaveLength(2);
      await questions[0]!.answer({ kind: "answered", bornMs: BORN_MS + 1 });
      await questions[1]!.answer({ kind: "answered", bornMs: BORN_MS + 1 });
      expect([first.survival, second.survival]).toEqual([
        "replaced",
        "outlived",
      ]);
    });

    it("are checked anew after earlier ones", async () => {
      const first = await check();
      await questions[0]!.answer(ANSWERED);
      await clock.advanceAsync(1);
      const second = await check();
      expect(first.survival).toBe("outlived");
      expect(second.survival).toBeUndefined();
      expect(questions).toHaveLength(2);
    });
  });

  describe("of a process that leaves", () => {
    const leaving = (shutdownInMs?: number): Liveness => ({
      kind: "answered",
      bornMs: BORN_MS,
      isDraining: true,
      shutdownInMs,
    });

    it.each([["in 40 ms", 40], ["at a time that is not known", undefined]])(
      "is not taken for outlived at once when it stops %s",
      async (_when, shutdownInMs) => {
        const checked = await check();
        await questions[0]!.answer(leaving(shutdownInMs));
        expect(checked.survival).toBeUndefined();
        await clock.advanceAsync(60);
        expect(questions).toHaveLength(2);
        isRefused = true;
        await questions[1]!.answer(NO_ANSWER);
        expect(checked.survival).toBe("refused");
      },
    );

    it("is outlived soon when it answers again", async () => {
      const checked = await check();
      await questions[0]!.answer(leaving(40));
      await clock.advanceAsync(60);
      await questions[1]!.answer(leaving(1));
      expect(checked.survival).toBe("outlived");
      expect(checked.endedMs).toBeLessThanOrEqual(100);
    });

    it("is outlived at once when it stops in seconds", async () => {
      const checked = await check();
      await questions[0]!.answer(leaving(1_700));
      expect(checked).toEqual({ survival: "outlived", endedMs: 0 });
    });

    it("is asked again when only its entry said that it leaves", async () => {
      endpoint.wasLeaving = true;
      const checked = await check();
      await questions[0]!.answer(ANSWERED);
      expect(checked.survival).toBeUndefined();
      await clock.advanceAsync(60);
      await questions[1]!.answer(ANSWERED);
      expect(checked.survival).toBe("outlived");
    });

    it("is not asked again when neither says so", async () => {
      const checked = await check();
      await questions[0]!.answer({ ...ANSWERED, isDraining: false });
      expect(checked.survival).toBe("outlived");
    });
  });

  describe("of an endpoint with a limit", () => {
    const denied: RightOffer = {
      kind: "denied",
      freeInMs: 300,
      retryAfterMs: 300,
    };
    const granted: RightOffer = { kind: "granted", waitMs: 0 };

    beforeEach(() => {
      isLimited = true;
    });

    it("takes a right for its question", async () => {
      offers = [granted];
      const checked = await check();
      await questions[0]!.answer(ANSWERED);
      expect(checked.survival).toBe("outlived");
      expect(offers).toEqual([]);
    });

    it("asks only with a right, and as soon as there is one", async () => {
      offers = [denied, denied, granted];
      const checked = await check();
      expect(questions).toEqual([]);
      await clock.advanceAsync(200);
      expect(questions).toHaveLength(1);
      await questions[0]!.answer(ANSWERED);
      expect(checked.survival).toBe("outlived");
    });

    it("is neither outlived nor given up while there is none", async () => {
      offers = Array.from({ length: 100 }, () => denied);
      const checked = await check();
      await clock.advanceAsync(MAX_CHECK_MS);
      expect(questions).toEqual([]);
      expect(checked.survival).toBeUndefined();
    });
  });

  describe("of an endpoint that wants nothing from this host for a time", () => {
    beforeEach(() => {
      endpoint.heldUntilMs = clock.monotonicMs() + 5_000;
      arePeersAsked = true;
    });

    it("is asked about once directly, and then through peers", async () => {
      const first = await check();
      await questions[0]!.answer(ANSWERED);
      const second = await check();
      await questions[1]!.answer(ANSWERED);
      expect(questions.map(({ path }) => path)).toEqual(["direct", "peers"]);
      expect([first.survival, second.survival]).toEqual([
        "outlived",
        "outlived",
      ]);
    });

    it("is not given up while it may not be asked", async () => {
      const first = await check();
      await questions[0]!.answer(ANSWERED);
      arePeersAsked = false;
      const second = await check();
      await clock.advanceAsync(MAX_CHECK_MS);
      expect([first.survival, second.survival]).toEqual([
        "outlived",
        undefined,
      ]);
      expect(questions).toHaveLength(1);
    });
  });

  describe("of a process that this host does not reach", () => {
    beforeEach(() => {
      arePeersAsked = true;
      isRefused = true;
    });

    it("is outlived when peers are answered by the same process", async () => {
      const checked = await check();
      await questions[0]!.answer(NO_ANSWER);
      await questions[1]!.answer(ANSWERED);
      expect(questions.map(({ path }) => path)).toEqual(["direct", "peers"]);
      expect(checked.survival).toBe("outlived");
    });

    it("is not taken for outlived when its entry has no start time", async () => {
      endpoint = createEndpoint(0);
      const checked = await check();
      await questions[0]!.answer(NO_ANSWER);
      await questions[1]!.answer(ANSWERED);
      expect(checked.survival).toBe("refused");
    });

    it("is not taken for outlived when peers are answered without a start time", async () => {
      const checked = await check();
      await questions[0]!.answer(NO_ANSWER);
      await questions[1]!.answer({ kind: "answered", bornMs: undefined });
      expect(checked.survival).toBe("refused");
    });
  });

  it("is outlived when the process answers a request that was sent after the end", async () => {
    const checked = await check();
    await clock.advanceAsync(5);
    survival.recordAnswer(endpoint, clock.monotonicMs());
    await questions[0]!.answer(NO_ANSWER);
    expect(checked.survival).toBe("outlived");
  });

  it("is not taken for outlived by an answer to a request that was sent before the end", async () => {
    await clock.advanceAsync(5);
    const checked = await check();
    survival.recordAnswer(endpoint, clock.monotonicMs() - 1);
    isRefused = true;
    await questions[0]!.answer(NO_ANSWER);
    expect(checked.survival).toBe("refused");
  });

  it("is not given up after one question that outlasts a pause of this host", async () => {
    const checked = await check();
    await clock.advanceAsync(MAX_CHECK_MS);
    await questions[0]!.answer(NO_ANSWER);
    expect(checked.survival).toBeUndefined();
    await clock.advanceAsync(60);
    await questions[1]!.answer(ANSWERED);
    expect(checked.survival).toBe("outlived");
  });

  it("ends without a verdict when its response is not needed any more", async () => {
    const checked = await check();
    checked.isCancelled = true;
    await questions[0]!.answer(NO_ANSWER);
    await clock.advanceAsync(60);
    expect(checked.survival).toBe("cancelled");
    expect(questions).toHaveLength(1);
  });

  it("is asked on the path of the answer where that was not the direct one", async () => {
    const checked = await check(askOn("same"));
    const other = await check(askOn("same"));
    expect(questions.map(({ path }) => path)).toEqual(["same", "same"]);
    await questions[0]!.answer(ANSWERED);
    expect(checked.survival).toBe("outlived");
    expect(other.survival).toBeUndefined();
  });
});
