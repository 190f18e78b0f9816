import { WebSocket } from "ws";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { type Address, asId } from "../../src/base/common/ids.ts";
import { Left, Right } from "../../src/base/common/result.ts";
import type {
  LogFields,
  Logger,
} from "../../src/services/log/common/logger.ts";
import type { PeerChannelSpec } from "../../src/services/peers/common/peer_links.ts";
import {
  encodeFrame,
  MAX_FRAME_BYTES,
} from "../../src/services/peers/common/peer_frame.ts";
import {
  MAX_MESSAGE_BYTES,
  TRANSFER_CHANNEL,
} from "../../src/services/peers/common/peer_transfer.ts";
import { openForwarder } from "./forwarder.ts";
import { WsPeerLinks } from "../../src/services/peers/node/ws_peer_links.ts";

const SECRET = "secret of the peers";
/** 7 Mbit/s, the slowest link of a host. */
const SLOW_LINK_BYTES_PER_S = 875_000;
const clock = new SystemClock();
const opened: WsPeerLinks[] = [];
const texts: PeerChannelSpec<string> = {
  name: "texts.v1",
  decode: (body) =>
    typeof body === "string" ? Right(body) : Left("not a string"),
};

class ReasonLogger implements Logger {
  readonly reasons: unknown[] = [];
  readonly events: string[] = [];
  log(_level: string, event: string, fields: LogFields = {}): void {
    this.reasons.push(fields["reason"]);
    this.events.push(event);
  }
}

async function open(host: string, secret = SECRET, incarnation = 1) {
  const logger = new ReasonLogger();
  const refused: string[] = [];
  const aborted: string[] = [];
  const links = new WsPeerLinks({
    clock,
    logger,
    self: { host: asId(host), zone: asId("zone-1"), incarnation },
    secret,
    seed: 1,
    onMessageRefused: (channel, reason) => refused.push(`${channel} ${reason}`),
    onTransferAborted: () => aborted.push(host),
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
  return { links, channel, received, peer, logger, refused, aborted };
}

async function until(isTrue: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 3_000 && !isTrue(); attempt++) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(isTrue()).toBe(true);
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
    const forwarder = await openForwarder(b.peer.address);
    a.links.setPeers([{ ...b.peer, address: forwarder.address }]);
    await until(() => b.links.connectedHosts().length === 1);
    forwarder.stall();
    await until(() => a.logger.reasons.length > 0);
    expect(a.logger.reasons[0]).toBe("no frame received within the timeout");
    await until(() => a.links.connectedHosts().length === 1);
    a.channel.broadcast("again");
    await until(() => b.received.length === 1);
    forwarder.dispose();
  });

  it("carry a message over a frame's size and end no process", async () => {
    const [a, b] = [await open("a"), await open("b")];
    a.links.setPeers([b.peer]);
    await until(() => a.links.connectedHosts().length === 1);
    const text = "x".repeat(8 * MAX_FRAME_BYTES);
    expect(a.channel.send(b.peer.host, text)).toBe("queued");
    a.channel.broadcast("after");
    await until(() => b.received.length === 2);
    expect(b.received).toEqual([`a:${text}`, "a:after"]);
    expect(a.logger.events).toEqual([]);
  });

  it("refuse a message that is too large with a log line", async () => {
    const [a, b] = [await open("a"), await open("b")];
    a.links.setPeers([b.peer]);
    await until(() => a.links.connectedHosts().length === 1);
    const text = "x".repeat(MAX_MESSAGE_BYTES);
    expect(a.channel.send(b.peer.host, text)).toBe("too-large");
    a.channel.broadcast(text);
    a.channel.broadcast("after");
    await until(() => b.received.length === 1);
    expect(a.logger.events).toEqual(["peer-message-refused"]);
    expect(a.refused).toEqual(["texts.v1 too-large", "texts.v1 too-large"]);
  });

  it("stay up when a message cannot be encoded or processed", async () => {
    const [a, b] = [await open("a"), await open("b")];
    b.channel.onDidReceive(({ body }) => {
      if (body === "bad") throw new Error("a receiver that fails");
    });
    a.links.setPeers([b.peer]);
    await until(() => a.links.connectedHosts().length === 1);
    const { channel } = a;
    const endless: unknown[] = [];
    endless.push(endless);
    expect(channel.send(b.peer.host, endless as never)).toBe("not-encodable");
    channel.broadcast("bad");
    channel.broadcast("good");
    await until(() => b.received.length === 2);
    expect(a.logger.events).toEqual(["peer-message-refused"]);
    expect(b.logger.events).toEqual(["peer-message-failed"]);
    expect(a.links.connectedHosts()).toEqual(["b"]);
  });

  it("leave the receiver as it was when they close in the middle of a message", async () => {
    const [a, b] = [await open("a"), await open("b")];
    const forwarder = await openForwarder(b.peer.address, {
      bytesPerS: SLOW_LINK_BYTES_PER_S,
    });
    a.links.setPeers([{ ...b.peer, address: forwarder.address }]);
    await until(() => b.links.connectedHosts().length === 1);
    a.channel.broadcast("x".repeat(4_000_000));
    await until(() =>
      b.links.traffic().channels.size > 0 || a.links.traffic().waitingBytes > 0
    );
    await new Promise((resolve) => setTimeout(resolve, 300));
    forwarder.reset();
    await until(() => a.aborted.length + b.aborted.length === 2);
    expect(a.links.traffic().waitingBytes).toBe(0);
    await until(() => a.links.connectedHosts().length === 1);
    a.channel.broadcast("again");
    await until(() => b.received.length === 1);
    expect(b.received).toEqual(["a:again"]);
    forwarder.dispose();
  });

  it("carry urgent messages past a large one on a slow link", async () => {
    const [a, b] = [await open("a"), await open("b")];
    const urgent = { ...texts, name: "urgent.v1" };
    const [urgentA, urgentB] = [a, b].map(({ links }) =>
      links.openChannel(urgent)
    );
    const delaysMs: number[] = [];
    urgentB!.onDidReceive(({ body }) => {
      delaysMs.push(clock.monotonicMs() - Number(body));
    });
    const forwarder = await openForwarder(b.peer.address, {
      bytesPerS: SLOW_LINK_BYTES_PER_S,
    });
    a.links.setPeers([{ ...b.peer, address: forwarder.address }]);
    await until(() => b.links.connectedHosts().length === 1);
    const text = "x".repeat(1_000_000);
    a.channel.broadcast(text);
    await until(() => {
      urgentA!.broadcast(String(clock.monotonicMs()));
      return b.received.length === 1;
    });
    expect(b.received).toEqual([`a:${text}`]);
    expect(delaysMs.length).toBeGreaterThan(20);
    // Two parts of 32 KB take 75 ms at 7 Mbit/s.
    expect(Math.max(...delaysMs)).toBeLessThan(500);
    expect(a.logger.events).toEqual([]);
    forwarder.dispose();
  });

  it("are closed on parts that do not fit", async () => {
    const a = await open("a");
    const b = await open("b");
    a.links.setPeers([b.peer]);
    await until(() => a.links.connectedHosts().length === 1);
    const transfers = { ...texts, name: TRANSFER_CHANNEL };
    const channel = a.links.openChannel(transfers);
    for (const body of [[100, 50, new Uint8Array(50)], "no list"]) {
      channel.broadcast(body as never);
      await until(() => b.logger.events.includes("peer-link-closed"));
      b.logger.events.length = 0;
      await until(() => a.links.connectedHosts().length === 1);
    }
    a.channel.broadcast("again");
    await until(() => b.received.length === 1);
  });
});
