import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const LOG_CALL = /\.log\(\s*"(?:info|warn|error)",\s*"([a-z-]+)"/g;

/** Pages that together explain the log events of the sources. */
const PAGES = ["docs/OPERATING.md", "docs/OPERATIONS.md"];
const SOURCE_FOLDERS = ["src", "platform"];

function loggedEvents(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .flatMap((file) =>
      [...readFileSync(join(folder, file), "utf8").matchAll(LOG_CALL)]
        .map(([, event]) => event!)
    );
}

describe("the pages for operators", () => {
  it("explain every log event of the sources", () => {
    const pages = PAGES.map((page) => readFileSync(page, "utf8")).join("\n");
    const events = SOURCE_FOLDERS.flatMap((folder) => loggedEvents(folder));
    expect(events.length).toBeGreaterThan(5);
    const unexplained = events.filter((event) =>
      !pages.includes(`\`${event}\``)
    );
    expect(unexplained).toEqual([]);
  });
});
