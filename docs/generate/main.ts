/** Entry point of `npm run docs:settings`, which writes `docs/SETTINGS.md`. */

import { writeFileSync } from "node:fs";
import { createSettingsPage } from "./settings_page.ts";

writeFileSync("docs/SETTINGS.md", createSettingsPage());
