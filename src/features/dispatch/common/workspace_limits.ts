/** Limits of each workspace within a group. */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { TokenBucket } from "./token_bucket.ts";

const BURST_MS = 10_000;
const IDLE_CLEANUP_THRESHOLD = 10_000;

/** Limits that the configuration sets. */
export interface WorkspaceLimit {
  readonly tokensPerSecond: number | undefined;
  readonly maxConcurrent: number | undefined;
}

interface WorkspaceUsage {
  running: number;
  bucket: TokenBucket | undefined;
}

/** Running requests and token buckets by workspace. */
export class WorkspaceLimits {
  readonly #usages = new Map<WorkspaceId, WorkspaceUsage>();

  /**
   * @returns Time until the workspace is within its rate, in milliseconds.
   */
  rateWaitMs(
    workspace: WorkspaceId,
    { tokensPerSecond }: WorkspaceLimit,
    nowMs: number,
  ): number {
    if (tokensPerSecond === undefined) return 0;
    const use = this.#usageOf(workspace);
    use.bucket ??= new TokenBucket(tokensPerSecond, BURST_MS, nowMs);
    use.bucket.setRate(tokensPerSecond, nowMs);
    return use.bucket.waitMs(nowMs);
  }

  /** @returns Whether one more request may run. */
  canRun(workspace: WorkspaceId, { maxConcurrent }: WorkspaceLimit): boolean {
    if (maxConcurrent === undefined) return true;
    return (this.#usages.get(workspace)?.running ?? 0) < maxConcurrent;
  }

  /** Counts a request that starts to run. */
  recordStart(workspace: WorkspaceId, workTokens: number, nowMs: number): void {
    const use = this.#usageOf(workspace);
    use.running++;
    use.bucket?.take(workTokens, nowMs);
  }

  /**
   * Counts a request that ended.
   *
   * @param workspace - Its workspace.
   * @param correctionTokens - Work beyond what was counted at its start.
   * @param nowMs - The present.
   */
  recordEnd(
    workspace: WorkspaceId,
    correctionTokens: number,
    nowMs: number,
  ): void {
    const use = this.#usageOf(workspace);
    use.running = Math.max(0, use.running - 1);
    use.bucket?.take(correctionTokens, nowMs);
  }

  #usageOf(workspace: WorkspaceId): WorkspaceUsage {
    const known = this.#usages.get(workspace);
    if (known) return known;
    if (this.#usages.size >= IDLE_CLEANUP_THRESHOLD) this.#removeIdle();
    const use: WorkspaceUsage = { running: 0, bucket: undefined };
    this.#usages.set(workspace, use);
    return use;
  }

  #removeIdle(): void {
    for (const [workspace, use] of this.#usages) {
      if (use.running === 0) this.#usages.delete(workspace);
    }
  }
}
