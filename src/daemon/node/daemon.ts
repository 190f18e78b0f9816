/** Runs the daemon core with real sockets, the system clock and the store. */

import { randomBytes, randomInt, randomUUID } from "node:crypto";
import type { AddressInfo } from "node:net";
import type { FastifyInstance } from "fastify";
import { sleep } from "../../base/common/clock.ts";
import { createHasher } from "../../base/common/hasher.ts";
import { fingerprint } from "../../base/node/fingerprint.ts";
import { type Address, asId, type RequestId } from "../../base/common/ids.ts";
import { DisposableStore } from "../../base/common/lifecycle.ts";
import { SeededRandom } from "../../base/common/random.ts";
import { SystemClock } from "../../base/node/system_clock.ts";
import { findServiceByAddress } from "../../features/configuration/common/configuration.ts";
import {
  HmacSigner,
  type SigningKey,
} from "../../features/generations/node/hmac_signer.ts";
import { HttpAppClient } from "../../services/endpoints/node/http_app_client.ts";
import { HttpEngineClient } from "../../services/endpoints/node/http_engine_client.ts";
import { HttpHostListClient } from "../../services/hosts/node/http_host_list_client.ts";
import { DebugLogger } from "../../services/log/node/debug_logger.ts";
import { logUnexpectedErrors } from "../../services/log/node/unexpected_error_log.ts";
import { GossipMembership } from "../../services/membership/common/gossip_membership.ts";
import { HistogramMetrics } from "../../services/metrics/common/histogram_metrics.ts";
import { PreemptionCounter } from "../../services/metrics/common/preemption_counter.ts";
import {
  NOOP_SAMPLE_SINK,
  type SampleSink,
} from "../../services/metrics/common/sample_sink.ts";
import { StatsdSink } from "../../services/metrics/node/statsd_sink.ts";
import { WsPeerLinks } from "../../services/peers/node/ws_peer_links.ts";
import type { DaemonSettings } from "../../services/settings/common/daemon_settings.ts";
import { splitAddress } from "../../services/settings/common/shared_schemas.ts";
import { TlsCredentials } from "../../services/tls/node/tls_credentials.ts";
import { EtcdStoreClient } from "../../services/store/node/etcd_store_client.ts";
import { DaemonCore } from "../common/daemon_core.ts";
import { createCallerServer } from "./caller_server.ts";
import { createOperatorServer } from "./operator_server.ts";
import { listenOnceFree } from "./port_wait.ts";

const DRAIN_POLL_INTERVAL_MS = 20;
const NONCE_BYTES = 9;
const SEED_LIMIT = 2 ** 31;

/** Secrets of a daemon, read from their sources. */
export interface DaemonSecrets {
  readonly signingKeys: readonly SigningKey[];
  /** Secret shared by all daemons, for the links between them. */
  readonly peerSecret: string;
  readonly operatorKey: string;
}

/** A daemon that runs in this process. */
export class Daemon {
  readonly #settings: DaemonSettings;
  readonly #clock = new SystemClock();
  readonly #disposables = new DisposableStore();
  readonly #logger: DebugLogger;
  readonly #links: WsPeerLinks;
  readonly #membership: GossipMembership;
  readonly #metrics: HistogramMetrics;
  readonly #core: DaemonCore;
  readonly #callerServer: FastifyInstance;
  readonly #operatorServer: FastifyInstance;
  #peerAddress: Address;
  #stopPromise: Promise<void> | undefined;

