/** Ranks workspaces by their number of recent requests. */

import type { WorkspaceId } from "../../../base/common/ids.ts";

const MAX_COUNTED_WORKSPACES = 8_192;

/** Counts requests per workspace. Each ranking halves the previous counts. */
export class WorkspaceRanking {
  readonly #rankedCount: number;
  readonly #counts = new Map<WorkspaceId, number>();

  /** @param rankedCount - Maximum number of workspaces in a ranking. */
  constructor(rankedCount: number) {
    this.#rankedCount = rankedCount;
  }

  /** @param workspace - Workspace that sent the request. */
  countRequest(workspace: WorkspaceId): void {
    const count = this.#counts.get(workspace);
    if (count === undefined && this.#counts.size >= MAX_COUNTED_WORKSPACES) {
      return;
    }
    this.#counts.set(workspace, (count ?? 0) + 1);
  }

  /**
   * Ranks the workspaces and then halves all counts.
   *
   * @returns The workspaces with the most recent requests.
   */
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
