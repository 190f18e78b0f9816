#!/usr/bin/env node
/** Entry point of `ragwort`, the command line for operators. */

import { randomUUID } from "node:crypto";
import { handleLostOutput } from "../../services/log/node/result_output.ts";
import { EtcdStoreClient } from "../../services/store/node/etcd_store_client.ts";
import { runCommandLine } from "./command_line.ts";

handleLostOutput("end");
await runCommandLine(process.argv, {
  env: process.env,
  isTerminal: process.stdout.isTTY,
  isErrorTerminal: process.stderr.isTTY,
  createStore: (addresses) => new EtcdStoreClient(addresses),
  createChangeId: randomUUID,
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  setExitCode: (code) => {
    process.exitCode = code;
  },
});
