/** Where the endpoints of a soak listen, and which daemons are cut from them. */

import type { Address } from "../src/base/common/ids.ts";
import { splitAddress } from "../src/services/settings/common/shared_schemas.ts";
import type { ReplicaServer } from "../platform/standins/replica_server.ts";
import { FaultProxy, type SourceCut } from "../standins/network/fault_proxy.ts";
import type { DaemonProcess } from "./daemon_process.ts";

/** Where a process of an endpoint listens. */
export interface EndpointPlace {
  /** Address of the proxy. */
  readonly address: Address;
  /** Port at which the process listens, behind the proxy. */
  readonly port: number;
  readonly proxy: FaultProxy;
}

/** Gives processes of endpoints new places, or those of earlier ones. */
export class EndpointPlaces {
  readonly #daemons: readonly DaemonProcess[];
  /** How daemons are cut from all endpoints, also from new ones. */
  readonly #cuts = new Map<DaemonProcess, SourceCut>();
  #reusedCount = 0;

  /** @param daemons - Daemons that may be cut from endpoints. */
  constructor(daemons: readonly DaemonProcess[]) {
    this.#daemons = daemons;
  }

  /** Number of places that were taken after an earlier process had ended. */
  get reusedCount(): number {
    return this.#reusedCount;
  }

  /** Cuts a daemon from endpoints and from later ones, or ends its cut. */
  cut(
    daemon: DaemonProcess,
    cut: SourceCut | undefined,
    endpoints: readonly EndpointPlace[],
  ): void {
    if (cut) this.#cuts.set(daemon, cut);
    else this.#cuts.delete(daemon);
    for (const { proxy } of endpoints) proxy.cutSource(daemon.options.ip, cut);
  }

  /**
   * Lets a replica listen.
   *
   * @param replica - The replica.
   * @param earlier - Place of a process that has ended, which it takes if the
   * port is still free.
   * @returns Its place.
   */
  async listen(
    replica: ReplicaServer,
    earlier?: EndpointPlace,
  ): Promise<EndpointPlace> {
    if (earlier && await this.#takeOver(replica, earlier)) {
      const { address, port, proxy } = earlier;
      return { address, port, proxy };
    }
    const replicaAddress = await replica.listen();
    const proxy = new FaultProxy(replicaAddress);
    for (const [daemon, cut] of this.#cuts) {
      proxy.cutSource(daemon.options.ip, cut);
    }
    const { port } = splitAddress(replicaAddress);
    return { address: await proxy.listen(), port, proxy };
  }

  async #takeOver(
    replica: ReplicaServer,
    { port, proxy }: EndpointPlace,
  ): Promise<boolean> {
    try {
      await replica.listen(port);
    } catch {
      // A connection of this machine uses the port meanwhile.
      proxy.close();
      return false;
    }
    this.#reusedCount++;
    for (const daemon of this.#daemons) {
      proxy.cutSource(daemon.options.ip, this.#cuts.get(daemon));
    }
    return true;
  }
}
