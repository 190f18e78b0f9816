/**
 * Entry point of `npm run demo`, which runs a complete deployment on loopback
 * in one process, injects faults and checks the guarantees.
 */

import { handleLostOutput } from "../../src/services/log/node/result_output.ts";
import { runDemo } from "./demo.ts";

handleLostOutput("go-on");
runDemo((line) => process.stdout.write(`${line}\n`)).then(
  (failed) => {
    process.stdout.write(
      failed === 0 ? "all checks passed\n" : `${failed} checks failed\n`,
    );
    if (failed > 0) process.exitCode = 1;
    // A failed write is reported before.
    setImmediate(() => process.exit());
  },
  (thrown: unknown) => {
    process.stderr.write(`${String(thrown)}\n`);
    process.exit(1);
  },
);
