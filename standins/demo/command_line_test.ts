import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import fastify from "fastify";
import { EXIT_CODES } from "../../src/cli/node/cli_context.ts";
import { runCommandLine } from "../../src/cli/node/command_line.ts";
import { EtcdStoreClient } from "../../src/services/store/node/etcd_store_client.ts";
import { book, createStreamRecord, streamChat } from "./demo_caller.ts";
import { DEMO_OPERATOR_KEY, DemoDeployment } from "./demo_deployment.ts";

describe("the command line", () => {
  const deployment = new DemoDeployment();
  const folder = mkdtempSync(join(tmpdir(), "ragwort-"));
  const teamFile = join(folder, "taranga.yaml");

  async function run(line: string, env: Record<string, string> = {}) {
    const result = { code: -1, out: "", err: "" };
    await runCommandLine(["node", "ragwort", ...line.split(" ")], {
      env: {
        RAGWORT_STORE: deployment.storeAddress,
        RAGWORT_DAEMONS: deployment.daemons
          .map(({ operatorAddress }) => operatorAddress).join(","),
        RAGWORT_OPERATOR_KEY: DEMO_OPERATOR_KEY,
        ...env,
      },
      isTerminal: false,
      isErrorTerminal: false,
      createStore: (addresses) => new EtcdStoreClient(addresses),
      createChangeId: () => `change-${line}`,
      write: (text) => result.out += text,
      writeError: (text) => result.err += text,
      setExitCode: (code) => {
        result.code = code;
      },
    });
    return result;
  }

  beforeAll(async () => {
    await deployment.start();
    writeFileSync(teamFile, `# terms\n${deployment.teamDocument()}`);
  });

  afterAll(() => deployment.stop());

  it("applies, reads, changes and compares a document", async () => {
    expect(await run("config get taranga")).toMatchObject({
      code: EXIT_CODES.failed,
      err: expect.stringContaining("ragwort config apply taranga FILE"),
    });
    expect((await run(`config apply taranga ${teamFile}`)).code).toBe(0);
    await deployment.waitUntilReady();
    const set = await run("config set taranga/classes/lookup/priority 6");
    expect(set.code).toBe(0);
    const got = await run("config get taranga/classes/lookup/priority --json");
    expect(JSON.parse(got.out)).toMatchObject({ team: "taranga", value: 6 });
    expect((await run("config get taranga")).out).toMatch(/^# terms\n/);
    expect((await run(`config diff taranga ${teamFile}`)).out)
      .toBe("~ classes/lookup/priority: 6 -> 7\n");
    deployment.store.put({
      key: "config/history/taranga/0000000000000001",
      value: "# change: older\nclasses: {}\n",
      expectedRevision: 0,
    });
    const history = (await run("config history taranga")).out.split("\n");
    expect(history[0])
      .toContain("change-config set taranga/classes/lookup/priority 6");
    expect(history[1]).toContain("change-config apply taranga");
    expect(history[2]).toBe("revision 1, change older");
    expect(history).toContainEqual(
      expect.stringMatching(/^lalitpur-1 has revision \d+ in force$/),
    );
  });

  it("refuses what is wrong, and says where", async () => {
    const rejected = await run("config set taranga/classes/lookup/priority 99");
    expect(rejected.code).toBe(EXIT_CODES.badInput);
    expect(rejected.err).toContain("classes.lookup.priority");
    const stale = await run(`config apply taranga ${teamFile} --from 1`);
    expect(stale.code).toBe(EXIT_CODES.conflict);
    for (
      const line of [
        "unknown",
        "status --surprise",
        "explain",
        "config frob taranga x",
        "config apply taranga /no/such/file",
        "top --by colour",
        "histogram lookup --measure x",
        "completion fish",
        "endpoint drain taranga",
        "quarantine release",
        `report ${teamFile}`,
      ]
    ) {
      const { code, err } = await run(line);
      expect({ line, code }).toEqual({ line, code: EXIT_CODES.badInput });
      expect(err).not.toBe("");
    }
  });

  it("tells an unreachable store or daemon from a refusal", async () => {
    const noStore = { RAGWORT_STORE: "127.0.0.1:1" };
    expect((await run("config get taranga", noStore)).code)
      .toBe(EXIT_CODES.unreachable);
    for (const line of ["status", "top --once", "explain x", "drain x"]) {
      const unreachable = await run(line, { RAGWORT_DAEMONS: "127.0.0.1:1" });
      expect({ line, code: unreachable.code })
        .toEqual({ line, code: EXIT_CODES.unreachable });
    }
    expect((await run("explain x")).code).toBe(EXIT_CODES.failed);
    expect((await run("drain x")).code).toBe(EXIT_CODES.failed);
    const wrongKey = await run("status", { RAGWORT_OPERATOR_KEY: "wrong" });
    expect(wrongKey.err).toContain("RAGWORT_OPERATOR_KEY");
  });

  it("checks both kinds of file", async () => {
    expect((await run(`check ${teamFile}`)).out).toContain("valid as team");
    const file = join(folder, "daemon.yaml");
    writeFileSync(file, "host: a\nlisten: {}\n");
    const { code, err } = await run(`check ${file}`);
    expect(code).toBe(EXIT_CODES.badInput);
    expect(err).toContain("listen.callers");
  });

  it("merges the figures of all daemons", async () => {
    for (const [index, { callerAddress }] of deployment.daemons.entries()) {
      const prompt = `x #tokens=${3 + index}`;
      await streamChat(callerAddress, prompt, "lookup", createStreamRecord());
      await book(callerAddress, `key-${index}`, "trial");
    }
    const top = await run("top --once --json");
    expect(JSON.parse(top.out)).toMatchObject({
      group: "lookup",
      requests: 6,
      measures: { outputTokens: { count: 6, max: 5 } },
    });
    expect((await run("top --once --by zone")).out)
      .toMatch(/^zone .*\nlalitpur-hall .* █+\nbaneshwor-hall /);
    const histogram = await run("histogram taranga/franchise-office");
    expect(histogram.out).toContain("outcomes: 6 completed, 0 not-run");
    expect(histogram.out).toMatch(/outputTokens {2}6 values .*max 5\n/);
    const out = join(folder, "live.html");
    expect((await run(`report --out ${out}`)).code).toBe(0);
    expect(readFileSync(out, "utf8")).toContain("requests by class");
  });

  it("drains endpoints and releases requests at the first daemon that can", async () => {
    const paths: string[] = [];
    const daemon = fastify();
    daemon.get("/quarantine", () => ({
      requests: [{
        fingerprint: "f00d",
        workspace: "taranga/w",
        untilMs: 0,
        endpoints: ["e1", "e2"],
      }],
    }));
    daemon.post("/*", (request) => {
      paths.push(request.url);
      return {};
    });
    await daemon.listen({ host: "127.0.0.1", port: 0 });
    const { port } = daemon.server.address() as AddressInfo;
    const env = { RAGWORT_DAEMONS: `127.0.0.1:1,127.0.0.1:${port}` };
    expect(await run("endpoint drain taranga/llm/e1", env)).toMatchObject({
      code: 0,
      out: "taranga/llm/e1 gets nothing new; what it runs goes on\n",
    });
    expect((await run("quarantine release f00d", env)).code).toBe(0);
    const listed = await run("quarantine list", env);
    expect(listed.code).toBe(EXIT_CODES.unreachable);
    expect(listed.out).toMatch(/^f00d +taranga\/w +1970-.* +e1 e2$/m);
    await daemon.close();
    expect(paths).toEqual([
      "/endpoints/taranga/llm/e1/drain",
      "/quarantine/f00d/release",
    ]);
  });

  it("prints help and completion, without colours", async () => {
    const info = jest.spyOn(console, "info").mockImplementation();
    await run("help config");
    expect(info.mock.calls.join()).toContain("config set TEAM/PATH VALUE");
    expect(info.mock.calls.join()).toContain("Exit codes");
    info.mockRestore();
    const { out } = await run("completion bash");
    expect(out).toMatch(/config\) words="get set apply diff history --from/);
    expect(out).not.toContain("\u001b");
  });

  it("drains a host and waits until it has stopped", async () => {
    const drained = await run("drain lalitpur-2");
    expect(drained).toMatchObject({ code: 0, out: "lalitpur-2 has stopped\n" });
  });
});
