import { ManualClock } from "../../../../base/common/clock.ts";
import type { ServiceId } from "../../../../base/common/ids.ts";
import { UrgentCapacity } from "./urgent_capacity.ts";

const SERVICE = "engine" as ServiceId;
const CHECK = {
  service: SERVICE,
  priority: 0,
  promptTokens: 2_200,
  memoryTokens: 2_210,
};
const DRAFT = {
  service: SERVICE,
  priority: 1,
  promptTokens: 3_000,
  memoryTokens: 3_520,
};

describe("UrgentCapacity", () => {
  let clock: ManualClock;
  let capacity: UrgentCapacity;

  beforeEach(() => {
    clock = new ManualClock();
    capacity = new UrgentCapacity(clock);
    clock.advance(20_000);
  });

  it("keeps one mean prompt of the urgent kind free of long generations", () => {
    capacity.recordArrival({ ...CHECK, promptTokens: 2_000 });
    capacity.recordArrival({ ...CHECK, promptTokens: 3_000 });
    capacity.recordArrival(DRAFT);
    capacity.recordShortage(SERVICE);
    const reserve = { tokens: 2_500, forPriority: 0 };
    expect(capacity.reserveAgainst(DRAFT)).toEqual(reserve);
    expect(capacity.reserveAgainst(CHECK)).toBeUndefined();
  });

  it("keeps nothing free without a shortage or with one priority alone", () => {
    capacity.recordArrival(DRAFT);
    capacity.recordShortage(SERVICE);
    expect(capacity.reserveAgainst({ ...DRAFT, priority: 2 })).toBeUndefined();
    capacity.recordArrival(CHECK);
    expect(capacity.reserveAgainst(DRAFT)).toBeDefined();
    clock.advance(3_000);
    expect(capacity.reserveAgainst(DRAFT)).toBeUndefined();
  });

  it("forgets an urgent kind that has not arrived for 10 s", () => {
    capacity.recordArrival(CHECK);
    clock.advance(11_000);
    capacity.recordArrival(DRAFT);
    capacity.recordArrival({ ...DRAFT, priority: 2 });
    capacity.recordShortage(SERVICE);
    expect(capacity.reserveOf(SERVICE)?.forPriority).toBe(1);
  });

  it("lets a short generation use what is kept free for a longer one", () => {
    capacity.recordArrival(DRAFT);
    const shortCheck = { ...CHECK, priority: 2 };
    capacity.recordArrival(shortCheck);
    capacity.recordShortage(SERVICE);
    expect(capacity.reserveAgainst(shortCheck)).toBeUndefined();
  });

  it("finds the priority that strict order would leave without any engine", () => {
    for (let number = 0; number < 10; number++) {
      capacity.recordArrival(CHECK);
      capacity.recordPlacement(SERVICE, 0);
      capacity.recordArrival(DRAFT);
    }
    expect(capacity.isStarved(SERVICE, 1)).toBe(true);
    expect(capacity.isStarved(SERVICE, 0)).toBe(false);
  });
});
