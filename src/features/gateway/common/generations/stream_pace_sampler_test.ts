import { ManualClock } from "../../../../base/common/clock.ts";
import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneName,
} from "../../../../base/common/ids.ts";
import { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import { EndpointPaces } from "../load/endpoint_pace.ts";
import { LoadTable } from "../load/load_table.ts";
import { StreamPaceSampler } from "./stream_pace_sampler.ts";

const ENDPOINT = new RegisteredEndpoint({
  id: "llm-1" as EndpointId,
  service: "llm" as ServiceId,
  address: "10.0.0.1:80" as Address,
  zone: "zone-a" as ZoneName,
  slots: 24,
  bornMs: 1,
  isDraining: false,
  warmUpRemainingMs: 0,
}, 0);

describe("StreamPaceSampler", () => {
  let clock: ManualClock;
  let loadTable: LoadTable;
  let eventTimesMs: number[];
  let prefillTimes: [timeMs: number, tokens: number][];
  let sampler: StreamPaceSampler;

  beforeEach(() => {
    clock = new ManualClock();
    loadTable = new LoadTable(clock);
    eventTimesMs = [];
    prefillTimes = [];
    const paces = new EndpointPaces(clock, loadTable);
    jest.spyOn(paces, "recordEventTime").mockImplementation((_, timeMs) => {
      eventTimesMs.push(timeMs);
    });
    jest.spyOn(paces, "recordPrefillTime").mockImplementation(
      (_, timeMs, tokens) => {
        prefillTimes.push([timeMs, tokens]);
      },
    );
    sampler = new StreamPaceSampler({ loadTable, paces }, ENDPOINT);
  });

  function receive(count: number, gapMs: number): void {
    for (let event = 0; event < count; event++) {
      clock.advance(gapMs);
      sampler.recordEvent(clock.monotonicMs());
    }
  }

  it("takes one sample per eight gaps, to keep events cheap", () => {
    receive(25, 30);
    expect(eventTimesMs).toEqual([30, 30, 30]);
  });

  it("takes a sample of a slow endpoint sooner than after eight gaps", () => {
    receive(5, 180);
    expect(eventTimesMs).toEqual([180, 180]);
  });

  it("does not take gaps for slow in which a prompt is prefilled", () => {
    receive(5, 30);
    const claim = loadTable.claim(ENDPOINT.id, 3_000, 3_000);
    receive(3, 170);
    claim.markPrefilled();
    receive(5, 30);
    expect(eventTimesMs).toEqual([30]);
  });

  it("does not take gaps for slow in which the caller reads nothing", () => {
    receive(5, 30);
    sampler.interrupt();
    receive(1, 900);
    receive(4, 30);
    expect(eventTimesMs).toEqual([30]);
  });

  it("relates the first event to all prompts that were pending", () => {
    loadTable.claim(ENDPOINT.id, 3_000, 1_000);
    loadTable.claim(ENDPOINT.id, 3_000, 2_000);
    sampler.recordPromptSent(clock.monotonicMs());
    receive(2, 250);
    expect(prefillTimes).toEqual([[250, 3_000]]);
  });
});
