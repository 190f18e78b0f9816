/** Contract for the knowledge of which daemons are there. */

import type { Event } from "../../../base/common/event.ts";
import type { ZoneName } from "../../../base/common/ids.ts";
import type { PeerAddress } from "../../peers/common/peer_links.ts";

/** What is believed of a member. */
export type MemberState = "alive" | "suspect" | "leaving";

/** A daemon that is believed to be there. */
export interface Member extends PeerAddress {
  /** Grows with each start of the daemon; a higher one replaces a lower one. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Soft state: two daemons may disagree for a while. */
export interface Membership {
  /** This daemon. */
  readonly self: Member;
  /** Fires after any change of `members`. */
  readonly onDidChangeMembers: Event<void>;
  /** All members that are not removed, this daemon included. */
  members(): readonly Member[];
  /** Members of one zone that may own work: alive or suspect. */
  eligibleOwnersInZone(zone: ZoneName): readonly Member[];
  /** Tells the others that this daemon takes no new work. */
  announceDraining(): void;
  /** Takes the entry hosts of the platform's list, which lags behind. */
  applyHostList(hosts: readonly ListedMember[]): void;
}

/** An entry host as the platform's host list has it. */
export interface ListedMember extends PeerAddress {
  readonly isLeaving: boolean;
}

/** A membership of fixed hosts, for one daemon alone and for tests. */
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
    // There is nobody to tell.
  }

  /** {@inheritDoc Membership.applyHostList} */
  applyHostList(): void {
    // The hosts are fixed.
  }
}
