/**
 * Finds out which parts of prompts crash endpoints, and refuses the requests
 * that hold them. A part is sound once an endpoint has written an answer on it
 * and lived.
 */

import type { Clock } from "../../../../base/common/clock.ts";
import {
  type Hasher,
  rendezvousOrder,
} from "../../../../base/common/hasher.ts";
import type { HostId, ServiceId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../../../../base/common/lifecycle.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type { PeerOverlay } from "../../../../services/peers/common/peer_overlay.ts";
import type { CrashReport } from "../../../quarantine/common/endpoint_crash.ts";
import type {
  PartTransition,
  PromptPartTable,
  QuarantinedParts,
} from "../../../quarantine/common/prompt_part_table.ts";
import { softwareVersionOf } from "../endpoints/endpoint_announcement.ts";
import type {
  EndpointRegistry,
  RegisteredEndpoint,
} from "../endpoints/endpoint_registry.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";

/** Dependencies of a {@link PromptPartMonitor}. */
export interface PromptPartMonitorServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly hasher: Hasher;
  readonly host: HostId;
  readonly overlay: Pick<PeerOverlay, "isHub" | "linkedHubs">;
  readonly registry: EndpointRegistry;
  readonly parts: PromptPartTable;
}

/** Follows the answer of one run. */
export interface MonitoredPrompt {
  /** The endpoint has begun a successful answer. */
  onAnswered(): void;
  /** A part of the answer has arrived. */
  onData(): void;
  /** The answer is complete. */
  onCompleted(): void;
  /** The connection has ended now. */
  onLost(): void;
  /** Whether the endpoint has written on all parts and lived. */
  readonly isSound: boolean;
}

/** Reason why a request is not sent because of its prompt. */
export type PromptRefusal =
  | { readonly kind: "quarantined"; readonly quarantine: QuarantinedParts }
  /** Another request is probing the part. */
  | { readonly kind: "probation"; readonly part: string };

/** Request that probes a part on probation. */
export interface PromptProbe extends Disposable {
  readonly part: string;
}

/** Time for which an endpoint must live after the first part of its answer. */
const SOUND_AFTER_MS = 100;

/** Monitors the parts of prompts on one daemon. */
export class PromptPartMonitor implements Disposable {
  readonly #services: PromptPartMonitorServices;
  readonly #disposables = new DisposableStore();
  /** Parts on probation that a request of this daemon holds. */
  readonly #probes = new Set<string>();

  /** @param services - Dependencies of the monitor. */
  constructor(services: PromptPartMonitorServices) {
    this.#services = services;
    this.#disposables.add(
      services.parts.onDidTransition((transition) => this.#log(transition)),
    );
  }

  /** @returns The parts that this daemon refuses. */
  list(): readonly QuarantinedParts[] {
    return this.#services.parts.listQuarantined();
  }

  /**
   * Decides whether a request may be sent to the endpoints of a service.
   *
   * @param service - The service.
   * @param parts - Parts of the prompt that others may share.
   * @param probe - The probe that the request holds, if any.
   * @returns The reason to refuse it, or `undefined` if it may be sent.
   */
  refusalOf(
    service: ServiceId,
    parts: readonly string[],
    probe: PromptProbe | undefined,
  ): PromptRefusal | undefined {
    if (parts.length === 0) return undefined;
    const table = this.#services.parts;
    const verdict = table.verdictOn(service, parts, this.#versionsOf(service));
    switch (verdict.kind) {
      case "allowed":
        return undefined;
      case "quarantined":
        return verdict;
      case "probation":
        return probe?.part === verdict.part ? undefined : verdict;
    }
  }

  /**
   * Starts the probe of a part on probation. One host decides for each part, so
   * that no two requests probe it at the same time.
   *
   * @returns The probe, or `undefined` if another request or host has to.
   */
  tryProbe(service: ServiceId, part: string): PromptProbe | undefined {
    const { hasher, host, logger, overlay } = this.#services;
    const key = `${service} ${part}`;
    if (!overlay.isHub || this.#probes.has(key)) return undefined;
    const hubs = [host, ...overlay.linkedHubs()];
    if (rendezvousOrder(hasher, key, hubs)[0] !== host) return undefined;
    this.#probes.add(key);
    logger.log("info", "prompt-part-probed", { service, part });
    return { part, ...toDisposable(() => void this.#probes.delete(key)) };
  }

  /** Follows the answer to a request. */
  watch(
    parts: readonly string[],
    { announcement }: RegisteredEndpoint,
  ): MonitoredPrompt {
    const { clock, parts: table } = this.#services;
    const { service } = announcement;
    const version = softwareVersionOf(announcement);
    let isAnswered = false;
    let isSound = parts.length === 0;
    let firstDataMs: number | undefined;
    const onSound = (): void => {
      if (!isAnswered || isSound) return;
      isSound = true;
      table.recordSound(service, version, parts);
    };
    const onAlive = (): void => {
      if (firstDataMs === undefined) return;
      if (clock.monotonicMs() - firstDataMs >= SOUND_AFTER_MS) onSound();
    };
    return {
      get isSound() {
        return isSound;
      },
      onAnswered: () => {
        isAnswered = true;
      },
      onData: () => {
        if (isSound) return;
        firstDataMs ??= clock.monotonicMs();
        onAlive();
      },
      onCompleted: onSound,
      onLost: onAlive,
    };
  }

  /**
   * Records the crash of an endpoint for the parts of a request that had no
   * answer.
   */
  recordCrash(
    { announcement }: RegisteredEndpoint,
    parts: readonly string[],
    crash: CrashReport,
  ): void {
    const version = softwareVersionOf(announcement);
    this.#services.parts.recordCrash(announcement.service, parts, {
      ...crash,
      version,
    });
  }

  /** A process answered after a suspected crash. */
  refute(endpoint: string): void {
    this.#services.parts.refute(endpoint);
  }

  /** Another process has taken the place of an endpoint's. */
  confirm(endpoint: string, sinceMs: number): void {
    this.#services.parts.confirm(endpoint, sinceMs);
  }

  /** Stops logging. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #versionsOf(service: ServiceId): ReadonlySet<string> {
    const { registry } = this.#services;
    return new Set(
      registry.usable(service).map(({ announcement }) =>
        softwareVersionOf(announcement)
      ),
    );
  }

  #log({ kind, parts, service }: PartTransition): void {
    const { logger, metrics, parts: table } = this.#services;
    const fields = { service, parts: parts.join(" ") };
    switch (kind) {
      case "quarantined": {
        metrics.count("prompt_parts_quarantined");
        const crashes = parts.flatMap((part) =>
          table.get(service, part)?.crashes ?? []
        );
        logger.log("warn", "prompt-part-quarantined", {
          ...fields,
          endpoints: [...new Set(crashes.map(({ endpoint }) => endpoint))]
            .join(" "),
        });
        return;
      }
      case "released":
        logger.log("info", "prompt-part-released", fields);
    }
  }
}
