import { setUnexpectedErrorHandler } from "./errors.ts";
import { Emitter } from "./event.ts";

describe("Emitter", () => {
  // Guards against one request, or one entry of another writer, that keeps what
  // has happened from all others.
  it("calls the other listeners after an error in one, which it reports", () => {
    const thrown: unknown[] = [];
    const handler = setUnexpectedErrorHandler((error) => thrown.push(error));
    const emitter = new Emitter<number>();
    const received: number[] = [];
    const error = new TypeError("Invalid URL");
    emitter.event((value) => received.push(value));
    emitter.event(() => {
      throw error;
    });
    emitter.event((value) => received.push(value));
    emitter.fire(7);
    handler.dispose();
    expect(received).toEqual([7, 7]);
    expect(thrown).toEqual([error]);
  });

  it("throws the error on where nothing handles it", () => {
    const emitter = new Emitter<number>();
    emitter.event(() => {
      throw new TypeError("Invalid URL");
    });
    expect(() => emitter.fire(7)).toThrow("Invalid URL");
  });
});
