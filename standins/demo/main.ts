/** `npm run demo`: the whole path on loopback, with faults, in one process. */

import { runDemo } from "./demo.ts";

runDemo((line) => process.stdout.write(`${line}\n`)).then(
  (failed) => {
    process.stdout.write(
      failed === 0 ? "every promise held\n" : `${failed} promises failed\n`,
    );
    process.exit(failed === 0 ? 0 : 1);
  },
  (thrown: unknown) => {
    process.stderr.write(`${String(thrown)}\n`);
    process.exit(1);
  },
);
