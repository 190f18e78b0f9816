/** Limits of each workspace within a group. */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { TokenBucket } from "./token_bucket.ts";

const BURST_MS = 10_000;
const MAX_IDLE_WORKSPACES = 10_000;

/** Limits that the configuration sets. */
export interface WorkspaceLimit {
  readonly tokensPerSecond: number | undefined;
  readonly maxConcurrent: number | undefined;
}

interface WorkspaceUse {
  running: number;
  bucket: TokenBucket | undefined;
}

/** Running requests and token buckets by workspace. */
export class WorkspaceLimits {
  readonly #uses = new Map<WorkspaceId, WorkspaceUse>();

  /**
   * @returns Time until the workspace is within its rate, in milliseconds.
   */
  rateWaitMs(
    workspace: WorkspaceId,
    { tokensPerSecond }: WorkspaceLimit,
    nowMs: number,
  ): number {
    if (tokensPerSecond === undefined) return 0;
    const use = this.#useOf(workspace);
    use.bucket ??= new TokenBucket(tokensPerSecond, BURST_MS, nowMs);
    use.bucket.setRate(tokensPerSecond, nowMs);
    return use.bucket.waitMs(nowMs);
  }

  /** @returns Whether one more request may run. */
  mayRun(workspace: WorkspaceId, { maxConcurrent }: WorkspaceLimit): boolean {
    if (maxConcurrent === undefined) return true;
    return (this.#uses.get(workspace)?.running ?? 0) < maxConcurrent;
  }

  /** Counts a request that starts to run. */
  onStart(workspace: WorkspaceId, workTokens: number, nowMs: number): void {
    const use = this.#useOf(workspace);
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
  onEnd(
    workspace: WorkspaceId,
    correctionTokens: number,
    nowMs: number,
  ): void {
    const use = this.#useOf(workspace);
    use.running = Math.max(0, use.running - 1);
    use.bucket?.take(correctionTokens, nowMs);
  }

  #useOf(workspace: WorkspaceId): WorkspaceUse {
    const known = this.#uses.get(workspace);
    if (known) return known;
    if (this.#uses.size >= MAX_IDLE_WORKSPACES) this.#dropIdle();
    const use: WorkspaceUse = { running: 0, bucket: undefined };
    this.#uses.set(workspace, use);
    return use;
  }

  #dropIdle(): void {
    for (const [workspace, use] of this.#uses) {
      if (use.running === 0) this.#uses.delete(workspace);
    }
  }
}
