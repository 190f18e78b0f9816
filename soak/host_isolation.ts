/**
 * Cuts hosts from the store, from their peers or from both while another
 * software version appears, and kills other daemons meanwhile, so that callers
 * take streams up at hosts whose view is old.
 */

import { setTimeout as wait } from "node:timers/promises";
import type { SeededRandom } from "../src/base/common/random.ts";
import type { HostPartition } from "../standins/network/host_partition.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type { Releases } from "./releases.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

/** What hosts are cut from, and how; frequent ones are listed again. */
const ISOLATION_KINDS = [
  "store-and-peers",
  "store-and-peers",
  "store-and-peers",
  "store-and-all-links",
  "store-and-all-links",
  "store",
  "peers",
  "store-one-way",
  "store-busy",
  "store-reset",
  "pause",
] as const;
type IsolationKind = (typeof ISOLATION_KINDS)[number];

/** The other daemons that are killed while hosts are cut. */
const KILL_KINDS = ["none", "one", "some", "all"] as const;
type KillKind = (typeof KILL_KINDS)[number];

const MIN_CUT_MS = 1_000;
const MAX_CUT_MS = 6_000;
/** Callers give up after 8 s, and no host sleeps for that long. */
const MAX_PAUSE_MS = 2_500;
const MAX_RELEASE_DELAY_MS = 300;
/** Share of the versions that appear during a cut and leave before its end. */
const WITHDRAWN_SHARE = 0.3;
const MIN_KILL_DELAY_MS = 300;
const MAX_KILL_DELAY_MS = 1_500;
const MAX_KILL_GAP_MS = 200;
/** More daemons do not start again soon on one machine. */
const MAX_VICTIMS = 12;
/** Share of the cuts that part several hosts from the others, as a zone cut. */
const GROUP_SHARE = 0.25;
const MIN_DAEMONS_FOR_GROUP = 4;

/** A daemon with its links. */
interface SoakHost {
  readonly daemon: DaemonProcess;
  readonly partition: HostPartition;
}

/** Isolates hosts, one group at a time. */
export class HostIsolation {
  readonly #deployment: SoakDeployment;
  readonly #random: SeededRandom;
  readonly #releases: Releases;
  readonly #log: (line: string) => void;
  #heal: (() => void) | undefined;

  /**
   * @param deployment - Deployment whose hosts are cut.
   * @param random - Source of the hosts, kinds and times.
   * @param releases - Begins the releases that the cut hosts do not see.
   * @param log - Callback that receives one line per kill and healed cut.
   */
  constructor(
    deployment: SoakDeployment,
    random: SeededRandom,
    releases: Releases,
    log: (line: string) => void,
  ) {
    this.#deployment = deployment;
    this.#random = random;
    this.#releases = releases;
    this.#log = log;
  }

