/** Ranks workspaces by their recent requests. */

import type { WorkspaceId } from "../../../base/common/ids.ts";

const MAX_COUNTED_WORKSPACES = 8_192;

/** Counts requests; each look at the ranking halves the weight of the past. */
export class WorkspaceRanking {
  readonly #rankedCount: number;
  readonly #counts = new Map<WorkspaceId, number>();

  /** @param rankedCount - How many workspaces are among the busiest. */
  constructor(rankedCount: number) {
    this.#rankedCount = rankedCount;
  }

  /** @param workspace - Workspace that sent a request. */
  countRequest(workspace: WorkspaceId): void {
    const count = this.#counts.get(workspace);
    if (count === undefined && this.#counts.size >= MAX_COUNTED_WORKSPACES) {
      return;
    }
    this.#counts.set(workspace, (count ?? 0) + 1);
  }

  /** @returns The busiest workspaces. */
  rankAndDecay(): ReadonlySet<WorkspaceId> {
    const ranked = [...this.#counts]
      .sort(([, left], [, right]) => right - left)
      .slice(0, this.#rankedCount);
    for (const [workspace, count] of this.#counts) {
      const halved = Math.floor(count / 2);
      if (halved === 0) this.#counts.delete(workspace);
      else this.#counts.set(workspace, halved);
    }
    return new Set(ranked.map(([workspace]) => workspace));
  }
}
