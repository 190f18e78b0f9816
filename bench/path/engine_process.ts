/**
 * Main module of a child process that runs a simulated engine with a fixed step
 * time in milliseconds: `engine_process.ts STEP_MS`.
 */

import type { AddressInfo } from "node:net";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { SimulatedEngine } from "../../standins/engine/simulated_engine.ts";
import { createEngineServer } from "../../standins/engine/engine_server.ts";
import { serveParentCommands } from "./bench_child.ts";

const model = new SimulatedEngine(new SystemClock(), {
  baseStepMs: Number(process.argv[2]),
  stepMsPerSequence: 0,
  prefillTokensPerMs: Infinity,
  maxRunning: Infinity,
  memoryTokens: Infinity,
  reportsMemoryTotal: false,
});
const server = createEngineServer(model);
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  serveParentCommands(
    `127.0.0.1:${port}`,
    (isStalled) => model.setStalled(isStalled),
  );
});
