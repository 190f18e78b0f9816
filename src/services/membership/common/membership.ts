/**
 * Contract of the membership, which tracks the daemons of the fleet and their
 * liveness.
 */

import type { Event } from "../../../base/common/event.ts";
import type { ZoneName } from "../../../base/common/ids.ts";
import type { PeerAddress } from "../../peers/common/peer_links.ts";

/** State of a member as this daemon sees it; `leaving` means draining. */
export type MemberState = "alive" | "suspect" | "leaving";

/** A daemon that is considered a part of the fleet. */
export interface Member extends PeerAddress {
  /**
   * Increases with each start of the daemon; a higher incarnation supersedes a
   * lower one.
   */
  readonly incarnation: number;
  readonly state: MemberState;
}

/**
 * The members of the fleet. The state is eventually consistent: the views of
 * two daemons may differ temporarily.
 */
export interface Membership {
  /** This daemon. */
  readonly self: Member;
  /** Fires after each change of the result of `members`. */
  readonly onDidChangeMembers: Event<void>;
  /** Returns all members that have not been removed, including this daemon. */
  members(): readonly Member[];
  /**
   * Returns the members of a zone that may own work: those that are alive or
   * suspect, but not draining.
   */
  eligibleOwnersInZone(zone: ZoneName): readonly Member[];
  /**
   * Announces to all peers that this daemon is draining and accepts no new
   * work.
   */
  announceDraining(): void;
  /**
   * Applies the entry hosts of the platform's host list, which lags behind the
   * actual state of the hosts.
   */
  applyHostList(hosts: readonly ListedMember[]): void;
}

/** An entry host of the platform's host list. */
export interface ListedMember extends PeerAddress {
  readonly isLeaving: boolean;
}

/**
 * A membership with a fixed set of hosts, for a single daemon and for tests.
 */
export class StaticMembership implements Membership {
  readonly self: Member;
  readonly #members: readonly Member[];

  /**
   * @param self - This daemon.
   * @param others - The other daemons.
   */
  constructor(self: Member, others: readonly Member[] = []) {
    this.self = self;
    this.#members = [self, ...others];
  }

  /** {@inheritDoc Membership.onDidChangeMembers} */
  readonly onDidChangeMembers: Event<void> = () => ({
    dispose: () => undefined,
  });

  /** {@inheritDoc Membership.members} */
  members(): readonly Member[] {
    return this.#members;
  }

  /** {@inheritDoc Membership.eligibleOwnersInZone} */
  eligibleOwnersInZone(zone: ZoneName): readonly Member[] {
    return this.#members.filter((member) =>
      member.zone === zone && member.state !== "leaving"
    );
  }

  /** {@inheritDoc Membership.announceDraining} */
  announceDraining(): void {
    // A fixed membership has no peers to notify.
  }

  /** {@inheritDoc Membership.applyHostList} */
  applyHostList(): void {
    // The set of hosts is fixed.
  }
}
