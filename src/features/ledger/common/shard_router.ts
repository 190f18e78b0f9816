/**
 * Routes ledger operations to the writer host of their shard, so that one host
 * can commit the operations of many in batches.
 */

import type { Clock } from "../../../base/common/clock.ts";
import { assertNever } from "../../../base/common/errors.ts";
import { type Hasher, rendezvousOrder } from "../../../base/common/hasher.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";
import type { Membership } from "../../../services/membership/common/membership.ts";
import type {
  PeerChannel,
  PeerLinks,
  PeerMessage,
} from "../../../services/peers/common/peer_links.ts";
import type { StoreClient } from "../../../services/store/common/store_client.ts";
import type { LedgerOperation, OperationResult } from "./claim_operation.ts";
import type { LedgerOperationFailure } from "./claim_ledger.ts";
import type { ClaimRecord } from "./claim_record.ts";
import {
  LEDGER_CHANNEL,
  type LedgerMessage,
  type SubmitMessage,
} from "./ledger_messages.ts";
import { LEDGER_KEY_PREFIX, ShardStore } from "./shard_store.ts";
import { ShardWriter, type ShardWriterOptions } from "./shard_writer.ts";

/** Dependencies of the router. */
export interface ShardRouterServices {
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly store: StoreClient;
  readonly links: PeerLinks;
  readonly membership: Membership;
  /** @returns A string that is unique across all calls and hosts. */
  createNonce(): string;
}

/** Options for sharding keys and committing operations. */
export interface ShardRouterOptions extends ShardWriterOptions {
  /** Number of shards; must be the same on all hosts of a deployment. */
  readonly shardCount: number;
}

/** Time to wait for the writer host to accept an operation. */
const ACCEPT_TIMEOUT_MS = 300;
/** Time to wait for the reply after the writer host accepted an operation. */
const REPLY_TIMEOUT_MS = 4_000;
/** Age at which a running claim of a host that is not a member has ended. */
const ABSENT_HOLDER_TIMEOUT_MS = 15_000;

/** Reply of the writer host to a submitted operation. */
type Reply = Either<LedgerOperationFailure, OperationResult>;

/** An operation submitted to another host; settles without reply on timeout. */
class RemoteSubmission {
  readonly reply: Promise<Reply | undefined>;
  readonly #clock: Clock;
  #timer: Disposable;
  #resolve: (reply: Reply | undefined) => void = () => undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.reply = new Promise((resolve) => this.#resolve = resolve);
    this.#timer = clock.setTimer(
      ACCEPT_TIMEOUT_MS,
      () => this.settle(undefined),
    );
  }

  accept(): void {
    this.#timer.dispose();
    this.#timer = this.#clock.setTimer(
      REPLY_TIMEOUT_MS,
      () => this.settle(undefined),
    );
  }

  settle(reply: Reply | undefined): void {
    this.#timer.dispose();
    this.#resolve(reply);
  }
}

/**
 * Submits operations to the writer host of their shard, and commits them on
 * this host if the writer does not reply.
 */
export class ShardRouter implements Disposable {
  readonly #services: ShardRouterServices;
  readonly #options: ShardRouterOptions;
  readonly #disposables = new DisposableStore();
  readonly #channel: PeerChannel<LedgerMessage>;
  readonly #writers = new Map<number, ShardWriter>();
  readonly #remoteSubmissions = new Map<string, RemoteSubmission>();

