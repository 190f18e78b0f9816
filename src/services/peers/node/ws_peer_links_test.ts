import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { WebSocket } from "ws";
import { SystemClock } from "../../../base/node/system_clock.ts";
import { type Address, asId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { LogFields, Logger } from "../../log/common/logger.ts";
import type { PeerChannelSpec } from "../common/peer_links.ts";
import { encodeFrame, MAX_FRAME_BYTES } from "../common/peer_frame.ts";
import { WsPeerLinks } from "./ws_peer_links.ts";

const SECRET = "secret of the peers";
const clock = new SystemClock();
const opened: WsPeerLinks[] = [];
const texts: PeerChannelSpec<string> = {
  name: "texts.v1",
  decode: (body) =>
    typeof body === "string" ? Right(body) : Left("not a string"),
};

class ReasonLogger implements Logger {
  readonly reasons: unknown[] = [];
  log(_level: string, _event: string, fields: LogFields = {}): void {
    this.reasons.push(fields["reason"]);
  }
}

async function open(host: string, secret = SECRET, incarnation = 1) {
  const logger = new ReasonLogger();
  const links = new WsPeerLinks({
    clock,
    logger,
    self: { host: asId(host), zone: asId("zone-1"), incarnation },
    secret,
    seed: 1,
  });
  opened.push(links);
  const channel = links.openChannel(texts);
  const received: string[] = [];
  channel.onDidReceive(({ from, body }) => received.push(`${from}:${body}`));
  const address = await links.listen(asId<Address>("127.0.0.1:0"));
  const peer = {
    host: asId<never>(host),
    zone: asId<never>("zone-1"),
    address,
  };
  return { links, channel, received, peer, logger };
}

async function until(isTrue: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 3_000 && !isTrue(); attempt++) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(isTrue()).toBe(true);
}

/**
 * Forwards connections to a port. `stall` stops forwarding on the open
 * connections without closing them.
 */
async function openForwarder(port: number) {
  const sockets: Socket[] = [];
  const server = createServer((client) => {
    const target = connect(port, "127.0.0.1");
    client.pipe(target).pipe(client);
    for (const socket of [client, target]) socket.on("error", () => undefined);
    sockets.push(client, target);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: asId<Address>(
      `127.0.0.1:${(server.address() as AddressInfo).port}`,
    ),
    stall: () => {
      for (const socket of sockets) socket.unpipe().pause();
    },
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

afterEach(() => opened.splice(0).forEach((links) => links.dispose()));

describe("links over WebSockets", () => {
  it("carry messages in both directions over one link per pair", async () => {
    const [a, b] = [await open("a"), await open("b")];
    a.links.setPeers([b.peer]);
    b.links.setPeers([a.peer]);
    await until(() =>
      a.links.connectedHosts().length + b.links.connectedHosts().length === 2
    );
    expect(a.channel.send(b.peer.host, "one")).toBe("queued");
    b.channel.broadcast("two");
    await until(() => a.received.length + b.received.length === 2);
    expect([a.received, b.received]).toEqual([["b:two"], ["a:one"]]);
    expect(a.links.traffic().channels.get("texts.v1")?.messagesSent).toBe(1);
  });

  it("are rejected for a host with a different secret", async () => {
    const [a, b] = [await open("a"), await open("b", "another secret")];
    a.links.setPeers([b.peer]);
    await until(() => a.logger.reasons.length + b.logger.reasons.length >= 2);
    expect([...a.logger.reasons, ...b.logger.reasons]).toContain(
      "the peer uses a different secret",
    );
    expect(a.links.connectedHosts()).toEqual([]);
  });

  it("are rejected if a host other than the expected one answers", async () => {
    const [a, b] = [await open("a"), await open("b")];
    a.links.setPeers([{ ...b.peer, host: asId("c") }]);
    await until(() => a.logger.reasons.length > 0);
    expect(a.logger.reasons[0]).toBe("b answered, but c was dialed");
  });

  it.each([
    ["malformed", Buffer.from([0xc1])],
    ["of an unknown kind", Buffer.from(encodeFrame("other", 1))],
    ["oversized", Buffer.alloc(MAX_FRAME_BYTES + 1)],
  ])(
    "close on a frame that is %s before the handshake is complete",
    async (_kind, frame) => {
      const a = await open("a");
      const socket = new WebSocket(`ws://${a.peer.address}/peers`);
      let isClosed = false;
      socket.on("open", () => socket.send(frame));
      socket.on("error", () => undefined);
      socket.on("close", () => isClosed = true);
      await until(() => isClosed);
      expect(a.links.connectedHosts()).toEqual([]);
      expect(a.logger.reasons).toHaveLength(1);
      expect(a.received).toEqual([]);
    },
  );

  it("close on a malformed message and are established again", async () => {
    const [a, b] = [await open("a"), await open("b")];
    a.links.setPeers([b.peer]);
    await until(() => b.links.connectedHosts().length === 1);
    a.channel.broadcast(7 as never);
    await until(() => b.logger.reasons.length > 0);
    expect(b.logger.reasons[0]).toBe(
      "malformed texts.v1 message: not a string",
    );
    expect(b.received).toEqual([]);
    await until(() => b.links.connectedHosts().length === 1);
  });

  it("are replaced when a host restarts with a higher incarnation", async () => {
    const [a, b] = [await open("a"), await open("b")];
    a.links.setPeers([b.peer]);
    await until(() => a.links.connectedHosts().length === 1);
    const restarted = await open("b", SECRET, 2);
    restarted.links.setPeers([a.peer]);
    await until(() => restarted.links.connectedHosts().length === 1);
    restarted.channel.broadcast("back");
    await until(() => a.received.length === 1);
    expect(a.links.connectedHosts()).toEqual(["b"]);
  });

  it("are reopened when an open connection stalls", async () => {
    const [a, b] = [await open("a"), await open("b")];
    const port = Number(b.peer.address.split(":")[1]);
    const forwarder = await openForwarder(port);
    a.links.setPeers([{ ...b.peer, address: forwarder.address }]);
    await until(() => b.links.connectedHosts().length === 1);
    forwarder.stall();
    await until(() => a.logger.reasons.length > 0);
    expect(a.logger.reasons[0]).toBe("no frame received within the timeout");
    await until(() => a.links.connectedHosts().length === 1);
    a.channel.broadcast("again");
    await until(() => b.received.length === 1);
    forwarder.close();
  });
});
