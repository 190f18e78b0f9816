/** The steps of the demo; each prints what was seen and whether it held. */

import { sleep } from "../../src/base/common/clock.ts";
import { asId, type TeamName } from "../../src/base/common/ids.ts";
import type { CliContext } from "../../src/cli/node/cli_context.ts";
import {
  DEFAULT_WAIT_MS,
  waitUntilInForce,
} from "../../src/cli/node/config_wait.ts";
import { sendEndpointAction } from "../../src/cli/node/commands/endpoint.ts";
import type { StoreClient } from "../../src/services/store/common/store_client.ts";
import { applyConfig } from "../../src/cli/node/config_apply.ts";
import { EtcdStoreClient } from "../../src/services/store/node/etcd_store_client.ts";
import { tokenText } from "../engine/engine_options.ts";
import {
  book,
  createStreamRecord,
  resumeChat,
  streamChat,
  type StreamRecord,
} from "./demo_caller.ts";
import { DEMO_OPERATOR_KEY, DemoDeployment } from "./demo_deployment.ts";

const TEAM = asId<TeamName>("taranga");
const MID_STREAM_DELAY_MS = 400;
const DRAIN_PROPAGATION_MS = 2_000;

/** Prints one line. */
export type Print = (line: string) => void;

/**
 * Runs the demo.
 *
 * @param print - Receives what was seen.
 * @returns Number of promises that did not hold.
 */
export async function runDemo(print: Print): Promise<number> {
  const deployment = new DemoDeployment();
  await deployment.start();
  const demo = new Demo(deployment, print);
  await demo.run();
  await deployment.stop();
  return demo.failedCount;
}

class Demo {
  failedCount = 0;
  readonly #deployment: DemoDeployment;
  readonly #print: Print;

  constructor(deployment: DemoDeployment, print: Print) {
    this.#deployment = deployment;
    this.#print = print;
  }

  async run(): Promise<void> {
    await this.#applyConfiguration();
    await this.#streamLongReply();
    await this.#streamShortReply();
    await this.#repeatBooking();
    await this.#drainEndpoint();
    await this.#killHostDuringStream();
    await this.#killEndpointDuringStream();
    await this.#drainHostDuringStream();
  }

