import { spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";

const REPOSITORY = join(__dirname, "../..");

/**
 * Runs a script that sets up the log first, and then has time for its errors.
 *
 * @returns What the process wrote, and its exit code.
 */
async function run(
  script: string,
): Promise<{ readonly output: string; readonly code: unknown }> {
  const source = `
    import { logUnexpectedErrors } from "./src/services/log/node/unexpected_error_log.ts";
    logUnexpectedErrors({
      log: (...line) => console.log(JSON.stringify(line)),
    });
    setTimeout(() => console.log("went on"), 200);
    ${script}`;
  const child = spawn(
    process.execPath,
    ["--import", "tsx", "--input-type=module", "--eval", source],
    { cwd: REPOSITORY, stdio: ["ignore", "pipe", "inherit"] },
  );
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => {
    output += chunk.toString();
  });
  const [code] = await once(child, "close");
  return { output, code };
}

describe("logUnexpectedErrors", () => {
  // Guards against the end of a process, and of all that it serves, by an error
  // that concerns one party.
  it.each([
    ["in a timer", "setTimeout(() => { throw new Error('odd') }, 1);"],
    ["in what nothing awaits", "void Promise.reject(new Error('odd'));"],
    ["that is no Error", "void Promise.reject('odd');"],
  ])("logs an error %s and lets the process go on", async (_where, script) => {
    const { code, output } = await run(script);
    const [line, last] = output.trim().split("\n");
    const [level, event, fields] = JSON.parse(line!) as unknown[];
    expect([level, event]).toEqual(["error", "unexpected-error"]);
    expect(fields).toMatchObject({ detail: "odd" });
    expect(last).toBe("went on");
    expect(code).toBe(0);
  });
});
