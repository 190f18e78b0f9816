/**
 * Entry point of `npm run demo`, which runs a complete deployment on loopback
 * in one process, injects faults and checks the guarantees.
 */

import { runDemo } from "./demo.ts";

runDemo((line) => process.stdout.write(`${line}\n`)).then(
  (failed) => {
    process.stdout.write(
      failed === 0 ? "all checks passed\n" : `${failed} checks failed\n`,
    );
    process.exit(failed === 0 ? 0 : 1);
  },
  (thrown: unknown) => {
    process.stderr.write(`${String(thrown)}\n`);
    process.exit(1);
  },
);
