import { readFileSync } from "node:fs";
import { createSettingsPage } from "./settings_page.ts";

describe("docs/SETTINGS.md", () => {
  it("equals the output of `npm run docs:settings`", () => {
    const written = readFileSync("docs/SETTINGS.md", "utf8");
    expect(createSettingsPage()).toBe(written);
  });

  it("lists settings of both documents with their bounds", () => {
    const page = createSettingsPage();
    expect(page).toContain("| `limits.maxBodyBytes` | integer above 0 to ");
    expect(page).toContain("| `classes.NAME.priority` | integer 0 to 9 |");
    expect(page).toContain("`routes[] (kind call).prefix`");
  });
});
