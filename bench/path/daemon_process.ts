/**
 * Main module of a child process that runs a daemon:
 * `daemon_process.ts STORE_ADDRESS`.
 */

import { Daemon } from "../../src/daemon/node/daemon.ts";
import { daemonSettingsSchema } from "../../src/services/settings/common/daemon_settings.ts";
import { serveParentCommands } from "./bench_child.ts";

const LOOPBACK = "127.0.0.1:0";
const UNUSED = { env: "UNUSED" };

const settings = daemonSettingsSchema.parse({
  host: "bench-host",
  zone: "bench-zone",
  listen: { callers: LOOPBACK, peers: LOOPBACK, operators: LOOPBACK },
  store: { addresses: [process.argv[2]] },
  secrets: {
    signingKeys: [{ id: "k1", source: UNUSED }],
    peer: UNUSED,
    operator: UNUSED,
  },
});
const daemon = await Daemon.start(settings, {
  signingKeys: [{ id: "k1", secret: "signing secret of the bench" }],
  peerSecret: "peer secret of the bench",
  operatorKey: "operator key of the bench",
});
serveParentCommands(daemon.callerAddress, () => undefined);
