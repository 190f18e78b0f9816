/** Runs a script in a process that unexpected errors do not end. */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";

const REPOSITORY = join(__dirname, "../..");

/**
 * @param source - Script, an ES module in the folder of the repository.
 * @returns What the process wrote until it ended.
 */
export async function runScript(source: string): Promise<string> {
  const child = spawn(
    process.execPath,
    ["--import", "tsx", "--input-type=module", "--eval", source],
    { cwd: REPOSITORY, stdio: ["ignore", "pipe", "inherit"] },
  );
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => {
    output += chunk.toString();
  });
  await once(child, "close");
  return output.trim();
}
