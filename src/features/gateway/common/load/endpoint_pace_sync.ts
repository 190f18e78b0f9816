/**
 * Shares the learned speeds of endpoints with the peers: a host sees an
 * endpoint only now and then, while the host that places for a zone must know.
 * Leaves report to their home hub; a hub reports to the other hubs what it and its
 * leaves have measured, and its leaves all that it knows. Only changes are
 * sent, as bytes between zones are expensive.
 */

import { type Clock, runPeriodically } from "../../../../base/common/clock.ts";
import type { EndpointId, HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import { type Either, Left, Right } from "../../../../base/common/result.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import {
  deviation,
  type EndpointPaces,
  type KnownPaceReport,
  type PaceAudience,
  type PaceReport,
} from "./endpoint_pace.ts";

/** Period of the messages; none is sent without a change. */
const SEND_PERIOD_MS = 500;
/** Changes up to this factor are not sent, after a first time. */
const MIN_SENT_DEVIATION = 1.2;
/** Deviations are repeated this often, as receivers forget them. */
const REPEAT_PERIOD_MS = 2_000;
/** The same for usual times, which receivers need for the median. */
const REPEAT_USUAL_PERIOD_MS = 60_000;
/** Resolution of a time: a hundredth of a millisecond. */
const UNITS_PER_MS = 100;

/** Channel for the speeds. Daemons of earlier versions do not open it. */
export const PACE_CHANNEL: PeerChannelSpec<readonly PaceReport[]> = {
  name: "pace.v1",
  encode: (reports) => [
    reports.map(({ endpoint, bornMs, kind, timeMs, ageMs, reportsPace }) => [
      endpoint,
      bornMs,
      kind,
      Math.max(1, Math.round(timeMs * UNITS_PER_MS)),
      Math.round(ageMs),
      reportsPace,
    ]),
  ],
  decode: decodeReports,
};

/** Dependencies of {@link EndpointPaceSync}. */
export interface EndpointPaceSyncServices {
  readonly clock: Clock;
  readonly links: PeerLinks;
  readonly overlay: PeerOverlay;
  readonly paces: EndpointPaces;
  readonly registry: Pick<EndpointRegistry, "get" | "onDidRetire">;
}

/** What was last sent to an audience about an endpoint process. */
interface SentReport {
  readonly bornMs: number;
  readonly timeMs: number;
  readonly sentMs: number;
}

/** Synchronizes the paces of one daemon. */
export class EndpointPaceSync implements Disposable {
  readonly #services: EndpointPaceSyncServices;
  readonly #channel: PeerChannel<readonly PaceReport[]>;
  readonly #disposables = new DisposableStore();
  readonly #sent: Readonly<Record<PaceAudience, Map<EndpointId, SentReport>>> =
    { hubs: new Map(), leaves: new Map() };

  /** @param services - Dependencies of the synchronization. */
  constructor(services: EndpointPaceSyncServices) {
    this.#services = services;
    const { clock, links, overlay, paces, registry } = services;
    this.#channel = this.#disposables.add(links.openChannel(PACE_CHANNEL));
    this.#disposables.add(this.#channel.onDidReceive(({ from, body }) => {
      this.#apply(from, body);
    }));
    // A new peer may know nothing, and messages may have been lost before.
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp) this.#sendAll(host);
    }));
    this.#disposables.add(overlay.onDidChangeHomeHub(() => {
      const home = overlay.homeHub();
      if (home !== undefined) this.#sendAll(home);
    }));
    this.#disposables.add(registry.onDidRetire((endpoint) => {
      paces.forget(endpoint);
      for (const sent of Object.values(this.#sent)) sent.delete(endpoint.id);
    }));
    this.#disposables.add(
      runPeriodically(clock, SEND_PERIOD_MS, () => this.#sendChanges()),
    );
  }

  /** Stops the synchronization. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #apply(from: HostId, reports: readonly PaceReport[]): void {
    const { overlay, paces, registry } = this.#services;
    const isHub = from === overlay.homeHub() ||
      overlay.linkedHubs().includes(from);
    for (const report of reports) {
      const endpoint = registry.get(report.endpoint);
      if (!endpoint) continue;
      paces.applyReport(report, endpoint, isHub ? "hubs" : "leaves");
    }
  }

  #sendAll(host: HostId): void {
    const { overlay, paces } = this.#services;
    const home = overlay.homeHub();
    if (home !== undefined && host !== home) return;
    const isHub = host === home || overlay.linkedHubs().includes(host);
    const reports = paces.reports(isHub ? "hubs" : "leaves");
    if (reports.length > 0) this.#channel.send(host, reports);
  }

  #sendChanges(): void {
    const { overlay } = this.#services;
    const home = overlay.homeHub();
    this.#sendTo(home === undefined ? overlay.linkedHubs() : [home], "hubs");
    if (home === undefined) this.#sendTo(overlay.linkedLeaves(), "leaves");
  }

  #sendTo(hosts: readonly HostId[], audience: PaceAudience): void {
    if (hosts.length === 0) return;
    const { clock, paces } = this.#services;
    const nowMs = clock.monotonicMs();
    const sent = this.#sent[audience];
    const changes = paces.reports(audience).filter((report) =>
      isDue(report, sent.get(report.endpoint), nowMs)
    );
    if (changes.length === 0) return;
    for (const { bornMs, endpoint, timeMs } of changes) {
      sent.set(endpoint, { bornMs, timeMs, sentMs: nowMs });
    }
    this.#channel.multicast(hosts, changes);
  }
}

function isDue(
  { bornMs, isFresh, relativeTime, timeMs }: KnownPaceReport,
  sent: SentReport | undefined,
  nowMs: number,
): boolean {
  if (sent?.bornMs !== bornMs) return true;
  if (!isFresh) return false;
  if (deviation(timeMs / sent.timeMs) > MIN_SENT_DEVIATION) return true;
  const periodMs = deviation(relativeTime) > MIN_SENT_DEVIATION
    ? REPEAT_PERIOD_MS
    : REPEAT_USUAL_PERIOD_MS;
  return nowMs - sent.sentMs >= periodMs;
}

function decodeReports(body: unknown): Either<string, readonly PaceReport[]> {
  const rows: unknown = Array.isArray(body) ? body[0] : undefined;
  if (!Array.isArray(rows)) return Left("the message has no list of rows");
  const reports: PaceReport[] = [];
  for (const row of rows as unknown[]) {
    const report = decodeReport(row);
    if (!report) return Left("a row is malformed");
    reports.push(report);
  }
  return Right(reports);
}

/** Reads a row; figures that a later version appends are ignored. */
function decodeReport(row: unknown): PaceReport | undefined {
  if (!Array.isArray(row)) return undefined;
  const [endpoint, bornMs, kind, time, ageMs, reportsPace] = row as unknown[];
  const isValid = typeof endpoint === "string" && typeof bornMs === "number" &&
    (kind === "event" || kind === "response") && typeof time === "number" &&
    time > 0 && Number.isFinite(time) && typeof ageMs === "number" &&
    ageMs >= 0 && typeof reportsPace === "boolean";
  if (!isValid) return undefined;
  return {
    endpoint: endpoint as EndpointId,
    bornMs,
    kind,
    timeMs: time / UNITS_PER_MS,
    ageMs,
    reportsPace,
  };
}