  /**
   * @param services - Dependencies of the router.
   * @param options - Options for sharding keys and committing operations.
   */
  constructor(services: ShardRouterServices, options: ShardRouterOptions) {
    this.#services = services;
    this.#options = options;
    this.#channel = this.#disposables.add(
      services.links.openChannel(LEDGER_CHANNEL),
    );
    this.#disposables.add(
      this.#channel.onDidReceive((message) => this.#handleMessage(message)),
    );
  }

  /**
   * Submits an operation. Two writers may commit it; its nonce makes the second
   * commit a repetition of the first.
   *
   * @param operation - Operation to submit.
   */
  async submit(
    operation: LedgerOperation,
  ): AsyncEither<LedgerOperationFailure, OperationResult> {
    const shard = this.#shardOf(operation.key);
    const writer = this.#writerHostOf(shard);
    if (writer !== this.#services.membership.self.host) {
      const reply = await this.#submitRemotely(writer, shard, operation);
      if (reply?.isRight()) return reply;
    }
    return await this.#localWriter(shard).submit(operation);
  }

  /** Fails all pending operations and closes the peer channel. */
  dispose(): void {
    for (const writer of this.#writers.values()) writer.dispose();
    this.#disposables.dispose();
  }

  #shardOf(key: string): number {
    return this.#services.hasher.hash32(key) % this.#options.shardCount;
  }

  #writerHostOf(shard: number): HostId {
    const { hasher, membership } = this.#services;
    const hosts = membership.members()
      .filter(({ state }) => state !== "leaving")
      .map(({ host }) => host);
    const shardKey = `${LEDGER_KEY_PREFIX}${shard}`;
    return rendezvousOrder(hasher, shardKey, hosts)[0] ?? membership.self.host;
  }

  /** @returns The reply, or `undefined` if none arrived in time. */
  async #submitRemotely(
    to: HostId,
    shard: number,
    operation: LedgerOperation,
  ): Promise<Reply | undefined> {
    const id = this.#services.createNonce();
    const message: SubmitMessage = {
      kind: "submit",
      id,
      shard,
      sentMs: this.#services.clock.nowMs(),
      operation,
    };
    if (this.#channel.send(to, message) !== "queued") return undefined;
    const submission = new RemoteSubmission(this.#services.clock);
    this.#remoteSubmissions.set(id, submission);
    const reply = await submission.reply;
    this.#remoteSubmissions.delete(id);
    return reply;
  }

  #handleMessage({ from, body }: PeerMessage<LedgerMessage>): void {
    switch (body.kind) {
      case "submit":
        void this.#handleSubmit(from, body);
        return;
      case "accepted":
        this.#remoteSubmissions.get(body.id)?.accept();
        return;
      case "reply":
        this.#remoteSubmissions.get(body.id)?.settle(Right(body.result));
        return;
      case "fault":
        this.#remoteSubmissions.get(body.id)?.settle(Left(body.fault));
        return;
      default:
        assertNever(body);
    }
  }

  async #handleSubmit(
    from: HostId,
    { id, shard, sentMs, operation }: SubmitMessage,
  ): Promise<void> {
    if (shard !== this.#shardOf(operation.key)) return;
    // The sender no longer waits, for example because this host was paused.
    const ageMs = this.#services.clock.nowMs() - sentMs;
    if (ageMs > ACCEPT_TIMEOUT_MS) return;
    this.#channel.send(from, { kind: "accepted", id });
    const done = await this.#localWriter(shard).submit(
      operation,
      REPLY_TIMEOUT_MS,
    );
    this.#channel.send(
      from,
      done.caseOf<LedgerMessage>({
        Left: (fault) => ({ kind: "fault", id, fault }),
        Right: (result) => ({ kind: "reply", id, result }),
      }),
    );
  }

  #localWriter(shard: number): ShardWriter {
    let writer = this.#writers.get(shard);
    if (!writer) {
      const { clock, store } = this.#services;
      writer = new ShardWriter({
        clock,
        shardStore: new ShardStore(store, shard),
        hasHolderEnded: (record) => this.#hasHolderEnded(record),
      }, this.#options);
      this.#writers.set(shard, writer);
    }
    return writer;
  }

  #hasHolderEnded({ host, atMs }: ClaimRecord): boolean {
    const { clock, membership } = this.#services;
    const members = membership.members();
    const holder = members.find((member) => member.host === host);
    if (holder) return holder.incarnation > atMs;
    const isOnlyMember = members.length === 1;
    return !isOnlyMember && clock.nowMs() - atMs > ABSENT_HOLDER_TIMEOUT_MS;
  }
}
