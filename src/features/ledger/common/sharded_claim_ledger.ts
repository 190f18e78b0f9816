/** Claims in shards, each of which commits many claims by one write. */

import { sleep } from "../../../base/common/clock.ts";
import { assertNever } from "../../../base/common/errors.ts";
import { Emitter } from "../../../base/common/event.ts";
import type { HostId } from "../../../base/common/ids.ts";
import type { Disposable } from "../../../base/common/lifecycle.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type {
  ClaimEnd,
  ClaimLedger,
  ClaimRequest,
  ClaimResult,
  HeldClaim,
  LedgerFailure,
  LedgerFault,
} from "./claim_ledger.ts";
import type {
  EndOperation,
  LedgerOperation,
  OperationResult,
} from "./claim_operation.ts";
import { toAppResponse, toClaimState } from "./claim_record.ts";
import {
  ShardRouter,
  type ShardRouterOptions,
  type ShardRouterServices,
} from "./shard_router.ts";

/** What the ledger works with. */
export interface ShardedClaimLedgerServices extends ShardRouterServices {
  /** @returns A collision-resistant hash of all parts and their borders. */
  fingerprint(parts: readonly string[]): string;
}

/** Options of a ledger; all but the host have defaults. */
export interface ShardedClaimLedgerOptions extends Partial<ShardRouterOptions> {
  readonly host: HostId;
}

const DEFAULT_OPTIONS: ShardRouterOptions = {
  shardCount: 2,
  commitIntervalMs: 25,
  keepMs: 3_600_000,
  sealBytes: 98_304,
  maxSegments: 128,
  maxHeadBytes: 524_288,
};

/** Characters of the hashes that are kept: 128 bits. */
const HASH_CHARACTERS = 32;
/** How long a repeat waits for the run that came first. */
const REPEAT_WAIT_MS = 5_000;
const REPEAT_POLL_MS = 200;
/** Tries, not a time: a host that was paused has not tried in the meantime. */
const MAX_END_TRIES = 240;
const END_RETRY_MS = 500;

/** A claim of this host that the store does not have the end of. */
interface LocalRun {
  readonly fingerprint: string;
  readonly didChange: Emitter<void>;
  end: ClaimEnd | undefined;
}

/** The ledger of one host. */
export class ShardedClaimLedger implements ClaimLedger, Disposable {
  readonly #services: ShardedClaimLedgerServices;
  readonly #host: HostId;
  readonly #router: ShardRouter;
  readonly #runs = new Map<string, LocalRun>();

