/** The seeded shapes of the answers of a soak's endpoints. */

import { SeededRandom } from "../src/base/common/random.ts";
import type {
  OddAnswerEffect,
  OddHead,
} from "../platform/standins/unusual_answers.ts";
import type {
  ReceivedRequest,
  UnprovenAnswerEffect,
  UnsizedEffect,
} from "../platform/standins/replica_server.ts";

/** Share of the answers that have neither a length nor chunks. */
const UNSIZED_SHARE = 0.4;
const HALF_TIME_MS = 20;
const FILLER_BYTES = 2_000;
/** Share of the runs whose endpoints promise that they have not run. */
const UNPROVEN_SHARE = 0.03;
/** Share of the runs whose answers have odd heads. */
const ODD_SHARE = 0.03;
const HALF = 0.5;
/** Larger than what hosts read before they pass a body on. */
const UPLOAD_BYTES = 400_000;
/** Share of the drafts that all have the same body. */
const POPULAR_SHARE = 0.2;
/** Begins the ids of short requests, whose answers are whole, and have a length. */
const SHORT_PREFIX = "s-";
const LEAST_EVENT_COUNT = 1;
/** Events of most streams, which last about half a second. */
const SHORT_EVENT_COUNT = 50;
/** Share of the streams that outlast the notice of an endpoint that leaves. */
const LONG_SHARE = 0.3;
const MIN_LONG_EVENT_COUNT = 150;
const MAX_LONG_EVENT_COUNT = 300;

/**
 * @param stream - Id of the first try of a stream.
 * @returns The number of its events, the same at all endpoints.
 */
export function eventCountOf(stream: string): number {
  if (isShort(stream)) return LEAST_EVENT_COUNT;
  const random = new SeededRandom(hash(stream));
  return random.float() < LONG_SHARE
    ? random.int(MIN_LONG_EVENT_COUNT, MAX_LONG_EVENT_COUNT)
    : SHORT_EVENT_COUNT;
}

/** @returns The id of a short request. */
export function shortIdOf(number: number): string {
  return `${SHORT_PREFIX}${number}`;
}

/** @returns Whether a request is a short one. */
export function isShort(id: string): boolean {
  return id.startsWith(SHORT_PREFIX);
}

/** @returns Whether a draft has the body that others have too. */
export function isPopularDraft(id: string): boolean {
  return new SeededRandom(hash(`draft ${id}`)).float() < POPULAR_SHARE;
}

/** @returns The id of the first try of the stream that a request asks for. */
export function streamOf({ body, id }: ReceivedRequest): string {
  return body === "" ? id : body;
}

/**
 * @param seed - Seed of the soak.
 * @param endpoint - Name of the endpoint.
 * @param id - Id of the request.
 * @returns The shape of an answer that has neither a length nor chunks, or
 * `undefined` for one that has.
 */
export function unsizedEffectOf(
  seed: number,
  endpoint: string,
  id: string,
): UnsizedEffect | undefined {
  const random = new SeededRandom(hash(`${seed} ${endpoint} ${id}`));
  if (isShort(id) || random.float() >= UNSIZED_SHARE) return undefined;
  return {
    kind: "unsized",
    halfTimeMs: HALF_TIME_MS,
    fillerBytes: FILLER_BYTES,
  };
}

/** Answers that promise that a request has not run, and prove nothing. */
const UNPROVEN_ANSWERS: readonly Omit<UnprovenAnswerEffect, "kind">[] = [
  { status: 503, headers: { "X-Not-Executed": "1" }, isFollowed: true },
  { status: 429, headers: { "X-Not-Executed": "1" }, isFollowed: false },
  {
    status: 503,
    headers: { "X-Not-Executed": "1", "X-Request-Id": "other" },
    isFollowed: true,
  },
  { status: 421, headers: {}, isFollowed: true },
  { status: 408, headers: {}, isFollowed: false },
  { status: 429, headers: {}, isFollowed: false },
  { status: 503, headers: {}, isFollowed: false },
];

/**
 * @param seed - Seed of the soak.
 * @param endpoint - Name of the endpoint.
 * @param id - Id of the request.
 * @returns An answer of an endpoint that runs the request and promises that it
 * has not, or `undefined` for most.
 */
export function unprovenAnswerOf(
  seed: number,
  endpoint: string,
  id: string,
): UnprovenAnswerEffect | undefined {
  const random = new SeededRandom(hash(`${seed} promise ${endpoint} ${id}`));
  if (isShort(id) || random.float() >= UNPROVEN_SHARE) return undefined;
  const answer = UNPROVEN_ANSWERS[random.int(0, UNPROVEN_ANSWERS.length - 1)]!;
  const isNamed = Object.keys(answer.headers).length > 0 ||
    answer.status === 421;
  return {
    kind: "unproven-answer",
    ...answer,
    headers: isNamed ? answer.headers : { "X-Request-Id": id },
  };
}

const ODD_HEADS: readonly OddHead[] = [
  ...["000", "001", "099", "600", "999", "1000", "20"].map((status) => ({
    kind: "status" as const,
    status,
  })),
  { kind: "continue" },
  { kind: "coded" },
  { kind: "reset-content" },
  { kind: "stamp-of-connection" },
];

/**
 * @param seed - Seed of the soak.
 * @param endpoint - Name of the endpoint.
 * @param id - Id of the request.
 * @returns An answer with an odd head, or `undefined` for most.
 */
export function oddAnswerOf(
  seed: number,
  endpoint: string,
  id: string,
): OddAnswerEffect | undefined {
  const random = new SeededRandom(hash(`${seed} odd ${endpoint} ${id}`));
  if (isShort(id) || random.float() >= ODD_SHARE) return undefined;
  const head = random.pick(ODD_HEADS);
  const hasStamp = random.float() < HALF || head.kind === "stamp-of-connection";
  return {
    kind: "odd-answer",
    head,
    hasStamp,
    hasLength: random.float() < HALF,
    isEventStream: random.float() < HALF,
    saysNotRun: random.float() < HALF && head.kind === "status",
  };
}

/** @returns The body of an upload, which is passed on while it arrives. */
export function uploadBodyOf(id: string): string {
  return `${id} ${"u".repeat(UPLOAD_BYTES)}`;
}

/** @returns Whether a text is the whole answer to a call. */
export function isWholeCall(text: string, body: string): boolean {
  const [endpoint, ...parts] = text.split(":");
  const rest = parts.join(":");
  const isNamed = /^(app|solo)-\d+$/.test(endpoint ?? "");
  const isWhole = rest === body ||
    rest === `${"x".repeat(FILLER_BYTES)}:${body}`;
  return isNamed && isWhole;
}

/** @returns The FNV-1a hash of a text. */
export function hash(text: string): number {
  let value = 0x811c9dc5;
  for (const character of text) {
    value = Math.imul(value ^ character.charCodeAt(0), 0x01000193);
  }
  return value;
}