  /**
   * Isolates some hosts for a time, unless others still are.
   *
   * @returns What was done.
   */
  begin(): string {
    if (this.#heal) return "no isolation: another is not over";
    const random = this.#random;
    const kind = this.#pick(ISOLATION_KINDS);
    const killKind = this.#pick(KILL_KINDS);
    const isolated = this.#pickHosts();
    const daemons = isolated.map(({ daemon }) => daemon);
    const others = this.#hosts().filter(({ daemon }) =>
      !daemons.includes(daemon)
    );
    const maxCutMs = kind === "pause" ? MAX_PAUSE_MS : MAX_CUT_MS;
    const cutMs = MIN_CUT_MS + random.float() * (maxCutMs - MIN_CUT_MS);
    this.#cut(kind, isolated, others);
    this.#deployment.isolatedDaemons = daemons;
    const names = daemons.map(({ options }) => options.name).join();
    this.#heal = () => {
      this.#heal = undefined;
      this.#reconnect(kind, isolated, others);
      this.#deployment.isolatedDaemons = [];
      this.#log(`${names} rejoined`);
    };
    const heal = this.#heal;
    setTimeout(() => {
      if (this.#heal === heal) heal();
    }, cutMs);
    const isWithdrawn = random.float() < WITHDRAWN_SHARE;
    const releaseDelayMs = random.float() * MAX_RELEASE_DELAY_MS;
    setTimeout(() => {
      if (this.#heal !== heal) return;
      const releases = this.#releases;
      this.#log(isWithdrawn ? releases.beginWithdrawn() : releases.begin());
    }, releaseDelayMs);
    const victims = this.#pickVictims(killKind, others);
    void this.#killInSeries(victims.slice(0, MAX_VICTIMS));
    return `isolate ${names} (${kind}) for ${
      Math.round(cutMs)
    } ms, kill ${killKind} of the others`;
  }

  /** Ends the current cut at once. */
  end(): void {
    this.#heal?.();
  }

  #cut(
    kind: IsolationKind,
    isolated: readonly SoakHost[],
    others: readonly SoakHost[],
  ): void {
    const { clientFaults } = this.#deployment.storeServer;
    for (const { daemon, partition } of isolated) {
      switch (kind) {
        case "store-and-peers":
          partition.cutFromStore();
          cutFromPeers(partition, isolated, others);
          break;
        case "store-and-all-links":
          partition.cutFromStore();
          break;
        case "store":
          partition.cutFromStore();
          break;
        case "peers":
          cutFromPeers(partition, isolated, others);
          break;
        case "store-one-way":
          partition.cutFromStore({ kind: "silence", isOneWay: true });
          break;
        case "store-busy":
          clientFaults.set(daemon.options.ip, "busy");
          break;
        case "store-reset":
          partition.cutFromStore({ kind: "reset" });
          partition.storeProxy.resetConnections();
          break;
        case "pause":
          daemon.pause();
      }
    }
    const separated = separatedHosts(kind, isolated, this.#hosts());
    for (const { daemon } of separated) daemon.isSeparated = true;
    if (kind !== "store-and-all-links") return;
    for (const { partition } of separated) partition.cutLinksOfPeers();
  }

  #reconnect(
    kind: IsolationKind,
    isolated: readonly SoakHost[],
    others: readonly SoakHost[],
  ): void {
    const { clientFaults } = this.#deployment.storeServer;
    for (const { daemon, partition } of isolated) {
      switch (kind) {
        case "store-and-peers":
        case "store-and-all-links":
        case "store":
        case "store-one-way":
        case "store-reset":
          partition.rejoinStore();
          break;
        case "store-busy":
          clientFaults.delete(daemon.options.ip);
          break;
        case "peers":
          break;
        case "pause":
          daemon.resume();
      }
    }
    for (
      const { daemon, partition } of separatedHosts(
        kind,
        isolated,
        this.#hosts(),
      )
    ) {
      daemon.isSeparated = false;
      partition.rejoinPeers();
      for (const other of others) partition.endLinks(other.partition);
    }
  }

  async #killInSeries(victims: readonly SoakHost[]): Promise<void> {
    const delayMs = MIN_KILL_DELAY_MS +
      this.#random.float() * (MAX_KILL_DELAY_MS - MIN_KILL_DELAY_MS);
    const gapMs = this.#random.float() * MAX_KILL_GAP_MS / victims.length;
    await wait(delayMs);
    for (const { daemon } of victims) {
      if (!this.#heal) return;
      this.#log(`kill ${daemon.options.name} beside a cut`);
      daemon.kill();
      await wait(gapMs);
    }
  }

  #pickVictims(
    kind: KillKind,
    others: readonly SoakHost[],
  ): readonly SoakHost[] {
    const shuffled = others
      .map((host) => ({ host, order: this.#random.float() }))
      .sort((one, other) => one.order - other.order)
      .map(({ host }) => host);
    switch (kind) {
      case "none":
        return [];
      case "one":
        return shuffled.slice(0, 1);
      case "some":
        return shuffled.slice(0, Math.ceil(shuffled.length / 2));
      case "all":
        return shuffled;
    }
  }

  /** One host, or all hosts of a zone. */
  #pickHosts(): readonly SoakHost[] {
    const hosts = this.#hosts();
    const first = this.#pick(hosts);
    const isGroup = this.#random.float() < GROUP_SHARE;
    if (!isGroup || hosts.length < MIN_DAEMONS_FOR_GROUP) return [first];
    const { zone } = first.daemon.options;
    return hosts.filter(({ daemon }) => daemon.options.zone === zone);
  }

  #hosts(): readonly SoakHost[] {
    const { daemons, partitions } = this.#deployment;
    return daemons.map((daemon, index) => ({
      daemon,
      partition: partitions[index]!,
    }));
  }

  #pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.#random.float() * choices.length)]!;
  }
}

/** @returns The hosts that cannot reach all of their peers. */
function separatedHosts(
  kind: IsolationKind,
  isolated: readonly SoakHost[],
  hosts: readonly SoakHost[],
): readonly SoakHost[] {
  switch (kind) {
    case "store-and-peers":
    case "peers":
      return isolated;
    case "store-and-all-links":
      return hosts;
    case "store":
    case "store-one-way":
    case "store-busy":
    case "store-reset":
    case "pause":
      return [];
  }
}

function cutFromPeers(
  partition: HostPartition,
  isolated: readonly SoakHost[],
  others: readonly SoakHost[],
): void {
  // Also cuts links whose opener's address is not known.
  if (isolated.length === 1) partition.cutLinksOfPeers();
  for (const other of others) partition.cutFrom(other.partition);
}
