import { PLACEMENT_CHANNEL } from "./placement_message.ts";

describe("placement messages", () => {
  it("of an earlier build are read, with all that they lack unknown", () => {
    const granted = {
      kind: "granted",
      number: 1,
      endpoint: "engine-1",
      cost: 0.5,
      candidates: 2,
      recentWaitMs: 0,
    };
    const rejected = {
      kind: "rejected",
      number: 1,
      reason: "no engine had room in time",
      recentWaitMs: 10,
    };
    for (const message of [granted, rejected]) {
      expect(PLACEMENT_CHANNEL.decode(message).extract()).toEqual(message);
    }
  });

  it("of a later build are read without the fields that it adds", () => {
    const withdrawn = { kind: "withdrawn", number: 1 };
    const decoded = PLACEMENT_CHANNEL.decode({ ...withdrawn, later: true });
    expect(decoded.extract()).toEqual(withdrawn);
  });
});
