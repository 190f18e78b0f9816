import type { EndpointId } from "../../../../base/common/ids.ts";
import { leftOf, rightOf } from "../../../../base/common/result.ts";
import { LIMIT_CHANNEL, type LimitMessage } from "./limit_messages.ts";

const RECORD = {
  endpoint: "app-1" as EndpointId,
  bornMs: 1,
  requestsPerS: 10,
  lastRequestsPerS: 10,
  revision: 0,
};
const ASKED: LimitMessage & { kind: "asked" } = {
  kind: "asked",
  number: 7,
  record: RECORD,
  maxWaitMs: 250,
  hops: 1,
};
/** Question as daemons send and read it that know of no cold endpoints. */
const OLDER_FORM = ["asked", 7, ["app-1", 1, 10, 10, 0], 250, 1];

function encode(message: LimitMessage): readonly unknown[] {
  return LIMIT_CHANNEL.encode!(message) as readonly unknown[];
}

// A daemon that cannot read a message closes the link.
describe("questions for rights", () => {
  it("begin with the values that earlier versions read", () => {
    const encoded = encode({ ...ASKED, coldPerS: 10 });
    expect(encoded.slice(0, OLDER_FORM.length)).toEqual(OLDER_FORM);
  });

  it("are those of earlier versions where the endpoint is not cold", () => {
    expect(encode(ASKED)).toEqual(OLDER_FORM);
  });

  it("of earlier versions are read", () => {
    expect(rightOf(LIMIT_CHANNEL.decode(OLDER_FORM))).toEqual(ASKED);
  });

  it("carry the rate of a cold endpoint", () => {
    const message = { ...ASKED, coldPerS: 12.5 };
    const decoded = LIMIT_CHANNEL.decode(encode(message));
    expect(rightOf(decoded)).toEqual(message);
  });

  // Without rights, a rate of 0 would never let a request pass.
  it.each([0, -1, "10", null, Infinity])("ignore a rate of %p", (rate) => {
    const decoded = LIMIT_CHANNEL.decode([...OLDER_FORM, rate]);
    expect(rightOf(decoded)).toEqual(ASKED);
  });

  it("are refused without a record", () => {
    const decoded = LIMIT_CHANNEL.decode(["asked", 7, null, 250, 1, 10]);
    expect(leftOf(decoded)).toBeDefined();
  });
});