  #check(guarantee: string, hasPassed: boolean, observation: string): void {
    if (!hasPassed) this.failedCount++;
    this.#print(`${hasPassed ? "ok  " : "FAIL"} ${guarantee}: ${observation}`);
  }

  async #applyConfiguration(): Promise<void> {
    const deployment = this.#deployment;
    const store = new EtcdStoreClient([deployment.storeAddress]);
    const context = this.#cliContext(store);
    const exitCode = await applyConfig(context, {
      team: TEAM,
      text: deployment.teamDocument(),
      source: "demo.yaml",
      onAccepted: (revision) =>
        waitUntilInForce(context, deployment.clock, {
          team: TEAM,
          revision,
          waitMs: DEFAULT_WAIT_MS,
        }),
    });
    store.dispose();
    const isReady = await deployment.waitUntilReady();
    this.#check(
      "a configuration comes into force on every host",
      exitCode === 0 && isReady,
      `${deployment.daemons.length} daemons ready`,
    );
  }

  #cliContext(store: StoreClient): CliContext {
    const { daemons } = this.#deployment;
    return {
      store,
      daemons: daemons.map((daemon) => daemon.operatorAddress),
      operatorKey: DEMO_OPERATOR_KEY,
      isJson: false,
      createChangeId: () => "demo-change",
      print: (line) => this.#print(`     ${line}`),
      printError: (line) => this.#print(`     ${line}`),
    };
  }

  async #drainEndpoint(): Promise<void> {
    const { clock, engines, storeAddress } = this.#deployment;
    const store = new EtcdStoreClient([storeAddress]);
    const context = this.#cliContext(store);
    const engine = engines[0]!;
    const name = `${TEAM}/timetable-llm/${engine.id}`;
    await sendEndpointAction(context, "drain", name);
    await sleep(clock, DRAIN_PROPAGATION_MS);
    const startedBefore = engine.model.counters.started;
    for (const index of [0, 1, 2, 0, 1, 2]) {
      const received = createStreamRecord();
      await streamChat(
        this.#address(index),
        "rota check #tokens=3",
        "lookup",
        received,
      );
    }
    const started = engine.model.counters.started - startedBefore;
    this.#check(
      "an endpoint that leaves gets nothing new from any host",
      started === 0,
      `${started} of 6 requests reached it`,
    );
    await sendEndpointAction(context, "return", name);
    store.dispose();
  }

  async #streamLongReply(): Promise<void> {
    const received = createStreamRecord();
    await streamChat(
      this.#address(0),
      "term timetable #tokens=120",
      "timetable",
      received,
    );
    this.#checkComplete(
      "a timetable arrives whole and in order",
      received,
      120,
    );
  }

  async #streamShortReply(): Promise<void> {
    const received = createStreamRecord();
    await streamChat(
      this.#address(1),
      "rota check #tokens=5",
      "lookup",
      received,
    );
    this.#checkComplete("a short check arrives whole", received, 5);
  }

  async #repeatBooking(): Promise<void> {
    const body = "trial for Asha on Sunday";
    const first = await book(this.#address(0), "key-1", body);
    const second = await book(this.#address(2), "key-1", body);
    const runs = this.#deployment.app.runCountOf(body);
    this.#check(
      "a booking sent twice with one key runs once",
      runs === 1 && first.status === 200 && second.text === first.text,
      `ran ${runs} time, both answers ${first.status}`,
    );
  }

  async #killHostDuringStream(): Promise<void> {
    const received = createStreamRecord();
    const stream = streamChat(
      this.#address(0),
      "draft #tokens=150",
      "timetable",
      received,
    );
    await sleep(this.#deployment.clock, MID_STREAM_DELAY_MS);
    await this.#deployment.daemons[0]?.abort();
    await stream;
    const tokensBefore = received.texts.length;
    await resumeChat(this.#address(1), received);
    this.#print(`     ${tokensBefore} tokens before the host died`);
    this.#checkComplete("a stream goes on at another host", received, 150);
  }

  async #killEndpointDuringStream(): Promise<void> {
    const received = createStreamRecord();
    const stream = streamChat(
      this.#address(1),
      "draft #tokens=500",
      "timetable",
      received,
    );
    await sleep(this.#deployment.clock, MID_STREAM_DELAY_MS);
    const engine = this.#deployment.engines.find(({ model }) =>
      model.runningCount > 0
    );
    engine?.model.crash();
    await stream;
    const isCorrectPrefix = received.texts.every((text, offset) =>
      text === tokenText(received.id, offset)
    );
    this.#check(
      "an endpoint's death in mid-stream is told truly, with no foreign token",
      isCorrectPrefix && !received.isDone &&
        received.problem?.includes(`"outcome":"interrupted"`) === true,
      `${received.texts.length} tokens of one generation, then an error event`,
    );
    engine?.model.restart();
  }

  async #drainHostDuringStream(): Promise<void> {
    const received = createStreamRecord();
    const stream = streamChat(
      this.#address(2),
      "draft #tokens=150",
      "timetable",
      received,
    );
    await sleep(this.#deployment.clock, MID_STREAM_DELAY_MS);
    await this.#deployment.daemons[2]?.drainAndStop();
    await stream;
    this.#checkComplete("a host that drains cuts no stream", received, 150);
  }

  #checkComplete(
    guarantee: string,
    received: StreamRecord,
    tokens: number,
  ): void {
    const isCorrect = received.texts.every((text, offset) =>
      text === tokenText(received.id, offset)
    );
    this.#check(
      guarantee,
      isCorrect && received.isDone && received.texts.length === tokens,
      `${received.texts.length} of ${tokens} tokens, each once`,
    );
  }

  #address(index: number) {
    return this.#deployment.daemons[index]!.callerAddress;
  }
}
