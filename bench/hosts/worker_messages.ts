/** Messages between the hosts benchmark and its worker processes. */

import type { Address } from "../../src/base/common/ids.ts";
import type { PeerAddress } from "../../src/services/peers/common/peer_links.ts";
import type { DaemonName } from "./control_plane_node.ts";

/** Command to a worker. */
export type WorkerCommand =
  | {
    readonly kind: "start";
    readonly names: readonly DaemonName[];
    readonly store: Address;
  }
  | { readonly kind: "join"; readonly seeds: readonly PeerAddress[] }
  | { readonly kind: "sample" }
  | { readonly kind: "kill"; readonly host: string };

/** Resource usage and counters of a worker, summed over its daemons. */
export interface WorkerSample {
  readonly kind: "sample";
  readonly atMs: number;
  readonly cpuMs: number;
  readonly rssMb: number;
  readonly daemons: number;
  readonly links: number;
  readonly messages: number;
  readonly bytes: number;
  /** Smallest number of members in the view of any daemon. */
  readonly fewestMembers: number;
}

/** Report of a worker. */
export type WorkerReport =
  | { readonly kind: "listening"; readonly peers: readonly PeerAddress[] }
  | WorkerSample
  | {
    readonly kind: "in-force";
    readonly host: string;
    readonly revision: number;
    readonly atMs: number;
  }
  | {
    readonly kind: "removed";
    readonly by: string;
    readonly host: string;
    readonly atMs: number;
  };
