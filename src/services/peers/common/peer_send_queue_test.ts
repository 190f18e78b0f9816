import { decodeFrame, encodeFrame, MAX_FRAME_BYTES } from "./peer_frame.ts";
import {
  type FrameSink,
  PeerSendQueue,
  WaitingBytes,
} from "./peer_send_queue.ts";
import {
  decodeTransferFrame,
  MAX_MESSAGE_BYTES,
  PART_BYTES,
  TRANSFER_CHANNEL,
  TransferAssembler,
} from "./peer_transfer.ts";
import { leftOf, rightOf } from "../../../base/common/result.ts";

/** Receives the frames of a queue; acknowledges parts when `read` is called. */
class Receiver implements FrameSink {
  bufferedBytes = 0;
  readonly frameSizes: number[] = [];
  /** Channel and size of each whole message. */
  readonly messages: string[] = [];
  readonly assembler = new TransferAssembler();
  #unreadFrames: Uint8Array[] = [];

  write(frame: Uint8Array): void {
    this.frameSizes.push(frame.byteLength);
    this.#unreadFrames.push(frame);
  }

  get unreadBytes(): number {
    return this.#unreadFrames.reduce((sum, frame) => sum + frame.byteLength, 0);
  }

  /** Reads what has been written and acknowledges it. */
  read(queue: PeerSendQueue): void {
    const frames = this.#unreadFrames;
    this.#unreadFrames = [];
    for (const bytes of frames) this.#readFrame(bytes);
    expect(
      rightOf(queue.acknowledge(this.assembler.receivedBytes)) === undefined,
    )
      .toBe(true);
  }

  #readFrame(bytes: Uint8Array): void {
    const frame = rightOf(decodeFrame(bytes))!;
    if (frame.channel !== TRANSFER_CHANNEL) {
      this.messages.push(`${frame.channel} ${bytes.byteLength}`);
      return;
    }
    const part = rightOf(decodeTransferFrame(frame.body))!;
    if (part.kind !== "part") throw new Error("expected a part");
    const message = rightOf(this.assembler.addPart(part));
    if (!message) return;
    const { channel } = rightOf(decodeFrame(message))!;
    this.messages.push(`${channel} ${message.byteLength}`);
  }
}

function setUp({ acceptsParts = true, waiting = new WaitingBytes() } = {}) {
  const receiver = new Receiver();
  const queue = new PeerSendQueue(receiver, acceptsParts, waiting);
  return { receiver, queue, waiting };
}

/** A message whose frame has about the given size. */
function message(channel: string, sizeBytes: number): Uint8Array {
  return encodeFrame(channel, new Uint8Array(sizeBytes));
}

function readAll(receiver: Receiver, queue: PeerSendQueue): void {
  for (let round = 0; receiver.unreadBytes > 0; round++) {
    expect(round).toBeLessThan(1_000);
    receiver.read(queue);
  }
}

