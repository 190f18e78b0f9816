import { readFileSync } from "node:fs";

const REASON_TYPE = /export type FailureReason =([^;]+);/;

describe("docs/CALLERS.md", () => {
  it("explains every failure reason", () => {
    const page = readFileSync("docs/CALLERS.md", "utf8");
    const source = readFileSync(
      "src/services/outcomes/common/failure.ts",
      "utf8",
    );
    const reasons = (REASON_TYPE.exec(source)?.[1] ?? "").match(/[a-z-]{4,}/g);
    expect(reasons?.length).toBeGreaterThan(10);
    expect(reasons?.filter((reason) => !page.includes(`\`${reason}\``)))
      .toEqual([]);
  });
});
