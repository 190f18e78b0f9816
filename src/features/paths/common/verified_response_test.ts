import { flushPromises, ManualClock } from "../../../base/common/clock.ts";
import { setUnexpectedErrorHandler } from "../../../base/common/errors.ts";
import type { PassThroughFailure } from "../../../services/http/common/pass_through_client.ts";
import { VerifiedResponse } from "./verified_response.ts";

describe("VerifiedResponse", () => {
  it("fails when the check of its end does, so that nobody waits for it", async () => {
    const thrown: unknown[] = [];
    const handler = setUnexpectedErrorHandler((error) => thrown.push(error));
    const failures: PassThroughFailure[] = [];
    const response = new VerifiedResponse(
      new ManualClock(),
      "GET",
      {
        onHead: () => undefined,
        onEnd: () => undefined,
        onFailure: (failure) => failures.push(failure),
      },
      () => () => Promise.reject(new TypeError("odd")),
    );
    response.onHead(200, []);
    response.onEnd();
    await flushPromises();
    handler.dispose();
    expect(thrown).toEqual([new TypeError("odd")]);
    expect(failures).toEqual([{ kind: "broken", message: "odd" }]);
  });
});
