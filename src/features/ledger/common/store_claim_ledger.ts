/** Claims with one store key each. */

import type { HostId } from "../../../base/common/ids.ts";
import {
  type Eventually,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type { HeaderLine } from "../../../platform/endpoints/common/app_client.ts";
import type {
  StoreClient,
  StoreEntry,
  StoreFailure,
} from "../../../platform/store/common/store_client.ts";
import type {
  ClaimEnd,
  ClaimLedger,
  ClaimRequest,
  ClaimResult,
  HeldClaim,
  LedgerFailure,
} from "./claim_ledger.ts";

const KEY_PREFIX = "claims/";
const MAX_WRITE_TRIES = 4;

type ClaimRecord =
  & {
    readonly fingerprint: string;
    readonly nonce: string;
    readonly host: string;
  }
  & (
    | { readonly state: "running" | "unknown" }
    | {
      readonly state: "done";
      readonly status: number;
      readonly headers: readonly HeaderLine[];
      readonly bodyBase64: string;
    }
  );

/** What the ledger works with. */
export interface StoreClaimLedgerServices {
  readonly store: StoreClient;
  readonly host: HostId;
  createNonce(): string;
}

/** A ledger that writes each claim by itself. */
export class StoreClaimLedger implements ClaimLedger {
  readonly #services: StoreClaimLedgerServices;

  /** @param services - What the ledger works with. */
  constructor(services: StoreClaimLedgerServices) {
    this.#services = services;
  }

  /** {@inheritDoc ClaimLedger.claim} */
  async claim(request: ClaimRequest): Eventually<LedgerFailure, ClaimResult> {
    const nonce = this.#services.createNonce();
    const record: ClaimRecord = {
      state: "running",
      fingerprint: request.fingerprint,
      nonce,
      host: this.#services.host,
    };
    const key = keyOf(request);
    for (let tries = 0; tries < MAX_WRITE_TRIES; tries++) {
      const written = await this.#services.store.put({
        key,
        value: JSON.stringify(record),
        expectedRevision: 0,
      });
      const failure = leftOf(written);
      if (failure && failure.kind !== "unknown") return Left(failure);
      const result = rightOf(written);
      if (result?.kind === "written") {
        return Right({ kind: "held", claim: { request, nonce } });
      }
      if (result) return Right(toResult(request, nonce, result.current));
    }
    return Left(noAnswer("ledger.claim"));
  }

  /** {@inheritDoc ClaimLedger.end} */
  async end(claim: HeldClaim, end: ClaimEnd): Eventually<LedgerFailure, void> {
    const { store } = this.#services;
    const key = keyOf(claim.request);
    for (let tries = 0; tries < MAX_WRITE_TRIES; tries++) {
      const read = await store.get(key);
      const entry = rightOf(read);
      if (read.isLeft()) continue;
      if (!entry || parseRecord(entry).nonce !== claim.nonce) {
        return Right(undefined);
      }
      const record = toRecord(parseRecord(entry), end);
      const expectedRevision = entry.revision;
      const written = record
        ? await store.put({
          key,
          value: JSON.stringify(record),
          expectedRevision,
        })
        : await store.delete({ key, expectedRevision });
      if (rightOf(written)?.kind === "written") {
        return Right(undefined);
      }
    }
    return Left(noAnswer("ledger.end"));
  }
}

function keyOf(request: ClaimRequest): string {
  return `${KEY_PREFIX}${request.workspace}/${encodeURIComponent(request.key)}`;
}

function parseRecord(entry: StoreEntry): ClaimRecord {
  return JSON.parse(entry.value) as ClaimRecord;
}

/** A conflict with our own nonce is our own write whose answer was lost. */
function toResult(
  request: ClaimRequest,
  nonce: string,
  current: StoreEntry | undefined,
): ClaimResult {
  if (!current) return { kind: "in-progress" };
  const record = parseRecord(current);
  if (record.nonce === nonce) {
    return { kind: "held", claim: { request, nonce } };
  }
  if (record.fingerprint !== request.fingerprint) return { kind: "mismatch" };
  switch (record.state) {
    case "running":
      return { kind: "in-progress" };
    case "unknown":
      return { kind: "unknown" };
    case "done":
      return {
        kind: "done",
        response: {
          status: record.status,
          headers: record.headers,
          body: Buffer.from(record.bodyBase64, "base64"),
        },
      };
  }
}

function toRecord(record: ClaimRecord, end: ClaimEnd): ClaimRecord | undefined {
  const { fingerprint, nonce, host } = record;
  switch (end.kind) {
    case "not-run":
      return undefined;
    case "unknown":
      return { fingerprint, nonce, host, state: "unknown" };
    case "done":
      return {
        fingerprint,
        nonce,
        host,
        state: "done",
        status: end.response.status,
        headers: end.response.headers,
        bodyBase64: Buffer.from(end.response.body).toString("base64"),
      };
  }
}

function noAnswer(step: string): StoreFailure {
  return {
    kind: "unknown",
    step,
    peer: "store",
    detail: `the store gave no answer in ${MAX_WRITE_TRIES} tries`,
  };
}
