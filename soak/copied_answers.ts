/**
 * Answers too many of a soak's endpoints: copies of refusals, and whole answers
 * that are sent twice.
 */

import { SeededRandom } from "../src/base/common/random.ts";
import {
  type CopiedRefusal,
  CopiedRefusals,
  type CopyMoment,
} from "../platform/standins/copied_refusals.ts";
import { RepeatedAnswers } from "../platform/standins/repeated_answers.ts";
import type { ReplicaServer } from "../platform/standins/replica_server.ts";
import { hash, isShort } from "./answer_shapes.ts";

/** Share of the requests that each process refuses at first. */
const REFUSED_SHARE = 0.15;
/** Share of these that are refused twice. */
const TWICE_SHARE = 0.2;
/**
 * Share of the requests to an earlier endpoint at an address whose refusals are
 * copied.
 */
const MISDIRECTED_SHARE = 0.5;
/** Share of the calls whose answers are sent twice. */
const REPEATED_SHARE = 0.03;

/** How requests are refused; frequent ways are listed again. */
const REFUSALS: readonly Pick<CopiedRefusal, "status" | "retryAfter">[] = [
  { status: 503, retryAfter: "0.05" },
  { status: 503, retryAfter: "0.05" },
  { status: 503 },
  { status: 429 },
  { status: 421 },
];

/** When copies are sent; frequent moments are listed again. */
const MOMENTS: readonly CopyMoment[] = [
  "next-run",
  "next-run",
  "next-run",
  "at-once",
  "idle",
  "never",
];

/** Numbers of the answers too many that were sent. */
export interface CopyCounts {
  /** Copies of refusals, by their moments. */
  readonly refusals: Readonly<Record<Exclude<CopyMoment, "never">, number>>;
  /** Whole answers that were sent a second time. */
  readonly answers: number;
}

/**
 * @param seed - Seed of the soak.
 * @param id - Id of the request.
 * @returns How each process refuses the first sends of a request, or `undefined`
 * for most requests.
 */
export function copiedRefusalOf(
  seed: number,
  id: string,
): CopiedRefusal | undefined {
  const random = new SeededRandom(hash(`${seed} refusal ${id}`));
  if (isShort(id) || random.float() >= REFUSED_SHARE) return undefined;
  const refusal = random.pick(REFUSALS);
  return random.float() < TWICE_SHARE
    ? { ...refusal, times: 2, copy: random.pick(["next-run", "next-refusal"]) }
    : { ...refusal, copy: random.pick(MOMENTS) };
}

/**
 * @param seed - Seed of the soak.
 * @param id - Id of a request to an earlier endpoint at an address.
 * @returns Whether its refusal is copied.
 */
export function isMisdirectionCopied(seed: number, id: string): boolean {
  const random = new SeededRandom(hash(`${seed} misdirected ${id}`));
  return !isShort(id) && random.float() < MISDIRECTED_SHARE;
}

/**
 * @param seed - Seed of the soak.
 * @param id - Id of the request.
 * @returns Whether a whole answer to it is sent twice.
 */
export function isRepeated(seed: number, id: string): boolean {
  const random = new SeededRandom(hash(`${seed} repeated ${id}`));
  return !isShort(id) && random.float() < REPEATED_SHARE;
}

/** @returns Whether copies of refusals were sent ahead of answers. */
export function isCopyTested(counts: CopyCounts | undefined): boolean {
  return (counts?.refusals["next-run"] ?? 0) > 0;
}

/** @returns The numbers as text, which says so if nothing was tested. */
export function describeCopies(counts: CopyCounts | undefined): string {
  if (!counts) return "NOT TESTED: no answers too many were to be sent";
  const moments = Object.entries(counts.refusals).map(([moment, count]) =>
    `${count} ${moment}`
  );
  const text = `copies of refusals: ${
    moments.join(", ")
  }; ${counts.answers} answers sent twice`;
  return isCopyTested(counts)
    ? text
    : `${text}; NOT TESTED: no copy ahead of an answer`;
}

/** Lets endpoints send answers too many, and counts these. */
export class CopiedAnswers {
  readonly #seed: number;
  readonly #refusals: CopiedRefusals[] = [];
  readonly #answers: RepeatedAnswers[] = [];

  /** @param seed - Seed of the soak. */
  constructor(seed: number) {
    this.#seed = seed;
  }

  /** Lets a process of an endpoint send answers too many. */
  addTo(replica: ReplicaServer): void {
    const seed = this.#seed;
    const misdirection: CopiedRefusal = {
      status: 421,
      copy: "next-run",
      headers: { "X-Replica-Id": replica.name },
    };
    const refusals = new CopiedRefusals((id, isMisdirected) =>
      isMisdirected && isMisdirectionCopied(seed, id)
        ? misdirection
        : copiedRefusalOf(seed, id)
    );
    const answers = new RepeatedAnswers((id) => isRepeated(seed, id));
    replica.copiedRefusals = refusals;
    replica.repeatedAnswers = answers;
    this.#refusals.push(refusals);
    this.#answers.push(answers);
  }

  /** @returns The numbers so far. */
  counts(): CopyCounts {
    const countAt = (moment: CopyMoment): number =>
      this.#refusals.reduce((sum, all) => sum + all.copyCountAt(moment), 0);
    return {
      refusals: {
        "next-run": countAt("next-run"),
        "next-refusal": countAt("next-refusal"),
        "at-once": countAt("at-once"),
        "idle": countAt("idle"),
      },
      answers: this.#answers.reduce((sum, all) => sum + all.answerCount, 0),
    };
  }
}