describe("the queue of messages for one link", () => {
  it("sends a message over a frame's size in parts that fit a frame", () => {
    const { receiver, queue } = setUp();
    const bytes = message("mirror", 4 * MAX_FRAME_BYTES);
    expect(queue.add("mirror", bytes)).toBe("queued");
    readAll(receiver, queue);
    expect(receiver.messages).toEqual([`mirror ${bytes.byteLength}`]);
    expect(Math.max(...receiver.frameSizes)).toBeLessThan(MAX_FRAME_BYTES);
  });

  it("keeps little on the way, so that an urgent message waits for little", () => {
    const { receiver, queue } = setUp();
    queue.add("mirror", message("mirror", 1_000_000));
    expect(receiver.unreadBytes).toBeLessThan(2 * PART_BYTES + 200);
    queue.add("leaving", message("leaving", 20));
    receiver.read(queue);
    expect(receiver.messages).toEqual([expect.stringMatching(/^leaving /)]);
    readAll(receiver, queue);
    expect(receiver.messages[1]).toMatch(/^mirror 1000/);
  });

  it("keeps the order of the messages of one channel", () => {
    const { receiver, queue } = setUp();
    const sizes = [100_000, 10, 300_000, 20, 30];
    for (const size of sizes) queue.add("mirror", message("mirror", size));
    readAll(receiver, queue);
    expect(receiver.messages).toEqual(
      sizes.map((size) => `mirror ${message("mirror", size).byteLength}`),
    );
    expect(queue.hasWaiting("mirror")).toBe(false);
  });

  it("refuses a message that no receiver accepts", () => {
    const { receiver, queue } = setUp();
    const bytes = message("mirror", MAX_MESSAGE_BYTES);
    expect(queue.add("mirror", bytes)).toBe("too-large");
    expect(receiver.frameSizes).toEqual([]);
  });

  it("sends a peer of an earlier version whole frames only", () => {
    const { receiver, queue } = setUp({ acceptsParts: false });
    const largest = MAX_FRAME_BYTES - 100;
    expect(queue.add("mirror", message("mirror", largest))).toBe("queued");
    expect(queue.add("mirror", message("mirror", MAX_FRAME_BYTES)))
      .toBe("too-large");
    expect(receiver.frameSizes).toHaveLength(1);
  });

  it("refuses messages for a peer that does not read", () => {
    const { queue, waiting } = setUp();
    const bytes = message("mirror", MAX_MESSAGE_BYTES - 100);
    expect(queue.add("mirror", bytes)).toBe("queued");
    expect(queue.add("mirror", bytes)).toBe("queued");
    expect(queue.add("mirror", bytes)).toBe("queue-full");
    expect(waiting.bytes).toBeLessThanOrEqual(2 * MAX_MESSAGE_BYTES);
    queue.clear();
    expect(waiting.bytes).toBe(0);
  });

  it("limits what waits for all links together", () => {
    const waiting = new WaitingBytes();
    const bytes = message("mirror", 5_000_000);
    const results = Array.from(
      { length: 40 },
      () => setUp({ waiting }).queue.add("mirror", bytes),
    );
    expect(results.filter((result) => result === "queued")).toHaveLength(10);
    expect(results.at(-1)).toBe("queue-full");
  });

  it("refuses an acknowledgement of what was not sent", () => {
    const { queue } = setUp();
    queue.add("mirror", message("mirror", 100_000));
    expect(leftOf(queue.acknowledge(100_000))).toMatch(/not sent/);
    expect(leftOf(queue.acknowledge(-1))).toMatch(/not sent/);
  });
});

describe("the parts of a message", () => {
  const part = (totalBytes: number, offsetBytes: number, sizeBytes: number) =>
    ({
      kind: "part",
      totalBytes,
      offsetBytes,
      bytes: new Uint8Array(sizeBytes),
    }) as const;

  it.each([
    ["too large", [part(MAX_MESSAGE_BYTES + 1, 0, 10)]],
    ["of a later message", [part(100, 50, 50)]],
    ["twice", [part(100, 0, 50), part(100, 0, 50)]],
    ["empty", [part(0, 0, 0)]],
    ["past the end", [part(100, 0, 50), part(100, 50, 51)]],
    ["of another message", [part(100, 0, 50), part(200, 50, 50)]],
  ])("are refused if a part is %s", (_name, parts) => {
    const assembler = new TransferAssembler();
    const results = parts.map((one) => assembler.addPart(one));
    expect(results.slice(0, -1).every((one) => one.isRight())).toBe(true);
    expect(results.at(-1)!.isLeft()).toBe(true);
  });

  it.each([[null], [[]], [[-1]], [["a", 0, new Uint8Array(1)]], [[
    10,
    0,
    "a",
  ]]])(
    "are refused if a frame is malformed: %j",
    (body) => expect(decodeTransferFrame(body).isLeft()).toBe(true),
  );
});