  private constructor(
    settings: DaemonSettings,
    secrets: DaemonSecrets,
    hasher: Awaited<ReturnType<typeof createHasher>>,
  ) {
    const { host, zone, limits } = settings;
    const clock = this.#clock;
    this.#settings = settings;
    this.#peerAddress = settings.listen.peers;
    this.#metrics = this.#disposables.add(
      new HistogramMetrics(clock, { host, zone }, this.#createSampleSink()),
    );
    this.#logger = new DebugLogger(
      clock,
      host,
      () => this.#metrics.count("log_lines_dropped"),
    );
    const engines = this.#disposables.add(new HttpEngineClient());
    const logger = this.#logger;
    const metrics = this.#metrics;
    const self = { host, zone, incarnation: clock.nowMs() };
    const links = this.#disposables.add(
      new WsPeerLinks({
        clock,
        logger,
        self,
        secret: secrets.peerSecret,
        tls: this.#loadTls("peers"),
        seed: randomInt(SEED_LIMIT),
        onLinkClosed: () => metrics.count("peer_links_closed"),
        onMessageRefused: () => metrics.count("peer_messages_refused"),
        onMessageFailed: () => metrics.count("peer_messages_failed"),
        onTransferAborted: () => metrics.count("peer_transfers_aborted"),
      }),
    );
    const random = new SeededRandom(randomInt(SEED_LIMIT));
    const membership = this.#disposables.add(
      new GossipMembership({ clock, hasher, random, logger, links }, self),
    );
    this.#links = links;
    this.#membership = membership;
    this.#core = this.#disposables.add(
      new DaemonCore({
        clock,
        hasher,
        random,
        logger,
        metrics,
        store: this.#disposables.add(
          new EtcdStoreClient(settings.store.addresses),
        ),
        engines,
        apps: this.#disposables.add(new HttpAppClient()),
        links,
        membership,
        hostList: settings.hostList &&
          new HttpHostListClient(settings.hostList.address),
        signer: new HmacSigner(secrets.signingKeys),
        createNonce: () => randomBytes(NONCE_BYTES).toString("base64url"),
        fingerprint,
      }, {
        host,
        zone,
        resumeWindowMs: limits.resumeWindowMs,
        idempotencyKeyRetentionMs: limits.keyKeepMs,
      }),
    );
    const preemptionMeter = new PreemptionCounter(
      this.#metrics,
      ({ address }) => findServiceByAddress(this.#core.configuration, address),
    );
    this.#disposables.add(
      engines.onDidReadLoad(({ endpoint, report }) =>
        preemptionMeter.record(endpoint, report)
      ),
    );
    this.#callerServer = createCallerServer(
      {
        clock,
        core: this.#core,
        createRequestId: () => asId<RequestId>(randomUUID()),
      },
      limits,
      this.#loadTls("callers"),
    );
    this.#operatorServer = createOperatorServer({
      core: this.#core,
      host,
      zone,
      operatorKey: secrets.operatorKey,
      quarantine: this.#core.quarantine,
      readMetrics: () => this.#metrics.toSnapshot(),
      requestDrain: () => void this.drainAndStop(),
    });
  }

  /**
   * Starts a daemon.
   *
   * @param settings - Settings of the daemon.
   * @param secrets - Secrets of the daemon.
   * @returns The daemon, once it is listening.
   */
  static async start(
    settings: DaemonSettings,
    secrets: DaemonSecrets,
  ): Promise<Daemon> {
    const daemon = new Daemon(settings, secrets, await createHasher());
    await daemon.#listen();
    return daemon;
  }

  /**
   * Address for callers, with the actual port if the settings specify port 0.
   */
  get callerAddress(): Address {
    return listeningAddress(this.#callerServer);
  }

  /** Address for the links of other daemons. */
  get peerAddress(): Address {
    return this.#peerAddress;
  }

  /** Address of the operator port. */
  get operatorAddress(): Address {
    return listeningAddress(this.#operatorServer);
  }

  /** Whether new requests are accepted. */
  get isReady(): boolean {
    return this.#core.isReady;
  }

  /**
   * Rejects new requests, waits for those in progress until the drain deadline,
   * and stops.
   */
  drainAndStop(): Promise<void> {
    this.#stopPromise ??= this.#runDrainAndStop();
    return this.#stopPromise;
  }

  /**
   * Logs and counts unexpected errors of this process from now on, instead of
   * ending it, until the daemon has stopped.
   */
  surviveUnexpectedErrors(): void {
    this.#disposables.add(
      logUnexpectedErrors(
        this.#logger,
        () => this.#metrics.count("unexpected_errors"),
      ),
    );
  }

  /**
   * Logs a signal that has no effect: settings are read at the start alone, and
   * certificates are read again by themselves.
   *
   * @param signal - Name of the signal.
   */
  ignoreSignal(signal: string): void {
    this.#logger.log("info", "signal-ignored", { signal });
  }

  /** Stops at once and aborts requests in progress, as a crash would. */
  async abort(): Promise<void> {
    this.#callerServer.server.closeAllConnections();
    await this.#close();
  }

  /** Throws if the files are invalid, so that the daemon does not start. */
  #loadTls(listener: "callers" | "peers"): TlsCredentials | undefined {
    const paths = this.#settings.tls[listener];
    if (!paths) return undefined;
    const services = { clock: this.#clock, logger: this.#logger };
    const loaded = TlsCredentials.load(services, paths);
    loaded.ifLeft((error) => {
      throw error;
    });
    return this.#disposables.add(loaded.unsafeCoerce());
  }

  #createSampleSink(): SampleSink {
    const { host, zone, metrics: { statsd } } = this.#settings;
    if (statsd === undefined) return NOOP_SAMPLE_SINK;
    return this.#disposables.add(
      new StatsdSink(this.#clock, splitAddress(statsd), { host, zone }),
    );
  }

  async #listen(): Promise<void> {
    const { listen, host, zone, peers } = this.#settings;
    const services = { clock: this.#clock, logger: this.#logger };
    this.#peerAddress = await listenOnceFree(
      services,
      listen.peers,
      () => this.#links.listen(listen.peers),
    );
    this.#membership.start(this.#peerAddress, peers);
    this.#core.start();
    await listenOnceFree(
      services,
      listen.operators,
      () => listenOn(this.#operatorServer, listen.operators),
    );
    await listenOnceFree(
      services,
      listen.callers,
      () => listenOn(this.#callerServer, listen.callers),
    );
    this.#logger.log("info", "daemon-started", {
      zone,
      hostName: host,
      callers: this.callerAddress,
    });
  }

  async #runDrainAndStop(): Promise<void> {
    this.#core.startDraining();
    this.#logger.log("info", "drain-started", {
      active: this.#core.activeCount,
    });
    const deadlineMs = this.#clock.monotonicMs() +
      this.#settings.limits.drainMs;
    while (
      this.#core.activeCount > 0 && this.#clock.monotonicMs() < deadlineMs
    ) {
      await sleep(this.#clock, DRAIN_POLL_INTERVAL_MS);
    }
    this.#logger.log("info", "drain-ended", { active: this.#core.activeCount });
    this.#membership.announceStopped();
    // Callers whose streams are closed here can resume them on another host by
    // their generation IDs.
    if (this.#core.activeCount > 0) {
      this.#callerServer.server.closeAllConnections();
    }
    await this.#close();
  }

  async #close(): Promise<void> {
    this.#callerServer.server.closeIdleConnections();
    await Promise.all([
      this.#callerServer.close(),
      this.#operatorServer.close(),
    ]);
    this.#disposables.dispose();
  }
}

async function listenOn(
  server: FastifyInstance,
  address: Address,
): Promise<void> {
  const { ip, port } = splitAddress(address);
  await server.listen({ host: ip, port });
}

function listeningAddress(server: FastifyInstance): Address {
  const { address, port } = server.server.address() as AddressInfo;
  return asId<Address>(`${address}:${port}`);
}
