/** Tells peers what this daemon uses of endpoints, and learns theirs. */

import { type Clock, setPeriodic } from "../../../base/common/clock.ts";
import type { EndpointId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../base/common/lifecycle.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../services/peers/common/peer_links.ts";
import type { LoadBoard, UseRow } from "./load_board.ts";

/** Rows of one daemon. */
export interface LoadMessage {
  /** Whether these are all rows that the sender has. */
  readonly isWhole: boolean;
  readonly rows: readonly UseRow[];
}

/** Channel of the rows; each row is an array to keep messages small. */
export const LOAD_CHANNEL: PeerChannelSpec<LoadMessage> = {
  name: "load.v1",
  encode: ({ isWhole, rows }) => [isWhole, rows.map(toArray)],
  decode: decodeLoadMessage,
};

/** Changes of a few milliseconds share a message. */
const COALESCE_MS = 5;
/** Lost messages are made good by a whole table. */
const WHOLE_PERIOD_MS = 4_000;

/** Shares one board. */
export class LoadExchange implements Disposable {
  readonly #clock: Clock;
  readonly #board: LoadBoard;
  readonly #channel: PeerChannel<LoadMessage>;
  readonly #owned = new DisposableStore();
  readonly #changed = new Set<EndpointId>();
  #hadRows = false;

  /**
   * @param clock - Clock of the messages.
   * @param links - Links to the peers.
   * @param board - The board.
   */
  constructor(clock: Clock, links: PeerLinks, board: LoadBoard) {
    this.#clock = clock;
    this.#board = board;
    this.#channel = this.#owned.add(links.openChannel(LOAD_CHANNEL));
    this.#owned.add(this.#channel.onDidReceive(({ from, body }) => {
      board.applyPeerRows(from, body.rows, body.isWhole);
    }));
    this.#owned.add(board.onDidChangeOwn((endpoint) => this.#note(endpoint)));
    this.#owned.add(links.onDidChangeLink(({ host, isUp }) => {
      if (!isUp) return;
      const message = { isWhole: true, rows: board.ownRows() };
      this.#channel.send(host, message);
    }));
    this.#owned.add(setPeriodic(clock, WHOLE_PERIOD_MS, () => {
      const rows = board.ownRows();
      if (rows.length > 0 || this.#hadRows) {
        this.#channel.broadcast({ isWhole: true, rows });
      }
      this.#hadRows = rows.length > 0;
    }));
  }

  /** Stops the messages. */
  dispose(): void {
    this.#owned.dispose();
  }

  #note(endpoint: EndpointId): void {
    this.#changed.add(endpoint);
    if (this.#changed.size > 1) return;
    this.#clock.setTimer(COALESCE_MS, () => {
      const rows = [...this.#changed].map((id) => this.#board.ownRow(id));
      this.#changed.clear();
      this.#channel.broadcast({ isWhole: false, rows });
    });
  }
}

function toArray(row: UseRow): readonly unknown[] {
  const { endpoint, runs, memoryTokens, unreadTokens, copyTokens } = row;
  return [endpoint, runs, memoryTokens, unreadTokens, copyTokens];
}

function decodeLoadMessage(body: unknown): Either<string, LoadMessage> {
  if (!Array.isArray(body)) return Left("not an array");
  const [isWhole, rows] = body as unknown[];
  if (typeof isWhole !== "boolean" || !Array.isArray(rows)) {
    return Left("not a flag and rows");
  }
  const decoded: UseRow[] = [];
  for (const row of rows as unknown[]) {
    if (!Array.isArray(row) || typeof row[0] !== "string") {
      return Left("a row without an endpoint");
    }
    const figures = row.slice(1) as unknown[];
    if (figures.length !== 4 || !figures.every(isFigure)) {
      return Left("a row without four figures");
    }
    const [runs, memoryTokens, unreadTokens, copyTokens] = figures as number[];
    decoded.push({
      endpoint: row[0] as EndpointId,
      runs: runs!,
      memoryTokens: memoryTokens!,
      unreadTokens: unreadTokens!,
      copyTokens: copyTokens!,
    });
  }
  return Right({ isWhole, rows: decoded });
}

function isFigure(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value);
}
