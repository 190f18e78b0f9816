import { readFileSync } from "node:fs";
import { createSettingsPage } from "./settings_page.ts";

describe("docs/SETTINGS.md", () => {
  it("is what `npm run docs:settings` writes", () => {
    const written = readFileSync("docs/SETTINGS.md", "utf8");
    expect(createSettingsPage()).toBe(written);
  });

  it("names settings of both files with their bounds", () => {
    const page = createSettingsPage();
    expect(page).toContain("| `limits.maxBodyBytes` | integer above 0 to ");
    expect(page).toContain("| `classes.NAME.priority` | integer 0 to 9 |");
    expect(page).toContain("`routes[] (kind call).prefix`");
  });
});
