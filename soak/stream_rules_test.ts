import { isWholeCall } from "./answer_shapes.ts";
import { findStreamViolation, type ReceivedStream } from "./stream_rules.ts";

const EVENT_COUNT = 10;

function events(
  first: number,
  last: number,
  run = "a-1",
  request = "q-1",
  total = EVENT_COUNT,
): string {
  let text = "";
  for (let event = first; event <= last; event++) {
    const data = `piece ${event} of ${total} by ${request}@${run}`;
    text += `id: ${event}\ndata: ${data}\n\n`;
  }
  return text;
}

function check(
  text: string,
  options: Partial<ReceivedStream> = {},
): string | undefined {
  return findStreamViolation({
    id: "q-1",
    text,
    looksComplete: true,
    afterEvent: 0,
    eventCount: EVENT_COUNT,
    isResumable: false,
    ...options,
  });
}

describe("the rules of streams", () => {
  it("allow a whole stream, a rest, and a broken one", () => {
    expect(check(events(1, 10))).toBeUndefined();
    expect(check(events(4, 10), { afterEvent: 3 })).toBeUndefined();
    expect(check("", { afterEvent: 10 })).toBeUndefined();
    const broken = { looksComplete: false };
    expect(check(events(1, 7), broken)).toBeUndefined();
    expect(check(`${events(1, 7)}id: 8\nda`, broken)).toBeUndefined();
    expect(check("", broken)).toBeUndefined();
  });

  it("allow another run to go on where streams are resumable", () => {
    const joined = events(1, 4) + events(5, 10, "b-1");
    expect(check(joined, { isResumable: true })).toBeUndefined();
    expect(check(joined)).toMatch(/^order: .*a-1,b-1/);
  });

  it.each([
    ["a gap", events(1, 4) + events(6, 10)],
    ["a repeat", events(1, 4) + events(4, 10)],
    ["events that go back", events(1, 4) + events(2, 10)],
    ["a first event that is not due", events(2, 10)],
    ["runs in turns", events(1, 2) + events(3, 4, "b-1") + events(5, 10)],
    ["a run of another number of events", events(1, 10, "a-1", "q-1", 11)],
    ["an event of another form", `${events(1, 4)}data: x\n\n${events(5, 10)}`],
    ["more events than there are", events(1, 11)],
  ])("forbid %s, also in a broken answer", (_what, text) => {
    const isResumable = true;
    expect(check(text, { isResumable })).toMatch(/^order: /);
    expect(check(text, { isResumable, looksComplete: false })).toMatch(
      /^order: /,
    );
  });

  it("forbid an answer that looks complete too early", () => {
    expect(check(events(1, 9))).toMatch(/after event 9 of 10/);
    expect(check("")).toMatch(/after event 0 of 10/);
    expect(check(`${events(1, 9)}id: 10\n`)).toMatch(/inside event 10/);
    expect(check(`${events(1, 10)}id: 11\n`)).toMatch(/inside event 11/);
  });

  it("forbid the events of another request", () => {
    expect(check(events(1, 10, "a-1", "q-2"), { looksComplete: false }))
      .toMatch(/^mixed: /);
  });
});

describe("the answers to calls", () => {
  const filler = "x".repeat(2_000);

  it.each([
    ["app-1:q-1", true],
    [`app-1:${filler}:q-1`, true],
    [`app-1:${filler}`, false],
    [`app-1:${filler.slice(1_000)}`, false],
    [`app-1:${filler.slice(1_000)}:q-1`, false],
    [`app-1:${filler.slice(1_000)}app-2:${filler}:q-1`, false],
    [`app-1:${filler}:q-2`, false],
    [`app-1:${filler}:q-1:q-1`, false],
    ["app-1:", false],
    ["", false],
  ])("are whole or not: %s", (text, isWhole) => {
    expect(isWholeCall(text, "q-1")).toBe(isWhole);
  });
});
