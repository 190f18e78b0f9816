/** Contract for who relays updates when not every pair of daemons is linked. */

import type { Event } from "../../../base/common/event.ts";
import type { HostId } from "../../../base/common/ids.ts";

/** Where a daemon stands among the links. */
export interface PeerOverlay {
  /** Fires when the daemon reports to another hub, or to none. */
  readonly onDidChangeHomeHub: Event<void>;
  /** Whether this daemon relays updates to others. */
  readonly isHub: boolean;
  /** Hub that this daemon reports to; none while it is a hub or has no link. */
  homeHub(): HostId | undefined;
  /**
   * @param task - What is to be done by one daemon of the zone.
   * @returns The hub that does it; this daemon if it sees no other.
   */
  zoneHubFor(task: string): HostId;
  /** Linked hubs. */
  linkedHubs(): readonly HostId[];
  /** Linked daemons that are no hubs. */
  linkedLeaves(): readonly HostId[];
}