  /**
   * @param services - What the ledger works with.
   * @param options - Its host, and sizes other than the defaults.
   */
  constructor(
    services: ShardedClaimLedgerServices,
    options: ShardedClaimLedgerOptions,
  ) {
    this.#services = services;
    this.#host = options.host;
    this.#router = new ShardRouter(services, {
      ...DEFAULT_OPTIONS,
      ...options,
    });
  }

  /** {@inheritDoc ClaimLedger.claim} */
  async claim(request: ClaimRequest): AsyncEither<LedgerFailure, ClaimResult> {
    const { clock } = this.#services;
    const untilMs = clock.monotonicMs() + REPEAT_WAIT_MS;
    // One nonce for all tries: a try that another host commits late is ours.
    const claim = { request, nonce: this.#services.createNonce() };
    for (;;) {
      const result = await this.#claimOnce(claim);
      const isInProgress = rightOf(result)?.kind === "in-progress";
      const leftMs = untilMs - clock.monotonicMs();
      if (!isInProgress || leftMs <= 0) return result;
      await this.#waitForRun(this.#keyOf(request), leftMs);
    }
  }

  /** {@inheritDoc ClaimLedger.end} */
  async end(claim: HeldClaim, end: ClaimEnd): AsyncEither<LedgerFault, void> {
    const target = this.#targetOf(claim);
    const run = this.#runs.get(target.key);
    if (run) {
      run.end = end;
      run.didChange.fire();
    }
    const recorded = await this.#recordEnd({
      kind: "end",
      ...target,
      state: toClaimState(end) as EndOperation["state"],
    });
    if (this.#runs.get(target.key) === run) this.#forgetRun(target.key);
    return recorded;
  }

  /** Refuses what waits. */
  dispose(): void {
    this.#router.dispose();
  }

  async #claimOnce(
    claim: HeldClaim,
  ): AsyncEither<LedgerFailure, ClaimResult> {
    const { request } = claim;
    const key = this.#keyOf(request);
    const fingerprint = shorten(request.fingerprint);
    const run = this.#runs.get(key);
    if (run && run.end?.kind !== "not-run") {
      return Right(toLocalResult(run.end, run.fingerprint === fingerprint));
    }
    this.#runs.set(key, {
      fingerprint,
      didChange: new Emitter(),
      end: undefined,
    });
    const submitted = await this.#router.submit({
      kind: "claim",
      ...this.#targetOf(claim),
      maxRunMs: request.maxRunMs,
    });
    const result = submitted
      .mapLeft((fault) => ({ ...fault, claim }))
      .chain((value) => toClaimResult(value, claim));
    const isOurs = result.isLeft() || rightOf(result)?.kind === "held";
    if (!isOurs) this.#forgetRun(key);
    return result;
  }

  async #recordEnd(end: EndOperation): AsyncEither<LedgerFault, void> {
    for (let tries = 1;; tries++) {
      const submitted = await this.#router.submit(end);
      const failure = leftOf(submitted) ?? fullFault(rightOf(submitted));
      if (!failure) return Right(undefined);
      if (tries >= MAX_END_TRIES) return Left(failure);
      await sleep(this.#services.clock, END_RETRY_MS);
    }
  }

  /** Waits until a local run changes, or for the next look at another's. */
  async #waitForRun(key: string, leftMs: number): Promise<void> {
    const run = this.#runs.get(key);
    const waitMs = run ? leftMs : Math.min(leftMs, REPEAT_POLL_MS);
    await new Promise<void>((resolve) => {
      const timer = this.#services.clock.setTimer(waitMs, resolve);
      run?.didChange.event(() => {
        timer.dispose();
        resolve();
      });
    });
  }

  #forgetRun(key: string): void {
    const run = this.#runs.get(key);
    this.#runs.delete(key);
    run?.didChange.fire();
  }

  #keyOf({ workspace, key }: ClaimRequest): string {
    return shorten(this.#services.fingerprint([workspace, key]));
  }

  #targetOf(
    { request, nonce }: HeldClaim,
  ): Omit<LedgerOperation, "kind" | "state" | "maxRunMs"> {
    return {
      key: this.#keyOf(request),
      fingerprint: shorten(request.fingerprint),
      nonce,
      host: this.#host,
    };
  }
}

function shorten(hash: string): string {
  return hash.slice(0, HASH_CHARACTERS);
}

/** What a repeat is told about a run of this host. */
function toLocalResult(
  end: Exclude<ClaimEnd, { readonly kind: "not-run" }> | undefined,
  isSameRequest: boolean,
): ClaimResult {
  if (!isSameRequest) return { kind: "mismatch" };
  return end ?? { kind: "in-progress" };
}

function toClaimResult(
  result: OperationResult,
  claim: HeldClaim,
): Either<LedgerFailure, ClaimResult> {
  switch (result.kind) {
    case "held":
      return Right({ kind: "held", claim });
    case "done": {
      const { answer } = result;
      const response = answer && toAppResponse(answer);
      return Right({ kind: "done", response });
    }
    case "unknown":
    case "in-progress":
    case "mismatch":
      return Right(result);
    case "ended":
    case "stale":
    case "full":
      return Left({ ...faultOf(result.kind), claim });
    default:
      return assertNever(result);
  }
}

function fullFault(
  result: OperationResult | undefined,
): LedgerFault | undefined {
  return result?.kind === "full" ? faultOf("full") : undefined;
}

function faultOf(kind: "ended" | "stale" | "full"): LedgerFault {
  const detail = kind === "full"
    ? "the ledger has no room for another key"
    : "the claim was given up before it was decided";
  return { step: "ledger.claim", peer: "store", detail };
}
