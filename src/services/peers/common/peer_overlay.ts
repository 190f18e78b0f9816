/**
 * Contract for a daemon's role in the hub-and-leaf overlay, in which hubs relay
 * updates because not all pairs of daemons are linked.
 */

import type { Event } from "../../../base/common/event.ts";
import type { HostId } from "../../../base/common/ids.ts";

/** Role of this daemon in the overlay and its linked hubs and leaves. */
export interface PeerOverlay {
  /** Fires when this daemon starts to report to a different hub, or to none. */
  readonly onDidChangeHomeHub: Event<void>;
  /** Whether this daemon relays updates to others. */
  readonly isHub: boolean;
  /**
   * Returns the hub to which this daemon reports. It is `undefined` while this
   * daemon is a hub itself or has no link to a hub.
   */
  homeHub(): HostId | undefined;
  /**
   * Selects the hub of this daemon's zone that performs a task on behalf of the
   * zone.
   *
   * @param task - The name of the task.
   * @returns The responsible hub, or this daemon if no hub is linked.
   */
  zoneHubFor(task: string): HostId;
  /** Returns the hubs to which this daemon is linked. */
  linkedHubs(): readonly HostId[];
  /** Returns the linked daemons that are not hubs. */
  linkedLeaves(): readonly HostId[];
}
