/**
 * Enforces the token rate and concurrency limits of each workspace within a
 * group.
 */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Time for which a workspace may exceed its rate after it was idle. */
const BURST_MS = 10_000;
/** Number of tracked workspaces above which idle ones are removed. */
const IDLE_CLEANUP_THRESHOLD = 10_000;

/**
 * Limits of one workspace as set by the configuration; `undefined` means
 * unlimited.
 */
export interface WorkspaceLimit {
  readonly tokensPerSecond: number | undefined;
  readonly maxConcurrent: number | undefined;
}

interface WorkspaceUsage {
  /** Number of running requests. */
  running: number;
  bucket: TokenBucket | undefined;
}

/** Tracks the running requests and the token bucket of each workspace. */
export class WorkspaceLimits {
  readonly #usages = new Map<WorkspaceId, WorkspaceUsage>();

  /**
   * Returns how long the workspace has to wait until its token rate allows
   * another request.
   *
   * @returns The delay in milliseconds; 0 if the workspace is within its rate.
   */
  rateWaitMs(
    workspace: WorkspaceId,
    { tokensPerSecond }: WorkspaceLimit,
    nowMs: number,
  ): number {
    if (tokensPerSecond === undefined) return 0;
    const usage = this.#usageOf(workspace);
    usage.bucket ??= new TokenBucket(tokensPerSecond, BURST_MS, nowMs);
    usage.bucket.setRate(tokensPerSecond, nowMs);
    return usage.bucket.waitMs(nowMs);
  }

  /** @returns Whether the concurrency limit allows another request to start. */
  canRun(workspace: WorkspaceId, { maxConcurrent }: WorkspaceLimit): boolean {
    if (maxConcurrent === undefined) return true;
    return (this.#usages.get(workspace)?.running ?? 0) < maxConcurrent;
  }

  /** Records that a request has started. */
  recordStart(workspace: WorkspaceId, workTokens: number, nowMs: number): void {
    const usage = this.#usageOf(workspace);
    usage.running++;
    usage.bucket?.take(workTokens, nowMs);
  }

  /**
   * Records that a request has ended.
   *
   * @param workspace - Workspace of the request.
   * @param correctionTokens - Difference between the actual work and the work
   * charged at the start, in tokens; may be negative.
   * @param nowMs - Current time in milliseconds.
   */
  recordEnd(
    workspace: WorkspaceId,
    correctionTokens: number,
    nowMs: number,
  ): void {
    const usage = this.#usageOf(workspace);
    usage.running = Math.max(0, usage.running - 1);
    usage.bucket?.take(correctionTokens, nowMs);
  }

  #usageOf(workspace: WorkspaceId): WorkspaceUsage {
    const existing = this.#usages.get(workspace);
    if (existing) return existing;
    if (this.#usages.size >= IDLE_CLEANUP_THRESHOLD) this.#removeIdle();
    const usage: WorkspaceUsage = { running: 0, bucket: undefined };
    this.#usages.set(workspace, usage);
    return usage;
  }

  #removeIdle(): void {
    for (const [workspace, usage] of this.#usages) {
      if (usage.running === 0) this.#usages.delete(workspace);
    }
  }
}
