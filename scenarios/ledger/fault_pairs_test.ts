import { asId, type RequestId } from "../../src/base/common/ids.ts";
import {
  SimulatedDeployment,
  type SimulationOptions,
} from "../../standins/world/simulated_deployment.ts";
import { toCallRequest } from "../runner/call_request.ts";
import { CallRecord } from "../runner/caller_record.ts";
import { applyFault } from "../runner/faults.ts";
import {
  type CallStep,
  type FaultStep,
  stepSchema,
} from "../runner/scenario_schema.ts";

const FIRST_HOST = "kirtipur-hall-host-1";
const OTHER_HOST = "lalitpur-hall-host-1";
const APPS = [
  "booking-app-kirtipur-hall-1",
  "booking-app-lalitpur-hall-1",
];
const FAULT_MS = 20_000;
const MENDED_MS = 80_000;

/** Faults by name, and what mends them; a call that fails after some ran. */
const FAULTS: Readonly<Record<string, readonly object[]>> = {
  "store down": [{ fault: "store-down" }],
  "store slow": [{ fault: "store-slow", delayMs: 900 }],
  "store answers lost": [{ fault: "store-lose-answers", count: 3 }],
  "store writes limited": [{ fault: "store-limit-writes", count: 1 }],
  "store link of the host cut": [{ fault: "cut-store", host: FIRST_HOST }],
  "host crashed": [{ fault: "crash-host", host: FIRST_HOST }],
  "host restarted": [{ fault: "restart-host", host: FIRST_HOST }],
  "host paused": [{ fault: "freeze-host", host: FIRST_HOST }],
  "other host paused": [{ fault: "freeze-host", host: OTHER_HOST }],
  "link between hosts cut": [
    { fault: "cut-hosts", from: FIRST_HOST, to: OTHER_HOST },
  ],
  "service down": APPS.map((app) => ({ fault: "app-down", app })),
  "service slow": APPS.map((app) => ({ fault: "app-slow", app, delayMs: 9e3 })),
  "service answers lost": APPS.map((app) => ({
    fault: "app-lose-answers",
    app,
    count: 1,
  })),
};
const MENDING: readonly object[] = [
  { fault: "store-up" },
  { fault: "store-slow", delayMs: 0 },
  { fault: "store-lose-answers", count: 0 },
  { fault: "store-limit-writes", count: 1_000 },
  { fault: "heal-links" },
  { fault: "restart-host", host: FIRST_HOST },
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

function toFault(fault: object): FaultStep {
  return stepSchema.parse({ do: "fault", ...fault }) as FaultStep;
}

/** One booking, asked for at two hosts and again when all is mended. */
class Booking {
  readonly #world: SimulatedDeployment;
  readonly #records: CallRecord[] = [];

  constructor(world: SimulatedDeployment) {
    this.#world = world;
  }

  get outcomes(): string[] {
    return this.#records.map(({ outcome }) => outcome);
  }

  get runs(): number {
    return APPS.reduce(
      (sum, app) => sum + this.#world.app(app).runCountOf("trial"),
      0,
    );
  }

  ask(host: string): void {
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
    void core.calls.run(toCallRequest(core, id, step)).then((result) => {
      if (!clock.isKilled) record.result = result;
    });
  }
}

/** @param leadMs - Time between the first call and the faults. */
async function book(
  faults: readonly object[],
  leadMs: number,
): Promise<Booking> {
  const world = await SimulatedDeployment.create(WORLD);
  const booking = new Booking(world);
  booking.ask(FIRST_HOST);
  await world.clock.advanceAsync(leadMs);
  for (const fault of faults) applyFault(world, toFault(fault));
  booking.ask(OTHER_HOST);
  await world.clock.advanceAsync(FAULT_MS);
  for (const fault of MENDING) applyFault(world, toFault(fault));
  world.host(FIRST_HOST).store.isDisconnected = false;
  await world.clock.advanceAsync(MENDED_MS);
  booking.ask(OTHER_HOST);
  await world.clock.advanceAsync(FAULT_MS);
  return booking;
}

const names = Object.keys(FAULTS);
const pairs = names.flatMap((first, index) =>
  names.slice(index).map((second) =>
    first === second ? [first] : [first, second]
  )
);

describe("a keyed booking", () => {
  it.each(pairs.map((pair) => [pair.join(" and "), pair] as const))(
    "runs at most once with %s",
    async (_name, pair) => {
      const faults = pair.flatMap((name) => FAULTS[name] ?? []);
      for (const leadMs of [0, 1, 2, 4, 6]) {
        const booking = await book(faults, leadMs);
        const { outcomes, runs } = booking;
        expect(runs).toBeLessThanOrEqual(1);
        expect(["completed", "unknown"]).toContain(outcomes.at(-1));
        if (outcomes.includes("completed")) expect(runs).toBe(1);
      }
    },
  );
});
