/**
 * Implements the claim ledger on shards, each of which commits many claims by a
 * single write to the store.
 */

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
  ClaimFailure,
  ClaimLedger,
  ClaimOutcome,
  ClaimRequest,
  ClaimResult,
  HeldClaim,
  LedgerOperationFailure,
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

/** Dependencies of the ledger. */
export interface ShardedClaimLedgerServices extends ShardRouterServices {
  /**
   * @returns A collision-resistant hash of the parts. It depends on the part
   * boundaries as well.
   */
  fingerprint(parts: readonly string[]): string;
}

/** Options of the ledger; all except the host have defaults. */
export interface ShardedClaimLedgerOptions extends Partial<ShardRouterOptions> {
  readonly host: HostId;
}

const DEFAULT_OPTIONS: ShardRouterOptions = {
  shardCount: 2,
  commitIntervalMs: 25,
  keepMs: 3_600_000,
  sealThresholdBytes: 98_304,
  maxSegments: 128,
  maxHeadBytes: 524_288,
};

/** Number of hexadecimal characters to which hashes are truncated: 128 bits. */
const STORED_HASH_LENGTH = 32;
/** Longest time that a duplicate request waits for the first run to end. */
const MAX_DUPLICATE_WAIT_MS = 5_000;
const DUPLICATE_POLL_INTERVAL_MS = 200;
/** Limits attempts instead of time, since a paused host makes no attempts. */
const MAX_END_ATTEMPTS = 240;
const END_RETRY_DELAY_MS = 500;

/** A run on this host whose outcome is not yet recorded in the store. */
interface LocalRun {
  readonly fingerprint: string;
  readonly changeEmitter: Emitter<void>;
  outcome: ClaimOutcome | undefined;
}

/** Claim ledger of one host. */
export class ShardedClaimLedger implements ClaimLedger, Disposable {
  readonly #services: ShardedClaimLedgerServices;
  readonly #host: HostId;
  readonly #router: ShardRouter;
  readonly #localRuns = new Map<string, LocalRun>();

  /**
   * @param services - Dependencies of the ledger.
   * @param options - Name of the host, and options that override the defaults.
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
  async claim(request: ClaimRequest): AsyncEither<ClaimFailure, ClaimResult> {
    const { clock } = this.#services;
    const deadlineMs = clock.monotonicMs() + MAX_DUPLICATE_WAIT_MS;
    // All attempts share a nonce, so that a delayed commit of an earlier attempt
    // by another host counts as this claim.
    const claim = { request, nonce: this.#services.createNonce() };
    for (;;) {
      const result = await this.#tryClaim(claim);
      const isInProgress = rightOf(result)?.kind === "in-progress";
      const remainingMs = deadlineMs - clock.monotonicMs();
      if (!isInProgress || remainingMs <= 0) return result;
      await this.#waitForChange(this.#keyOf(request), remainingMs);
    }
  }

  /** {@inheritDoc ClaimLedger.recordOutcome} */
  async recordOutcome(
    claim: HeldClaim,
    outcome: ClaimOutcome,
  ): AsyncEither<LedgerOperationFailure, void> {
    const target = this.#targetOf(claim);
    const run = this.#localRuns.get(target.key);
    if (run) {
      run.outcome = outcome;
      run.changeEmitter.fire();
    }
    const recorded = await this.#submitEnd({
      kind: "end",
      ...target,
      state: toClaimState(outcome) as EndOperation["state"],
    });
    if (this.#localRuns.get(target.key) === run) this.#removeRun(target.key);
    return recorded;
  }

  /** Fails all pending operations. */
  dispose(): void {
    this.#router.dispose();
  }

  async #tryClaim(
    claim: HeldClaim,
  ): AsyncEither<ClaimFailure, ClaimResult> {
    const { request } = claim;
    const key = this.#keyOf(request);
    const fingerprint = truncateHash(request.fingerprint);
    const run = this.#localRuns.get(key);
    if (run && run.outcome?.kind !== "not-run") {
      return Right(toLocalResult(run.outcome, run.fingerprint === fingerprint));
    }
    this.#localRuns.set(key, {
      fingerprint,
      changeEmitter: new Emitter(),
      outcome: undefined,
    });
    const submitted = await this.#router.submit({
      kind: "claim",
      ...this.#targetOf(claim),
      maxRunMs: request.maxRunMs,
    });
    const result = submitted
      .mapLeft((failure) => ({ ...failure, claim }))
      .chain((value) => toClaimResult(value, claim));
    const mayHoldClaim = result.isLeft() || rightOf(result)?.kind === "held";
    if (!mayHoldClaim) this.#removeRun(key);
    return result;
  }

  async #submitEnd(
    end: EndOperation,
  ): AsyncEither<LedgerOperationFailure, void> {
    for (let attempt = 1;; attempt++) {
      const submitted = await this.#router.submit(end);
      const failure = leftOf(submitted) ??
        capacityFailureOf(rightOf(submitted));
      if (!failure) return Right(undefined);
      if (attempt >= MAX_END_ATTEMPTS) return Left(failure);
      await sleep(this.#services.clock, END_RETRY_DELAY_MS);
    }
  }

  /**
   * Waits until a run on this host changes. A run on another host is polled, so
   * the wait ends at the next poll.
   */
  async #waitForChange(key: string, remainingMs: number): Promise<void> {
    const run = this.#localRuns.get(key);
    const waitMs = run
      ? remainingMs
      : Math.min(remainingMs, DUPLICATE_POLL_INTERVAL_MS);
    await new Promise<void>((resolve) => {
      const timer = this.#services.clock.setTimer(waitMs, resolve);
      run?.changeEmitter.event(() => {
        timer.dispose();
        resolve();
      });
    });
  }

  #removeRun(key: string): void {
    const run = this.#localRuns.get(key);
    this.#localRuns.delete(key);
    run?.changeEmitter.fire();
  }

  #keyOf({ workspace, key }: ClaimRequest): string {
    return truncateHash(this.#services.fingerprint([workspace, key]));
  }

  #targetOf(
    { request, nonce }: HeldClaim,
  ): Omit<LedgerOperation, "kind" | "state" | "maxRunMs"> {
    return {
      key: this.#keyOf(request),
      fingerprint: truncateHash(request.fingerprint),
      nonce,
      host: this.#host,
    };
  }
}

function truncateHash(hash: string): string {
  return hash.slice(0, STORED_HASH_LENGTH);
}

/** Returns the result for a duplicate of a request that runs on this host. */
function toLocalResult(
  outcome: Exclude<ClaimOutcome, { readonly kind: "not-run" }> | undefined,
  isSameRequest: boolean,
): ClaimResult {
  if (!isSameRequest) return { kind: "mismatch" };
  return outcome ?? { kind: "in-progress" };
}

function toClaimResult(
  result: OperationResult,
  claim: HeldClaim,
): Either<ClaimFailure, ClaimResult> {
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
      return Left({ ...createOperationFailure(result.kind), claim });
    default:
      return assertNever(result);
  }
}

function capacityFailureOf(
  result: OperationResult | undefined,
): LedgerOperationFailure | undefined {
  return result?.kind === "full" ? createOperationFailure("full") : undefined;
}

function createOperationFailure(
  kind: "ended" | "stale" | "full",
): LedgerOperationFailure {
  const detail = kind === "full"
    ? "the ledger is full and accepts no new keys"
    : "the claim was abandoned before it was granted";
  return { step: "ledger.claim", peer: "store", detail };
}
