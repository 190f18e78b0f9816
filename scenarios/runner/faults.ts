/** Switches the faults of a world. */

import { asId, type HostId } from "../../src/base/common/ids.ts";
import { assertNever } from "../../src/base/common/errors.ts";
import type { SimulatedDeployment } from "../../standins/world/simulated_deployment.ts";
import type { FaultStep } from "./scenario_schema.ts";

/**
 * @param world - The world.
 * @param step - The fault.
 */
export function applyFault(world: SimulatedDeployment, step: FaultStep): void {
  switch (step.fault) {
    case "crash-engine":
      return world.engine(step.engine).crash();
    case "restart-engine":
      return world.engine(step.engine).restart();
    case "reclaim-engine":
      return world.engine(step.engine).reclaim(step.noticeMs);
    case "stall-engine":
      return world.engine(step.engine).setStalled(true);
    case "unstall-engine":
      return world.engine(step.engine).setStalled(false);
    case "silence-engine":
      return world.engine(step.engine).stallOpenConnections();
    case "crash-host":
      return world.crashHost(step.host);
    case "restart-host":
      return world.restartHost(step.host);
    case "drain-host":
      return world.host(step.host).core.startDraining();
    case "freeze-host":
      return world.host(step.host).clock.freeze();
    case "thaw-host":
      return world.host(step.host).clock.thaw();
    case "cut-store":
      world.host(step.host).store.isDisconnected = true;
      return;
    case "heal-store":
      world.host(step.host).store.isDisconnected = false;
      return;
    case "slow-engine-links":
      world.host(step.host).engines.callDelayMs = step.delayMs;
      return;
    case "store-down":
      world.store.faults.isDown = true;
      return;
    case "store-up":
      world.store.faults.isDown = false;
      return;
    case "store-slow":
      world.store.faults.delayMs = step.delayMs;
      return;
    case "store-lose-answers":
      world.store.faults.loseWriteAnswers = step.count;
      return;
    case "store-limit-writes":
      world.store.faults.maxWritesPerSecond = step.count;
      return;
    case "store-compact":
      return world.store.compact();
    case "store-snapshot":
      return world.store.takeSnapshot();
    case "store-fail-over":
      return world.store.failOver();
    case "cut-zone":
      return setZoneCut(world, step.zone, true);
    case "heal-zone":
      return setZoneCut(world, step.zone, false);
    case "list-endpoint":
      world.hostList.lagMs = step.delayMs;
      return world.listEndpoint(step.endpoint, step.state);
    case "app-down":
      world.app(step.app).faults.isDown = true;
      return;
    case "app-up":
      world.app(step.app).faults.isDown = false;
      return;
    case "app-slow":
      world.app(step.app).faults.delayMs = step.delayMs;
      return;
    case "app-lose-answers":
      world.app(step.app).faults.loseAnswers = step.count;
      return;
    case "cut-hosts":
      return world.network.cut(asId<HostId>(step.from), asId<HostId>(step.to));
    case "cut-engine":
      return cutEngine(world, step.from, step.to);
    case "heal-links":
      return healLinks(world);
    default:
      assertNever(step);
  }
}

function cutEngine(
  world: SimulatedDeployment,
  host: string,
  engine: string,
): void {
  const endpoint = world.endpoints.find(({ id }) => id === engine);
  if (!endpoint) throw new Error(`there is no endpoint ${engine}`);
  world.host(host).engines.cutAddresses.add(endpoint.address);
}

function healLinks(world: SimulatedDeployment): void {
  world.network.heal();
  for (const host of world.hosts.values()) host.engines.cutAddresses.clear();
}

/** Cuts a zone off from the other zones and from the store, or heals that. */
function setZoneCut(
  world: SimulatedDeployment,
  zone: string,
  isCut: boolean,
): void {
  const hosts = [...world.hosts.values()];
  const inside = hosts.filter((host) => host.zone === zone);
  const outside = hosts.filter((host) => host.zone !== zone);
  if (!isCut) world.network.heal();
  for (const near of inside) {
    near.store.isDisconnected = isCut;
    if (!isCut) continue;
    for (const far of outside) {
      world.network.cut(near.host, far.host);
      world.network.cut(far.host, near.host);
    }
  }
}
