/**
 * Generates the load of a soak: concurrent callers that each send one request at
 * a time to random daemons and report what they received.
 */

import { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import type { SeededRandom } from "../src/base/common/random.ts";
import {
  REQUEST_TIMEOUT_MS,
  sendToDaemon,
  SYSTEM_PART,
} from "./caller_request.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import {
  bodyOf,
  type InvariantChecker,
  type RequestResult,
  type SentRequest,
} from "./invariant_checker.ts";
import type { SoakService } from "./retry_rules.ts";
import { CRASHING_PART } from "./endpoint_observer.ts";
import { shortIdOf } from "./answer_shapes.ts";
import { WORKSPACE_BY_KEY } from "./soak_deployment.ts";

const REQUEST_KINDS = ["book", "read", "draft", "check"] as const;
const REQUEST_PATHS = {
  book: "/book/x",
  upload: "/book/x",
  read: "/read/x",
  draft: "/stream/x",
  check: "/again/stream/x",
};
/** Share of the requests that are uploads, if there are any. */
const UPLOAD_SHARE = 0.06;
/** Events of a check after which its caller closes the connection. */
const CHECK_BREAK_EVENTS = 8;
/** Tries that take one stream up. */
const MAX_TAKE_UPS = 3;
const MAX_TAKE_UP_GAP_MS = 500;
/** Share of the callers that wait before they take a stream up. */
const LATE_SHARE = 0.2;
const MAX_LATE_MS = 4_000;
/** Status of refusals that another daemon may not repeat. */
const REFUSED_STATUS = 503;
/**
 * Share of take-ups that are sent to preferred daemons, and of requests that are
 * checks while there are some.
 */
const PREFERRED_SHARE = 0.6;
/** Time between two tainted requests, in milliseconds. */
const TAINTED_GAP_MS = 300;
const TAINTED_KINDS = ["book", "draft"] as const;
/** Paths of the requests that crash endpoints; the path is their body too. */
const POISON_PATHS = ["/book/poison", "/read/poison", "/stream/poison"];
const POISON_KEY = "key-a";
const POISON_GAP_MS = 250;

/**
 * Short requests of each kind that a started daemon gets. It may send others
 * again only after it has served some.
 */
const SHORT_COUNT = 120;
const SOLO_CALL: SimpleRequest = {
  kind: "solo",
  path: "/solo/x",
  service: "solo",
};
const SHORT_REQUESTS: readonly SimpleRequest[] = [
  { kind: "read", path: REQUEST_PATHS.read, service: "app" },
  SOLO_CALL,
  { kind: "check", path: REQUEST_PATHS.check, service: "llm" },
];
const SHORT_KEY = "key-a";
const SHORT_CALLERS = 3;
const START_CHECK_INTERVAL_MS = 100;
/** Callers of the service with one endpoint. */
const SOLO_CALLERS = 4;
const SOLO_REQUESTS: readonly SimpleRequest[] = [
  SOLO_CALL,
  { kind: "draft", path: "/solo/stream/x", service: "solo" },
];
const SOLO_GAP_MS = 30;

/** A request that its caller sends once. */
interface SimpleRequest {
  readonly kind: SentRequest["kind"];
  readonly path: string;
  readonly service: SoakService;
}

