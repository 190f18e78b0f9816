import { asId, type RequestId } from "../../src/base/common/ids.ts";
import {
  SimulatedDeployment,
  type SimulationOptions,
} from "../../standins/world/simulated_deployment.ts";
import { createCallRequest } from "../runner/call_request.ts";
import { CallRecord } from "../runner/caller_record.ts";
import { applyFault } from "../runner/fault_injection.ts";
import {
  type CallStep,
  type FaultStep,
  stepSchema,
} from "../runner/scenario_schema.ts";

const CLAIMING_HOST = "kirtipur-hall-host-1";
const OTHER_HOST = "lalitpur-hall-host-1";
const APPS = [
  "booking-app-kirtipur-hall-1",
  "booking-app-lalitpur-hall-1",
];
const FAULT_DURATION_MS = 20_000;
const RECOVERY_MS = 80_000;

/** Fault steps by name of the fault; `RECOVERY_STEPS` clears all of them. */
const FAULTS: Readonly<Record<string, readonly object[]>> = {
  "store down": [{ fault: "store-down" }],
  "store slow": [{ fault: "store-slow", delayMs: 900 }],
  "store answers lost": [{ fault: "store-lose-answers", count: 3 }],
  "store writes limited": [{ fault: "store-limit-writes", count: 1 }],
  "store link of the host cut": [{ fault: "cut-store", host: CLAIMING_HOST }],
  "host crashed": [{ fault: "crash-host", host: CLAIMING_HOST }],
  "host restarted": [{ fault: "restart-host", host: CLAIMING_HOST }],
  "host paused": [{ fault: "freeze-host", host: CLAIMING_HOST }],
  "other host paused": [{ fault: "freeze-host", host: OTHER_HOST }],
  "link between hosts cut": [
    { fault: "cut-hosts", from: CLAIMING_HOST, to: OTHER_HOST },
  ],
  "service down": APPS.map((app) => ({ fault: "app-down", app })),
  "service slow": APPS.map((app) => ({ fault: "app-slow", app, delayMs: 9e3 })),
  "service answers lost": APPS.map((app) => ({
    fault: "app-lose-answers",
    app,
    count: 1,
  })),
};
const RECOVERY_STEPS: readonly object[] = [
  { fault: "store-up" },
  { fault: "store-slow", delayMs: 0 },
  { fault: "store-lose-answers", count: 0 },
  { fault: "store-limit-writes", count: 1_000 },
  { fault: "heal-links" },
  { fault: "restart-host", host: CLAIMING_HOST },
  { fault: "thaw-host", host: OTHER_HOST },
  ...APPS.flatMap((app) => [
    { fault: "app-up", app },
    { fault: "app-slow", app, delayMs: 0 },
    { fault: "app-lose-answers", app, count: 0 },
  ]),
];

const WORLD: SimulationOptions = {
  zones: { "kirtipur-hall": { hosts: 2 }, "lalitpur-hall": { hosts: 1 } },
  services: {
    "booking-app": {
      kind: "app",
      replicas: { "kirtipur-hall": 1, "lalitpur-hall": 1 },
    },
  },
  workspaces: ["parents"],
  classes: { lookup: { priority: 7, maxWaitMs: 5_000 } },
};

function parseFault(fault: object): FaultStep {
  return stepSchema.parse({ do: "fault", ...fault }) as FaultStep;
}

/**
 * One booking with one idempotency key, sent to two hosts and sent again after
 * recovery.
 */
class Booking {
  readonly #world: SimulatedDeployment;
  readonly #records: CallRecord[] = [];

  constructor(world: SimulatedDeployment) {
    this.#world = world;
  }

  get outcomes(): string[] {
    return this.#records.map(({ outcome }) => outcome);
  }

  get runCount(): number {
    return APPS.reduce(
      (sum, app) => sum + this.#world.app(app).runCountOf("trial"),
      0,
    );
  }

  send(host: string): void {
    const { core, clock } = this.#world.host(host);
    if (clock.isKilled) return;
    const record = new CallRecord();
    const step = stepSchema.parse({
      do: "call",
      as: "booking",
      host,
      workspace: "parents",
      service: "booking-app",
      class: "lookup",
      body: "trial",
      key: "key",
    }) as CallStep;
    const id = asId<RequestId>(`r${this.#records.push(record)}`);
    void core.calls.run(createCallRequest(core, id, step)).then((result) => {
      if (!clock.isKilled) record.result = result;
    });
  }
}

/**
 * Runs a booking under faults.
 *
 * @param faults - Fault steps without their `do` key.
 * @param leadMs - Time in milliseconds between the first call and the faults.
 * @returns The booking after recovery.
 */
async function runBooking(
  faults: readonly object[],
  leadMs: number,
): Promise<Booking> {
  const world = await SimulatedDeployment.create(WORLD);
  const booking = new Booking(world);
  booking.send(CLAIMING_HOST);
  await world.clock.advanceAsync(leadMs);
  for (const fault of faults) applyFault(world, parseFault(fault));
  booking.send(OTHER_HOST);
  await world.clock.advanceAsync(FAULT_DURATION_MS);
  for (const fault of RECOVERY_STEPS) applyFault(world, parseFault(fault));
  world.host(CLAIMING_HOST).store.isDisconnected = false;
  await world.clock.advanceAsync(RECOVERY_MS);
  booking.send(OTHER_HOST);
  await world.clock.advanceAsync(FAULT_DURATION_MS);
  return booking;
}

const faultNames = Object.keys(FAULTS);
const faultPairs = faultNames.flatMap((first, index) =>
  faultNames.slice(index).map((second) =>
    first === second ? [first] : [first, second]
  )
);

describe("a booking with an idempotency key", () => {
  it.each(faultPairs.map((pair) => [pair.join(" and "), pair] as const))(
    "runs at most once under the fault %s",
    async (_name, pair) => {
      const faults = pair.flatMap((name) => FAULTS[name] ?? []);
      for (const leadMs of [0, 1, 2, 4, 6]) {
        const booking = await runBooking(faults, leadMs);
        const { outcomes, runCount } = booking;
        expect(runCount).toBeLessThanOrEqual(1);
        expect(["completed", "unknown"]).toContain(outcomes.at(-1));
        if (outcomes.includes("completed")) expect(runCount).toBe(1);
      }
    },
  );
});
