import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const LOG_CALL = /\.log\(\s*"(?:info|warn|error)",\s*"([a-z-]+)"/g;

describe("docs/OPERATING.md", () => {
  it("explains every log event of the sources", () => {
    const page = readFileSync("docs/OPERATING.md", "utf8");
    const files = readdirSync("src", { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
    const events = files.flatMap((file) =>
      [...readFileSync(join("src", file), "utf8").matchAll(LOG_CALL)]
        .map(([, event]) => event!)
    );
    expect(events.length).toBeGreaterThan(5);
    const unexplained = events.filter((event) =>
      !page.includes(`\`${event}\``)
    );
    expect(unexplained).toEqual([]);
  });
});