/** Runs concurrent callers until it is stopped. */
export class CallerPool {
  readonly #random: SeededRandom;
  readonly #daemons: readonly DaemonProcess[];
  readonly #preferredDaemons: () => readonly DaemonProcess[];
  readonly #invariants: InvariantChecker;
  readonly #gapMs: number;
  readonly #sendsCrashing: boolean;
  readonly #sendsUploads: boolean;
  // Connections are reused until the daemon process ends.
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 200 });
  #isStopping = false;
  #requestCount = 0;
  /** Number of starts after which each daemon got its short requests. */
  readonly #servedStarts = new Map<DaemonProcess, number>();
  #shortCount = 0;

  /**
   * @param random - Source of the choice of daemon, request kind and API key.
   * @param daemons - Daemons that receive the requests.
   * @param invariants - Checker that records each request and its result.
   * @param gapMs - Time between the requests of a caller, in milliseconds.
   * @param preferredDaemons - Returns daemons at which more streams are taken up
   * than at others. While there are some, more streams begin.
   * @param sendsCrashing - Whether further callers send requests that crash
   * endpoints.
   * @param sendsUploads - Whether some calls have large bodies without a declared
   * length.
   */
  constructor(
    random: SeededRandom,
    daemons: readonly DaemonProcess[],
    invariants: InvariantChecker,
    gapMs: number,
    preferredDaemons: () => readonly DaemonProcess[] = () => [],
    sendsCrashing = true,
    sendsUploads = true,
  ) {
    this.#random = random;
    this.#daemons = daemons;
    this.#invariants = invariants;
    this.#gapMs = gapMs;
    this.#preferredDaemons = preferredDaemons;
    this.#sendsCrashing = sendsCrashing;
    this.#sendsUploads = sendsUploads;
  }

  /** Number of short requests that were sent. */
  get shortCount(): number {
    return this.#shortCount;
  }

  /**
   * Sends short requests to all daemons; while callers run, also to those that
   * start again.
   */
  async sendShort(): Promise<void> {
    for (const daemon of this.#daemons) this.#servedStarts.set(daemon, 0);
    await Promise.all(this.#daemons.map((daemon) => this.#serveStart(daemon)));
  }

  /**
   * Runs callers until {@link stop} is called.
   *
   * @param callerCount - Number of concurrent callers.
   * @returns A promise that resolves when all callers have stopped.
   */
  async run(callerCount: number): Promise<void> {
    const callers = Array.from(
      { length: callerCount },
      () => this.#runCaller(),
    );
    const crashing = this.#sendsCrashing
      ? [
        ...POISON_PATHS.map((path) => this.#repeatPoison(path)),
        ...TAINTED_KINDS.map((kind) => this.#sendTainted(kind)),
      ]
      : [];
    const starts = [...this.#servedStarts.keys()].map((daemon) =>
      this.#serveStarts(daemon)
    );
    const solo = Array.from(
      { length: starts.length > 0 ? SOLO_CALLERS : 0 },
      (_, index) =>
        this.#repeatSolo(SOLO_REQUESTS[index % SOLO_REQUESTS.length]!),
    );
    await Promise.all([...callers, ...crashing, ...starts, ...solo]);
    this.#agent.destroy();
  }

  /** Stops each caller after its current request. */
  stop(): void {
    this.#isStopping = true;
  }

  async #runCaller(): Promise<void> {
    while (!this.#isStopping) {
      const daemon = this.#pick(this.#daemons);
      const kind = this.#pickKind();
      const key = this.#pick([...WORKSPACE_BY_KEY.keys()]);
      const id = `q-${++this.#requestCount}`;
      const sentMs = Date.now();
      const sent: SentRequest = {
        id,
        kind,
        daemon: daemon.options.name,
        key,
        sentMs,
        firstTry: id,
        result: undefined,
      };
      const isStream = kind === "draft" || kind === "check";
      this.#recordSent(sent, isStream ? "llm" : "app");
      if (kind === "check") await this.#sendAndTakeUp(daemon, sent);
      else {
        const path = REQUEST_PATHS[kind];
        sent.result = await sendToDaemon(
          this.#agent,
          daemon,
          sent,
          path,
          bodyOf(sent),
        );
      }
      await wait(this.#gapMs);
    }
  }

  /**
   * Breaks a stream off after some events and takes it up at other daemons until
   * it is complete.
   */
  async #sendAndTakeUp(
    daemon: DaemonProcess,
    first: SentRequest,
  ): Promise<void> {
    const path = REQUEST_PATHS.check;
    first.result = await sendToDaemon(
      this.#agent,
      daemon,
      first,
      path,
      first.id,
      {
        breakAfterEvents: CHECK_BREAK_EVENTS,
      },
    );
    let { result } = first;
    let lastEvent = lastEventOf(result);
    if (result.kind === "answered") return;
    if (this.#random.float() < LATE_SHARE) {
      await wait(this.#random.float() * MAX_LATE_MS);
    }
    for (let tryCount = 0; tryCount < MAX_TAKE_UPS; tryCount++) {
      if (lastEvent === undefined) return;
      const other = this.#pickForTakeUp();
      const again: SentRequest = {
        ...first,
        id: `q-${++this.#requestCount}`,
        daemon: other.options.name,
        sentMs: Date.now(),
        afterEvent: lastEvent,
        result: undefined,
      };
      this.#recordSent(again, "llm");
      result = await sendToDaemon(this.#agent, other, again, path, first.id, {
        headers: { "Last-Event-Id": String(lastEvent), "Resumes": first.id },
      });
      again.result = result;
      const isRefused = result.kind === "answered" &&
        result.status === REFUSED_STATUS;
      if (result.kind === "answered" && !isRefused) return;
      lastEvent = lastEventOf(result) ?? lastEvent;
      await wait(this.#random.float() * MAX_TAKE_UP_GAP_MS);
    }
  }

  async #serveStarts(daemon: DaemonProcess): Promise<void> {
    while (!this.#isStopping) {
      await this.#serveStart(daemon);
      await wait(START_CHECK_INTERVAL_MS);
    }
  }

  /** Sends short requests to a daemon that has started since the last ones. */
  async #serveStart(daemon: DaemonProcess): Promise<void> {
    const { startCount } = daemon;
    const isServed = this.#servedStarts.get(daemon) === startCount;
    if (isServed || !await daemon.isReady()) return;
    this.#servedStarts.set(daemon, startCount);
    await Promise.all(
      SHORT_REQUESTS.flatMap((simple) =>
        Array.from(
          { length: SHORT_CALLERS },
          () =>
            this.#sendShortOnes(daemon, simple, SHORT_COUNT / SHORT_CALLERS),
        )
      ),
    );
  }

  async #sendShortOnes(
    daemon: DaemonProcess,
    simple: SimpleRequest,
    count: number,
  ): Promise<void> {
    for (let sentCount = 0; sentCount < count; sentCount++) {
      if (this.#isStopping || !daemon.isServing) return;
      await this.#sendSimple(daemon, simple, shortIdOf(++this.#shortCount));
    }
  }

  async #repeatSolo(simple: SimpleRequest): Promise<void> {
    while (!this.#isStopping) {
      const id = `q-${++this.#requestCount}`;
      await this.#sendSimple(this.#pick(this.#daemons), simple, id);
      await wait(SOLO_GAP_MS);
    }
  }

  async #sendSimple(
    daemon: DaemonProcess,
    { kind, path, service }: SimpleRequest,
    id: string,
  ): Promise<void> {
    const sent: SentRequest = {
      id,
      kind,
      daemon: daemon.options.name,
      key: SHORT_KEY,
      firstTry: id,
      sentMs: Date.now(),
      result: undefined,
    };
    this.#recordSent(sent, service);
    sent.result = await sendToDaemon(
      this.#agent,
      daemon,
      sent,
      path,
      bodyOf(sent),
    );
  }

  #pickKind(): keyof typeof REQUEST_PATHS {
    if (this.#sendsUploads && this.#random.float() < UPLOAD_SHARE) {
      return "upload";
    }
    const hasPreferred = this.#preferredDaemons().length > 0;
    const isCheck = hasPreferred && this.#random.float() < PREFERRED_SHARE;
    return isCheck ? "check" : this.#pick(REQUEST_KINDS);
  }

  #pickForTakeUp(): DaemonProcess {
    const preferred = this.#preferredDaemons();
    const isPreferred = this.#random.float() < PREFERRED_SHARE;
    return this.#pick(
      isPreferred && preferred.length > 0 ? preferred : this.#daemons,
    );
  }

  /** Sends different requests that share a part that crashes endpoints. */
  async #sendTainted(kind: "book" | "draft"): Promise<void> {
    while (!this.#isStopping) {
      const daemon = this.#pick(this.#daemons);
      const id = `q-${++this.#requestCount}`;
      const sent: SentRequest = {
        id,
        kind: "tainted",
        daemon: daemon.options.name,
        key: POISON_KEY,
        firstTry: id,
        sentMs: Date.now(),
        result: undefined,
      };
      this.#recordSent(sent, kind === "draft" ? "llm" : "app");
      sent.result = await sendToDaemon(
        this.#agent,
        daemon,
        sent,
        REQUEST_PATHS[kind],
        id,
        {
          headers: {
            "X-Prompt-Prefix": `${SYSTEM_PART}:80,${CRASHING_PART}:90,${id}:10`,
          },
        },
      );
      await wait(TAINTED_GAP_MS);
    }
  }

  /** Sends one request again and again, under a new id each time. */
  async #repeatPoison(path: string): Promise<void> {
    while (!this.#isStopping) {
      const daemon = this.#pick(this.#daemons);
      const id = `q-${++this.#requestCount}`;
      const sent: SentRequest = {
        id,
        kind: "poison",
        daemon: daemon.options.name,
        key: POISON_KEY,
        firstTry: id,
        sentMs: Date.now(),
        result: undefined,
      };
      this.#recordSent(sent, path.startsWith("/stream/") ? "llm" : "app");
      sent.result = await sendToDaemon(
        this.#agent,
        daemon,
        sent,
        path,
        `poison ${path}`,
      );
      await wait(POISON_GAP_MS);
    }
  }

  #recordSent(sent: SentRequest, service: SoakService): void {
    const { id, sentMs } = sent;
    this.#invariants.recordSent(sent);
    const { retryRules } = this.#invariants;
    retryRules.recordRequest(id, service, sentMs, REQUEST_TIMEOUT_MS);
  }

  #pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.#random.float() * choices.length)]!;
  }
}

/** @returns The number of the last complete event of a stream. */
function lastEventOf({ text }: RequestResult): number | undefined {
  const last = [...text.matchAll(/id: (\d+)\n[^\n]*\n\n/g)].at(-1);
  return last && Number(last[1]);
}
