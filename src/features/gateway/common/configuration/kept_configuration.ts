/**
 * Shares the configuration in force with hosts that cannot read it. A store
 * that was restored from a copy holds an earlier version, with keys that were
 * taken away since, until the operator writes again; a host that starts
 * meanwhile gets the later version from its peers.
 */

import type { Either } from "../../../../base/common/result.ts";
import { Left, Right } from "../../../../base/common/result.ts";
import type { HostId } from "../../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
} from "../../../../base/common/lifecycle.ts";
import type { Logger } from "../../../../services/log/common/logger.ts";
import type {
  PeerChannel,
  PeerChannelSpec,
  PeerLinks,
} from "../../../../services/peers/common/peer_links.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import type { GatewayConfiguration } from "./gateway_configuration.ts";

/** Message with the document of a configuration. */
const KEPT_CHANNEL: PeerChannelSpec<Uint8Array> = {
  name: "configuration.v1",
  decode: (body) =>
    body instanceof Uint8Array
      ? Right(body)
      : Left("the configuration is not a document"),
};

/** Dependencies of {@link KeptConfiguration}. */
export interface KeptConfigurationServices {
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly state: ConfigurationState;
  decodeConfiguration(value: Uint8Array): Either<string, GatewayConfiguration>;
}

/** Document of the latest version that this daemon knows. */
export class KeptConfiguration implements Disposable {
  readonly #services: KeptConfigurationServices;
  readonly #channel: PeerChannel<Uint8Array>;
  readonly #disposables = new DisposableStore();
  #latest:
    | { readonly version: number; readonly document: Uint8Array }
    | undefined;
  /** Version that the store holds, as far as this daemon knows. */
  #storedVersion: number | undefined;

  /** @param services - Dependencies of the exchange. */
  constructor(services: KeptConfigurationServices) {
    this.#services = services;
    const { links } = services;
    this.#channel = this.#disposables.add(links.openChannel(KEPT_CHANNEL));
    this.#disposables.add(
      this.#channel.onDidReceive(({ from, body }) => this.#adopt(from, body)),
    );
    this.#disposables.add(links.onDidChangeLink(({ host, isUp }) => {
      if (isUp && this.#isAhead) {
        this.#channel.send(host, this.#latest!.document);
      }
    }));
  }

  /** Records the version that the store holds. */
  recordStored(version: number, document: Uint8Array): void {
    this.#storedVersion = version;
    if (version >= (this.#latest?.version ?? -Infinity)) {
      this.#latest = { version, document };
    } else if (this.#isAhead) this.#channel.broadcast(this.#latest!.document);
  }

  /** Stops the exchange. */
  dispose(): void {
    this.#disposables.dispose();
  }

  /** Whether the store holds an earlier version than this daemon. */
  get #isAhead(): boolean {
    if (!this.#latest || this.#storedVersion === undefined) return false;
    return this.#latest.version > this.#storedVersion;
  }

  #adopt(from: HostId, document: Uint8Array): void {
    const { decodeConfiguration, logger, state } = this.#services;
    decodeConfiguration(document).caseOf({
      Left: (detail) =>
        logger.log("error", "configuration-unreadable", { peer: from, detail }),
      Right: (configuration) => {
        const { version } = configuration;
        if (version <= (this.#latest?.version ?? -Infinity)) return;
        this.#latest = { version, document };
        state.adopt(configuration);
        this.#channel.broadcast(document);
      },
    });
  }
}
