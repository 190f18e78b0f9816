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
  sealThresholdBytes: 98_304,
  maxSegments: 128,
  maxHeadBytes: 524_288,
};

/** Characters of the hashes that are kept: 128 bits. */
const STORED_HASH_LENGTH = 32;
/** How long a repeat waits for the run that came first. */
const MAX_DUPLICATE_WAIT_MS = 5_000;
const DUPLICATE_POLL_INTERVAL_MS = 200;
/** Tries, not a time: a host that was paused has not tried in the meantime. */
const MAX_END_ATTEMPTS = 240;
const END_RETRY_DELAY_MS = 500;

/** A claim of this host that the store does not have the end of. */
interface LocalRun {
  readonly fingerprint: string;
  readonly changeEmitter: Emitter<void>;
  outcome: ClaimOutcome | undefined;
}

/** The ledger of one host. */
export class ShardedClaimLedger implements ClaimLedger, Disposable {
  readonly #services: ShardedClaimLedgerServices;
  readonly #host: HostId;
  readonly #router: ShardRouter;
  readonly #localRuns = new Map<string, LocalRun>();

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
  async claim(request: ClaimRequest): AsyncEither<ClaimFailure, ClaimResult> {
    const { clock } = this.#services;
    const untilMs = clock.monotonicMs() + MAX_DUPLICATE_WAIT_MS;
    // One nonce for all tries: a try that another host commits late is ours.
    const claim = { request, nonce: this.#services.createNonce() };
    for (;;) {
      const result = await this.#tryClaim(claim);
      const isInProgress = rightOf(result)?.kind === "in-progress";
      const leftMs = untilMs - clock.monotonicMs();
      if (!isInProgress || leftMs <= 0) return result;
      await this.#waitForChange(this.#keyOf(request), leftMs);
    }
  }

  /** {@inheritDoc ClaimLedger.recordOutcome} */
  async recordOutcome(
    claim: HeldClaim,
    end: ClaimOutcome,
  ): AsyncEither<LedgerOperationFailure, void> {
    const target = this.#targetOf(claim);
    const run = this.#localRuns.get(target.key);
    if (run) {
      run.outcome = end;
      run.changeEmitter.fire();
    }
    const recorded = await this.#submitEnd({
      kind: "end",
      ...target,
      state: toClaimState(end) as EndOperation["state"],
    });
    if (this.#localRuns.get(target.key) === run) this.#removeRun(target.key);
    return recorded;
  }

  /** Refuses what waits. */
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
      .mapLeft((fault) => ({ ...fault, claim }))
      .chain((value) => toClaimResult(value, claim));
    const isOurs = result.isLeft() || rightOf(result)?.kind === "held";
    if (!isOurs) this.#removeRun(key);
    return result;
  }

  async #submitEnd(
    end: EndOperation,
  ): AsyncEither<LedgerOperationFailure, void> {
    for (let tries = 1;; tries++) {
      const submitted = await this.#router.submit(end);
      const failure = leftOf(submitted) ??
        capacityFailureOf(rightOf(submitted));
      if (!failure) return Right(undefined);
      if (tries >= MAX_END_ATTEMPTS) return Left(failure);
      await sleep(this.#services.clock, END_RETRY_DELAY_MS);
    }
  }

  /** Waits until a local run changes, or for the next look at another's. */
  async #waitForChange(key: string, leftMs: number): Promise<void> {
    const run = this.#localRuns.get(key);
    const waitMs = run ? leftMs : Math.min(leftMs, DUPLICATE_POLL_INTERVAL_MS);
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

/** What a repeat is told about a run of this host. */
function toLocalResult(
  end: Exclude<ClaimOutcome, { readonly kind: "not-run" }> | undefined,
  isSameRequest: boolean,
): ClaimResult {
  if (!isSameRequest) return { kind: "mismatch" };
  return end ?? { kind: "in-progress" };
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
    ? "the ledger has no room for another key"
    : "the claim was given up before it was decided";
  return { step: "ledger.claim", peer: "store", detail };
}
